#include <limpet/base/random.hpp>
#include <limpet/origins/origin_exchange.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <memory>

using namespace limpet;
using namespace limpet::origins;

namespace
{

const service_key service(5);
const version_key old_version(1);
const version_key new_version(2);
constexpr duration lifetime = seconds(10);

vm_id make_vm(int number)
{
    return vm_id("r" + std::to_string(number));
}

data_centre_id make_data_centre(int router)
{
    return data_centre_id(std::string(1, static_cast<char>('a' + router % 4)));
}

/// Routers in four data centres whose messages arrive at once, but for those
/// to and from routers that are down and those between two sides of a cut.
struct fleet
{
    explicit fleet(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            map[make_vm(i)] = make_data_centre(i);
        }
        for (const auto& [vm, data_centre] : map)
        {
            start(vm);
        }
    }

    /// Starts the router without any memory.
    void start(const vm_id& vm)
    {
        down.erase(vm);
        routers[vm] =
            std::make_unique<origin_exchange>(vm,
                                              map.at(vm),
                                              [this](service_key, duration)
                                              {
                                                  return only_version;
                                              });
        send(vm, routers[vm]->set_routers(map, now));
        send(vm, routers[vm]->set_shared_services({service}, now));
    }

    /// Adds a control replica, which only stores and answers.
    void add_replica(const vm_id& vm)
    {
        map[vm] = data_centre_id("a");
        replicas.insert(vm);
        routers[vm] =
            std::make_unique<origin_exchange>(vm,
                                              map[vm],
                                              [](service_key, duration)
                                              {
                                                  return std::nullopt;
                                              });
        for (const auto& [each, router] : routers)
        {
            if (!replicas.contains(each))
            {
                send(each, router->set_replicas(replicas, replicas, now));
            }
        }
    }

    /// Stops all routers and starts them anew.
    void restart_all_routers()
    {
        router_map names = map;
        std::erase_if(names,
                      [this](const auto& each)
                      {
                          return replicas.contains(each.first);
                      });
        for (const auto& [vm, data_centre] : names)
        {
            stop(vm);
        }
        for (const auto& [vm, data_centre] : names)
        {
            start(vm);
            send(vm, routers[vm]->set_routers(names, now));
            send(vm, routers[vm]->set_replicas(replicas, replicas, now));
        }
    }

    /// Stops the router. The others notice that their links are lost.
    void stop(const vm_id& vm)
    {
        down.insert(vm);
        for (auto& [other, each] : routers)
        {
            each->on_lost(vm);
        }
    }

    bool is_cut(const vm_id& a, const vm_id& b) const
    {
        return down.contains(a) || down.contains(b) ||
               (map.at(a) == cut_off) != (map.at(b) == cut_off);
    }

    void send(const vm_id& from,
              const std::vector<origin_exchange::addressed_message>& messages)
    {
        for (const auto& [to, each] : messages)
        {
            const std::string bytes = encode(each);
            sent_bytes += bytes.size();
            ++sent_frames;
            if (is_cut(from, to))
            {
                routers.at(from)->on_lost(to);
                continue;
            }
            const auto decoded = decode(bytes);
            BOOST_REQUIRE(is_ok(decoded));
            send(to, routers.at(to)->receive(from, value_of(decoded), now));
        }
    }

    void begin(const vm_id& at, stream_key stream, version_key version)
    {
        send(at,
             routers.at(at)->record({stream, service, version, lifetime}, now));
    }

    /// Returns what the router learns of the stream.
    std::optional<version_key> find(const vm_id& at, stream_key stream)
    {
        origin_exchange& router = *routers.at(at);
        if (!router.find(stream, now))
        {
            send(at, router.ask({stream, service, lifetime}));
            BOOST_TEST(
                (router.find(stream, now) || !router.is_awaiting(stream)));
            router.stop_awaiting(stream);
        }
        const auto found = router.find(stream, now);
        return found ? std::optional(found->version) : std::nullopt;
    }

    time_point now{seconds(100)};
    router_map map;
    std::map<vm_id, std::unique_ptr<origin_exchange>> routers;
    std::set<vm_id> replicas;
    std::set<vm_id> down;
    data_centre_id cut_off;
    std::optional<version_key> only_version;
    std::size_t sent_bytes = 0;
    std::size_t sent_frames = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(origin_exchanges)

BOOST_AUTO_TEST_CASE(every_router_learns_what_began_a_stream)
{
    fleet all(8);
    all.begin(make_vm(0), stream_key(7), old_version);
    for (const auto& [vm, data_centre] : all.map)
    {
        BOOST_TEST((all.find(vm, stream_key(7)) == old_version));
    }
}

BOOST_AUTO_TEST_CASE(origin_outlives_its_router)
{
    for (int router = 0; router < 8; ++router)
    {
        fleet all(8);
        all.begin(make_vm(router), stream_key(7), old_version);
        all.stop(make_vm(router));
        all.start(make_vm(router));
        for (const auto& [vm, data_centre] : all.map)
        {
            BOOST_TEST((all.find(vm, stream_key(7)) == old_version));
        }
    }
}

BOOST_AUTO_TEST_CASE(origin_outlives_a_restart_of_all_routers)
{
    fleet all(8);
    all.add_replica(vm_id("c0"));
    all.add_replica(vm_id("c1"));
    for (int i = 0; i < 8; ++i)
    {
        all.begin(make_vm(i),
                  stream_key(static_cast<std::uint64_t>(i)),
                  i % 2 == 0 ? old_version : new_version);
    }
    all.restart_all_routers();
    for (int i = 0; i < 8; ++i)
    {
        const auto found = all.find(make_vm((i + 1) % 8),
                                    stream_key(static_cast<std::uint64_t>(i)));
        BOOST_TEST((found == (i % 2 == 0 ? old_version : new_version)));
    }
}

BOOST_AUTO_TEST_CASE(origin_is_kept_by_another_replica_after_the_loss_of_one)
{
    fleet all(8);
    all.add_replica(vm_id("c0"));
    all.add_replica(vm_id("c1"));
    all.begin(make_vm(0), stream_key(7), old_version);
    const bool is_first =
        all.routers.at(vm_id("c0"))->find(stream_key(7), all.now).has_value();
    all.stop(vm_id(is_first ? "c0" : "c1"));
    all.send(make_vm(0),
             all.routers.at(make_vm(0))
                 ->set_replicas(
                     all.replicas, {vm_id(is_first ? "c1" : "c0")}, all.now));
    all.restart_all_routers();
    BOOST_TEST((all.find(make_vm(3), stream_key(7)) == old_version));
}

BOOST_AUTO_TEST_CASE(origin_outlives_its_data_centre)
{
    fleet all(8);
    all.begin(make_vm(0), stream_key(7), old_version);
    all.stop(make_vm(0));
    all.stop(make_vm(4));
    for (const int survivor : {1, 2, 3, 5, 6, 7})
    {
        BOOST_TEST((all.find(make_vm(survivor), stream_key(7)) == old_version));
    }
}

BOOST_AUTO_TEST_CASE(data_centre_that_is_cut_off_knows_its_streams)
{
    fleet all(8);
    all.cut_off = make_data_centre(0);
    all.begin(make_vm(0), stream_key(7), old_version);
    all.stop(make_vm(0));
    BOOST_TEST((all.find(make_vm(4), stream_key(7)) == old_version));
    BOOST_TEST(!all.find(make_vm(1), stream_key(7)).has_value());
    all.cut_off = {};
    BOOST_TEST((all.find(make_vm(1), stream_key(7)) == old_version));
}

BOOST_AUTO_TEST_CASE(later_origin_of_a_stream_replaces_the_first)
{
    fleet all(8);
    all.begin(make_vm(0), stream_key(7), old_version);
    all.begin(make_vm(0), stream_key(7), new_version);
    for (const auto& [vm, data_centre] : all.map)
    {
        BOOST_TEST((all.find(vm, stream_key(7)) == new_version));
    }
}

BOOST_AUTO_TEST_CASE(streams_begun_before_sharing_are_shared)
{
    fleet all(8);
    const vm_id router = make_vm(0);
    all.send(router, all.routers[router]->set_shared_services({}, all.now));
    all.begin(router, stream_key(7), old_version);
    all.send(router,
             all.routers[router]->set_shared_services({service}, all.now));
    all.stop(router);
    BOOST_TEST((all.find(make_vm(1), stream_key(7)) == old_version));
}

BOOST_AUTO_TEST_CASE(streams_of_services_with_one_version_are_not_shared)
{
    fleet all(8);
    const vm_id router = make_vm(0);
    const origin other{stream_key(9), service_key(6), old_version, lifetime};
    all.send(router, all.routers[router]->record(other, all.now));
    BOOST_TEST(all.sent_frames == 0U);
    all.begin(router, stream_key(7), old_version);
    BOOST_TEST(all.sent_frames == 3U);
    all.send(router,
             all.routers[router]->set_shared_services({service, other.service},
                                                      all.now));
    BOOST_TEST(all.sent_frames == 6U);
}

BOOST_AUTO_TEST_CASE(backup_that_lost_its_memory_is_told_again)
{
    fleet all(8);
    const vm_id router = make_vm(0);
    all.begin(router, stream_key(7), old_version);
    for (const vm_id& vm : std::vector<vm_id>(all.routers[router]->backups()))
    {
        all.stop(vm);
        all.start(vm);
    }
    all.begin(router, stream_key(8), old_version);
    all.stop(router);
    BOOST_TEST((all.find(make_vm(1), stream_key(7)) == old_version));
}

BOOST_AUTO_TEST_CASE(router_without_memory_is_told_the_only_version)
{
    fleet all(8);
    BOOST_TEST(!all.find(make_vm(1), stream_key(7)).has_value());
    all.only_version = old_version;
    BOOST_TEST((all.find(make_vm(1), stream_key(7)) == old_version));
}

BOOST_AUTO_TEST_CASE(origin_ends_with_its_lifetime)
{
    fleet all(8);
    all.begin(make_vm(0), stream_key(7), old_version);
    all.now += lifetime;
    for (const auto& [vm, data_centre] : all.map)
    {
        BOOST_TEST(!all.find(vm, stream_key(7)).has_value());
    }
    all.begin(make_vm(0), stream_key(8), old_version);
    BOOST_TEST(all.routers[make_vm(0)]->backups().size() == 3U);
}

BOOST_AUTO_TEST_CASE(table_keeps_the_streams_that_end_last)
{
    origin_table table(2);
    const time_point now(seconds(1));
    table.put({stream_key(1), service, old_version, seconds(3)}, now);
    table.put({stream_key(2), service, old_version, seconds(2)}, now);
    table.put({stream_key(3), service, old_version, seconds(4)}, now);
    BOOST_TEST(table.size() == 2U);
    BOOST_TEST(!table.find(stream_key(2), now).has_value());
    table.put({stream_key(4), service, old_version, seconds(9)},
              now + seconds(5));
    BOOST_TEST(table.size() == 1U);
}

BOOST_AUTO_TEST_CASE(malformed_frame_is_refused)
{
    const std::string whole =
        encode({{{stream_key(1), service, old_version, lifetime}},
                {{stream_key(2), service, lifetime}},
                {stream_key(3)}});
    BOOST_REQUIRE(is_ok(decode(whole)));
    for (std::size_t size = 0; size < whole.size(); ++size)
    {
        // Some cuts leave a frame that can be read; none may be read beyond
        // its end.
        const auto cut = decode(whole.substr(0, size));
        BOOST_TEST((!is_ok(cut) || value_of(cut).origins.size() <= 1));
    }
    BOOST_TEST(!is_ok(decode("")));
    BOOST_TEST(!is_ok(decode("not a frame")));
}

BOOST_AUTO_TEST_SUITE_END()

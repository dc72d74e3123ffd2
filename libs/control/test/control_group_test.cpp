/// Three replicas that discover each other from seeds, over loopback links.

#include <limpet/control/control_server.hpp>
#include <limpet/http/client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <filesystem>
#include <stdlib.h>

using namespace limpet;
using namespace limpet::control;

namespace
{

namespace net = boost::asio;

constexpr std::size_t replica_count = 3;

std::uint16_t find_port(net::io_context& context)
{
    const net::ip::tcp::endpoint any(net::ip::make_address("127.0.4.1"), 0);
    net::ip::tcp::acceptor probe(context, any);
    return probe.local_endpoint().port();
}

struct seeded_group_fixture
{
    net::io_context context;
    std::string folder = make_folder();
    std::uint16_t peers_port = find_port(context);
    std::uint16_t operators_port = find_port(context);
    std::uint16_t metrics_port = find_port(context);
    std::array<fleet_orders*, replica_count> orders{};
    std::vector<std::unique_ptr<control_server>> servers;

    seeded_group_fixture()
    {
        for (std::size_t i = 0; i < replica_count; ++i)
        {
            start(i);
        }
        run_until(
            [this]
            {
                return std::all_of(orders.begin(),
                                   orders.end(),
                                   [](const fleet_orders* each)
                                   {
                                       return each->is_leader() ||
                                              each->leader();
                                   });
            });
    }

    ~seeded_group_fixture()
    {
        end_all();
        std::filesystem::remove_all(folder);
    }

    void end_all()
    {
        for (const auto& each : servers)
        {
            each->close();
        }
        context.poll();
        servers.clear();
        orders.fill(nullptr);
    }

    /// Ends all replicas at once and starts them with their disks.
    void restart_all()
    {
        end_all();
        for (std::size_t i = 0; i < replica_count; ++i)
        {
            start(i);
        }
    }

    /// Returns the result of an order that is repeated until it is known.
    status start_rollout(const std::string& target, duration length)
    {
        for (;;)
        {
            run_until(
                [this]
                {
                    return find_leader() != nullptr;
                });
            status done =
                wait(find_leader()->start_rollout({"s", target, length, {}}));
            if (is_ok(done) || error_of(done).code == error_code::conflict)
            {
                return done;
            }
        }
    }

    /// Returns the rollout that any replica reads, once one can.
    std::optional<rollout::record> read_rollout()
    {
        for (;;)
        {
            for (fleet_orders* each : orders)
            {
                auto known = wait(each->read_rollout("s"));
                if (is_ok(known))
                {
                    return value_of(std::move(known));
                }
            }
        }
    }

    seeded_group_fixture(const seeded_group_fixture&) = delete;
    seeded_group_fixture& operator=(const seeded_group_fixture&) = delete;

    static std::string make_folder()
    {
        std::string path =
            (std::filesystem::temp_directory_path() / "limpet-XXXXXX").string();
        BOOST_REQUIRE(::mkdtemp(path.data()) != nullptr);
        return path;
    }

    static std::string ip_of(std::size_t number)
    {
        return "127.0.4." + std::to_string(number + 1);
    }

    void start(std::size_t number)
    {
        control_settings settings;
        settings.vm = vm_id(ip_of(number));
        settings.data_centre = data_centre_id("north");
        settings.operators = {net::ip::make_address(ip_of(number)),
                              operators_port};
        settings.peers = {net::ip::make_address(ip_of(number)), peers_port};
        settings.metrics = {net::ip::make_address(ip_of(number)), metrics_port};
        settings.data_folder = folder + "/" + ip_of(number);
        std::filesystem::create_directory(settings.data_folder);
        settings.rollout_repeat_time = duration::zero();
        settings.discovery = control_settings::discovery_settings{};
        settings.discovery->first_start = true;
        for (std::size_t i = 0; i < replica_count; ++i)
        {
            settings.discovery->seeds.emplace_back(
                net::ip::make_address(ip_of(i)), operators_port);
        }
        auto new_server = control_server::create(
            context,
            settings,
            [this, number](fleet_orders& replica)
            {
                orders[number] = &replica;
                return [](http::exchange&) -> net::awaitable<void>
                {
                    co_return;
                };
            });
        BOOST_REQUIRE(is_ok(new_server));
        servers.push_back(value_of(std::move(new_server)));
    }

    fleet_orders* find_leader() const
    {
        for (fleet_orders* each : orders)
        {
            if (each != nullptr && each->is_leader())
            {
                return each;
            }
        }
        return nullptr;
    }

    template <class Condition>
    void run_until(Condition is_reached)
    {
        while (!is_reached())
        {
            context.run_one();
        }
    }

    template <class T>
    T wait(net::awaitable<T> work)
    {
        std::optional<T> result;
        net::co_spawn(context,
                      std::move(work),
                      [&result](const std::exception_ptr& failure, T value)
                      {
                          BOOST_REQUIRE(!failure);
                          result = std::move(value);
                      });
        run_until(
            [&result]
            {
                return result.has_value();
            });
        return std::move(*result);
    }

    /// Returns a heartbeat of a server that is ready.
    static directory::registration heartbeat(std::uint64_t sequence,
                                             std::uint64_t born_ms = 1000)
    {
        directory::registration row;
        row.id = engine_id("a");
        row.service = "s";
        row.address = "127.0.4.99:80";
        row.version = "v1";
        row.born_ms = born_ms;
        row.sequence = sequence;
        row.heard_at = monotonic_clock::now();
        return row;
    }

    /// Deregisters the server at the replica, again until it is acknowledged.
    void leave(std::size_t number)
    {
        while (!is_ok(wait(orders[number]->leave(engine_id("a")))))
        {
            context.run_one();
        }
    }

    /// Ends the replica and starts it with an empty disk.
    void replace_disk(std::size_t number)
    {
        servers[number]->close();
        context.poll();
        servers[number].reset();
        std::filesystem::remove_all(folder + "/" + ip_of(number));
        start(number);
        std::swap(servers[number], servers.back());
        servers.pop_back();
    }

    void put_document(std::uint64_t version, std::string text)
    {
        directory::command order;
        order.version = directory::document_version(version);
        order.document =
            std::make_shared<const directory::stored_document>(std::move(text));
        status done = error{error_code::unavailable, "not tried"};
        while (!is_ok(done))
        {
            run_until(
                [this]
                {
                    return find_leader() != nullptr;
                });
            done = wait(find_leader()->submit(order));
        }
    }

    /// Checks that no replica failed to write to its disk.
    void check_storage()
    {
        const auto client = http::client::create({});
        for (std::size_t i = 0; i < replica_count; ++i)
        {
            http::request question;
            question.method = "GET";
            question.target = "/metrics";
            const auto answer = wait(
                client->fetch({net::ip::make_address(ip_of(i)), metrics_port},
                              question,
                              seconds(5),
                              1 << 20));
            const auto* metrics = std::get_if<http::response>(&answer);
            BOOST_REQUIRE(metrics != nullptr);
            BOOST_TEST(metrics->body.find(
                           "limpet_control_storage_failures_total 0\n") !=
                       std::string::npos);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(control_groups)

BOOST_FIXTURE_TEST_CASE(every_replica_reads_the_last_acknowledged_document,
                        seeded_group_fixture)
{
    std::string text = "[";
    for (std::uint64_t version = 1; version <= 20; ++version)
    {
        text += "{" + std::to_string(version) + "},";
        put_document(version, text);
        for (fleet_orders* each : orders)
        {
            const auto document = wait(each->read_document());
            // A replica may temporarily not know a leader.
            if (is_ok(document))
            {
                BOOST_REQUIRE(value_of(document));
                BOOST_TEST(value_of(document)->text() == text);
            }
        }
    }
    std::size_t answered = 0;
    for (fleet_orders* each : orders)
    {
        answered += is_ok(wait(each->read_document())) ? 1 : 0;
    }
    BOOST_TEST(answered == replica_count);
    check_storage();
}

BOOST_FIXTURE_TEST_CASE(concurrent_documents_leave_the_highest_version,
                        seeded_group_fixture)
{
    put_document(1, "[{1}]");
    fleet_orders* const leader = find_leader();
    std::size_t ended = 0;
    for (std::uint64_t version = 2; version <= 8; ++version)
    {
        directory::command order;
        order.version = directory::document_version(version);
        order.document = std::make_shared<const directory::stored_document>(
            "[{1},{" + std::to_string(version) + "}]");
        net::co_spawn(
            context,
            leader->submit(std::move(order)),
            [&ended](const std::exception_ptr& failure, const status& done)
            {
                BOOST_TEST(!failure);
                BOOST_TEST(is_ok(done));
                ++ended;
            });
    }
    run_until(
        [&ended]
        {
            return ended == 7;
        });
    const auto document = wait(leader->read_document());
    BOOST_REQUIRE(is_ok(document));
    BOOST_TEST(value_of(document)->text() == "[{1},{8}]");
    check_storage();
}

BOOST_FIXTURE_TEST_CASE(rollout_is_acknowledged_again_and_bars_another,
                        seeded_group_fixture)
{
    BOOST_TEST(!read_rollout());
    BOOST_TEST(is_ok(start_rollout("v2", seconds(600))));
    const auto first = read_rollout();
    BOOST_REQUIRE(first);
    BOOST_TEST(first->target == "v2");
    BOOST_TEST(is_ok(start_rollout("v2", seconds(600))));
    BOOST_TEST(!is_ok(start_rollout("v3", seconds(600))));
    BOOST_TEST(!is_ok(start_rollout("v2", seconds(60))));
    BOOST_TEST((read_rollout()->id == first->id));
    BOOST_TEST((read_rollout()->current == rollout::phase::observing));
}

/// Without evidence the target is not known to be good, so it must not be
/// completed, and the outcome must survive the loss of all power.
BOOST_FIXTURE_TEST_CASE(outcome_of_a_rollout_survives_a_restart_of_all_replicas,
                        seeded_group_fixture)
{
    BOOST_TEST(is_ok(start_rollout("v2", milliseconds(1500))));
    const auto id = read_rollout()->id;
    while (read_rollout()->current == rollout::phase::observing)
    {
        context.run_one();
    }
    BOOST_TEST((read_rollout()->current == rollout::phase::rolled_back));
    restart_all();
    const auto known = read_rollout();
    BOOST_REQUIRE(known);
    BOOST_TEST((known->id == id));
    BOOST_TEST((known->current == rollout::phase::rolled_back));
    BOOST_TEST(known->target == "v2");
}

BOOST_FIXTURE_TEST_CASE(running_rollout_goes_on_after_a_restart_of_all_replicas,
                        seeded_group_fixture)
{
    BOOST_TEST(is_ok(start_rollout("v2", seconds(4))));
    const auto id = read_rollout()->id;
    restart_all();
    while (read_rollout()->current == rollout::phase::observing)
    {
        context.run_one();
    }
    BOOST_TEST((read_rollout()->id == id));
    BOOST_TEST((read_rollout()->current == rollout::phase::rolled_back));
}

/// Guards against deregistrations that only the replicas' memory holds.
BOOST_FIXTURE_TEST_CASE(deregistration_survives_a_restart_of_all_replicas,
                        seeded_group_fixture)
{
    orders[0]->take(heartbeat(3));
    leave(0);
    restart_all();
    for (fleet_orders* each : orders)
    {
        BOOST_TEST(
            (each->take(heartbeat(4)) == directory::merge_result::stale));
    }
    BOOST_TEST((orders[0]->take(heartbeat(1, 2000)) ==
                directory::merge_result::changed));
}

BOOST_FIXTURE_TEST_CASE(word_that_a_server_drains_survives_a_restart_of_all,
                        seeded_group_fixture)
{
    orders[1]->take(heartbeat(3));
    directory::registration draining = heartbeat(5);
    draining.state = directory::server_state::draining;
    const auto taken = orders[1]->take(draining);
    while (!is_ok(wait(orders[1]->record_draining(draining, taken))))
    {
        context.run_one();
    }
    restart_all();
    for (fleet_orders* each : orders)
    {
        BOOST_TEST(
            (each->take(heartbeat(4)) == directory::merge_result::stale));
    }
}

/// Guards against an acknowledgement of a report that arrives after a later
/// one, which no majority has stored.
BOOST_FIXTURE_TEST_CASE(late_word_that_a_server_drains_is_recorded,
                        seeded_group_fixture)
{
    directory::registration draining = heartbeat(5);
    draining.state = directory::server_state::draining;
    orders[1]->take(draining);
    draining.sequence = 4;
    const auto taken = orders[1]->take(draining);
    BOOST_TEST((taken == directory::merge_result::stale));
    while (!is_ok(wait(orders[1]->record_draining(draining, taken))))
    {
        context.run_one();
    }
    restart_all();
    BOOST_TEST(
        (orders[0]->take(heartbeat(3)) == directory::merge_result::stale));
}

/// Guards against an acknowledgement of what only one replica knows.
BOOST_FIXTURE_TEST_CASE(deregistration_survives_the_replica_that_took_it,
                        seeded_group_fixture)
{
    orders[0]->take(heartbeat(3));
    leave(0);
    replace_disk(0);
    std::size_t aware = 0;
    for (std::size_t i = 1; i < replica_count; ++i)
    {
        aware += orders[i]->take(heartbeat(4)) == directory::merge_result::stale
                     ? 1
                     : 0;
    }
    // A majority has stored it, one of them the replica that was lost.
    BOOST_TEST(aware >= 1U);
    // The replica with the empty disk learns of it.
    run_until(
        [this]
        {
            return orders[0]->take(heartbeat(4)) ==
                   directory::merge_result::stale;
        });
}

BOOST_FIXTURE_TEST_CASE(server_that_the_replica_does_not_know_is_deregistered,
                        seeded_group_fixture)
{
    orders[0]->take(heartbeat(3));
    leave(2);
    BOOST_TEST(
        (orders[2]->take(heartbeat(4)) == directory::merge_result::stale));
}

BOOST_AUTO_TEST_SUITE_END()

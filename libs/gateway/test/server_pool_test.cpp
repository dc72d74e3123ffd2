#include <limpet/gateway/server_pool.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace limpet;
using namespace limpet::gateway;

namespace
{

const time_point start(seconds(100));

directory::registration make_server(int number, std::uint32_t slots = 8)
{
    directory::registration row;
    row.id = engine_id("i-" + std::to_string(number));
    row.service = "s";
    row.address = "10.0.0." + std::to_string(number) + ":80";
    row.data_centre = data_centre_id(number % 2 == 0 ? "even" : "odd");
    row.slots = slots;
    row.born_ms = 1;
    row.heard_at = start;
    return row;
}

std::shared_ptr<const directory::route_table> make_plan(double cold_rate)
{
    directory::plan plan;
    plan.services["s"].name = "s";
    plan.services["s"].cold_rate = cold_rate;
    return std::make_shared<const directory::route_table>(plan);
}

server_query plain_query()
{
    server_query query;
    query.service = "s";
    return query;
}

server_query prompt_query(std::uint64_t subject, std::uint64_t own)
{
    server_query query = plain_query();
    query.parts = {{1, 500}, {subject, 10'000}, {own, 300}};
    query.prompt_tokens = 10'800;
    return query;
}

struct pool_of_servers
{
    server_pool pool{data_centre_id("even")};

    explicit pool_of_servers(int count = 6)
    {
        pool.set_plan(make_plan(0));
        for (int i = 0; i < count; ++i)
        {
            pool.apply(make_server(i));
        }
    }

    std::optional<engine_id> begin(const server_query& query,
                                   time_point now = start)
    {
        const auto choice = pool.choose(query, now);
        const auto* server = std::get_if<chosen_server>(&choice);
        if (server == nullptr)
        {
            return std::nullopt;
        }
        pool.on_begin(server->id, query, now);
        return server->id;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(server_pools, pool_of_servers)

BOOST_AUTO_TEST_CASE(burst_on_idle_servers_begins_up_to_their_slots)
{
    int begun = 0;
    while (begin(plain_query()))
    {
        ++begun;
    }
    BOOST_TEST(begun == 6 * 8);
    const auto full = pool.choose(plain_query(), start);
    BOOST_TEST((std::get<no_choice>(full) == no_choice::no_room));
}

BOOST_AUTO_TEST_CASE(no_server_is_loaded_far_beyond_the_mean)
{
    std::map<engine_id, int> loads;
    for (std::uint64_t i = 0; i < 36; ++i)
    {
        // All requests are about one subject.
        ++loads[*begin(prompt_query(7, 1000 + i))];
    }
    for (const auto& [id, load] : loads)
    {
        // Twice the mean and three is overload.
        BOOST_TEST(load <= 2 * 36 / 6 + 3);
    }
}

BOOST_AUTO_TEST_CASE(routers_agree_where_a_prompt_goes)
{
    pool_of_servers other;
    for (std::uint64_t subject = 10; subject < 40; ++subject)
    {
        const auto here = begin(prompt_query(subject, 1));
        pool.on_end(*here, request_end::answered, start);
        const auto there = other.begin(prompt_query(subject, 2));
        other.pool.on_end(*there, request_end::answered, start);
        BOOST_TEST(here->get() == there->get());
    }
}

BOOST_AUTO_TEST_CASE(subjects_spread_over_all_servers)
{
    std::set<engine_id> used;
    for (std::uint64_t subject = 10; subject < 100; ++subject)
    {
        const auto id = begin(prompt_query(subject, 1));
        used.insert(*id);
        pool.on_end(*id, request_end::answered, start);
    }
    BOOST_TEST(used.size() == 6U);
}

BOOST_AUTO_TEST_CASE(loss_of_a_server_moves_only_its_subjects)
{
    std::map<std::uint64_t, engine_id> before;
    for (std::uint64_t subject = 10; subject < 100; ++subject)
    {
        const auto id = begin(prompt_query(subject, 1));
        before[subject] = *id;
        pool.on_end(*id, request_end::answered, start);
    }
    auto lost = make_server(3);
    lost.state = directory::server_state::gone;
    pool.apply(lost);
    const time_point later = start + seconds(60);
    for (const auto& [subject, former] : before)
    {
        const auto id = begin(prompt_query(subject, 2), later);
        pool.on_end(*id, request_end::answered, later);
        if (former != lost.id)
        {
            BOOST_TEST(id->get() == former.get());
        }
    }
}

BOOST_AUTO_TEST_CASE(draining_or_taken_out_server_gets_nothing)
{
    for (int i = 0; i < 5; ++i)
    {
        auto leaving = make_server(i);
        leaving.state = directory::server_state::draining;
        pool.apply(leaving);
    }
    BOOST_TEST(begin(plain_query())->get() == "i-5");
    pool.set_taken_out({"odd"});
    const auto none = pool.choose(plain_query(), start);
    BOOST_TEST((std::get<no_choice>(none) == no_choice::no_server));
}

BOOST_AUTO_TEST_CASE(silent_server_is_the_last_resort)
{
    auto silent = make_server(0);
    silent.state = directory::server_state::silent;
    pool.apply(silent);
    for (int i = 0; i < 5 * 6; ++i)
    {
        BOOST_TEST(begin(plain_query())->get() != "i-0");
    }
}

BOOST_AUTO_TEST_CASE(server_that_fails_rests_and_returns)
{
    for (int i = 1; i < 6; ++i)
    {
        auto gone = make_server(i);
        gone.state = directory::server_state::gone;
        pool.apply(gone);
    }
    const auto id = begin(plain_query());
    pool.on_end(*id, request_end::unreachable, start);
    BOOST_TEST(!begin(plain_query()));
    BOOST_TEST((begin(plain_query(), start + seconds(1)) == id));
}

BOOST_AUTO_TEST_CASE(server_that_fails_more_than_others_gets_less)
{
    // i-0 answers every second request with a failure, the others none.
    std::map<engine_id, int> begun;
    for (int i = 0; i < 600; ++i)
    {
        const time_point now = start + i * milliseconds(20);
        const auto id = begin(plain_query(), now);
        const int number = begun[*id]++;
        const bool fails = id->get() == "i-0" && number % 2 == 0;
        pool.on_end(
            *id, fails ? request_end::failed : request_end::answered, now);
    }
    BOOST_TEST(begun[engine_id("i-0")] < 600 / 6 / 2);
    BOOST_TEST(begun[engine_id("i-0")] > 0);
}

BOOST_AUTO_TEST_CASE(data_centre_that_cannot_be_reached_is_left_out)
{
    pool.on_end(engine_id("i-1"), request_end::unreachable, start);
    pool.on_end(engine_id("i-3"), request_end::unreachable, start);
    for (int i = 0; i < 12; ++i)
    {
        BOOST_TEST(begin(plain_query())->get() != "i-5");
    }
    // One that is reached again brings the others back.
    pool.on_end(engine_id("i-5"), request_end::answered, start);
    for (int i : {0, 2, 4})
    {
        pool.on_load(engine_id("i-" + std::to_string(i)), {7, 0, 8}, start);
    }
    BOOST_TEST(begin(plain_query())->get() == "i-5");
}

BOOST_AUTO_TEST_CASE(unreachable_data_centre_is_used_when_it_is_the_only_one)
{
    pool.on_end(engine_id("i-1"), request_end::unreachable, start);
    pool.on_end(engine_id("i-3"), request_end::unreachable, start);
    pool.set_taken_out({"even"});
    BOOST_TEST(begin(plain_query())->get() == "i-5");
}

BOOST_AUTO_TEST_CASE(prompt_is_copied_from_where_it_was_sent)
{
    const auto first = begin(prompt_query(7, 1));
    server_query elsewhere = prompt_query(7, 2);
    elsewhere.excluded = {*first};
    const auto choice = pool.choose(elsewhere, start);
    const auto& second = std::get<chosen_server>(choice);
    BOOST_REQUIRE(second.copy_from.has_value());
    const std::string address = "10.0.0." + first->get().substr(2);
    BOOST_TEST(second.copy_from->address().to_string() == address);
    pool.on_begin(second.id, elsewhere, start);
    const auto again = pool.choose(elsewhere, start);
    BOOST_TEST(!std::get<chosen_server>(again).copy_from.has_value());
}

BOOST_AUTO_TEST_CASE(cold_servers_get_their_share_of_a_second)
{
    pool.set_plan(make_plan(16));
    pool.set_routers(8);
    for (int i = 0; i < 6; ++i)
    {
        auto cold = make_server(i);
        cold.cold_until = start + seconds(30);
        pool.apply(cold);
    }
    int begun = 0;
    constexpr int steps = 1000;
    for (int i = 0; i < steps; ++i)
    {
        const time_point now = start + duration(seconds(10)) * i / steps;
        if (const auto id = begin(plain_query(), now))
        {
            pool.on_end(*id, request_end::answered, now);
            ++begun;
        }
    }
    // 16 a second for each of 6 servers, shared by 8 routers, for 10 s, and
    // one at once for each server.
    BOOST_TEST(begun <= 16 * 6 / 8 * 10 + 6);
    BOOST_TEST(begun >= 16 * 6 / 8 * 10 - 6);
}

BOOST_AUTO_TEST_CASE(stated_load_of_other_routers_counts)
{
    for (int i = 1; i < 6; ++i)
    {
        pool.on_load(engine_id("i-" + std::to_string(i)), {6, 0, 8}, start);
    }
    BOOST_TEST(begin(plain_query())->get() == "i-0");
    BOOST_TEST(begin(plain_query())->get() == "i-0");
}

BOOST_AUTO_TEST_CASE(stated_load_counts_longer_among_many_routers)
{
    pool.set_routers(58);
    for (int i = 1; i < 6; ++i)
    {
        pool.on_load(engine_id("i-" + std::to_string(i)), {6, 0, 8}, start);
    }
    // Each of 58 routers hears of a server only every few seconds.
    for (int i = 0; i < 3; ++i)
    {
        BOOST_TEST(begin(plain_query(), start + seconds(4))->get() == "i-0");
    }
}

BOOST_AUTO_TEST_SUITE_END()

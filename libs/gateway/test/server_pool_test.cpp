#include <limpet/gateway/server_pool.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace limpet;
using namespace limpet::gateway;

namespace
{

const time_point start_time(seconds(100));

directory::registration make_registration(int number, std::uint32_t slots = 8)
{
    directory::registration row;
    row.id = engine_id("i-" + std::to_string(number));
    row.service = "s";
    row.address = "10.0.0." + std::to_string(number) + ":80";
    row.data_centre = data_centre_id(number % 2 == 0 ? "even" : "odd");
    row.slots = slots;
    row.born_ms = 1;
    row.heard_at = start_time;
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

server_query prompt_query(std::uint64_t affinity_part,
                          std::uint64_t unique_part)
{
    server_query query = plain_query();
    query.parts = {{1, 500}, {affinity_part, 10'000}, {unique_part, 300}};
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
            pool.apply(make_registration(i), start_time);
        }
    }

    std::optional<engine_id> start_request(const server_query& query,
                                           time_point now = start_time)
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

BOOST_AUTO_TEST_CASE(burst_on_idle_servers_starts_up_to_their_slots)
{
    int started = 0;
    while (start_request(plain_query()))
    {
        ++started;
    }
    BOOST_TEST(started == 6 * 8);
    const auto full = pool.choose(plain_query(), start_time);
    BOOST_TEST(
        (std::get<selection_failure>(full) == selection_failure::no_room));
}

BOOST_AUTO_TEST_CASE(no_server_is_loaded_far_beyond_the_mean)
{
    std::map<engine_id, int> loads;
    for (std::uint64_t i = 0; i < 36; ++i)
    {
        // All requests have the same affinity part.
        ++loads[*start_request(prompt_query(7, 1000 + i))];
    }
    for (const auto& [id, load] : loads)
    {
        // More than twice the mean plus three counts as overload.
        BOOST_TEST(load <= 2 * 36 / 6 + 3);
    }
}

BOOST_AUTO_TEST_CASE(routers_agree_on_the_server_of_a_prompt)
{
    pool_of_servers other;
    for (std::uint64_t affinity_part = 10; affinity_part < 40; ++affinity_part)
    {
        const auto here = start_request(prompt_query(affinity_part, 1));
        pool.on_end(*here, attempt_outcome::answered, start_time);
        const auto there = other.start_request(prompt_query(affinity_part, 2));
        other.pool.on_end(*there, attempt_outcome::answered, start_time);
        BOOST_TEST(here->get() == there->get());
    }
}

BOOST_AUTO_TEST_CASE(affinity_parts_spread_over_all_servers)
{
    std::set<engine_id> used;
    for (std::uint64_t affinity_part = 10; affinity_part < 100; ++affinity_part)
    {
        const auto id = start_request(prompt_query(affinity_part, 1));
        used.insert(*id);
        pool.on_end(*id, attempt_outcome::answered, start_time);
    }
    BOOST_TEST(used.size() == 6U);
}

BOOST_AUTO_TEST_CASE(loss_of_a_server_moves_only_its_affinity_parts)
{
    std::map<std::uint64_t, engine_id> before;
    for (std::uint64_t affinity_part = 10; affinity_part < 100; ++affinity_part)
    {
        const auto id = start_request(prompt_query(affinity_part, 1));
        before[affinity_part] = *id;
        pool.on_end(*id, attempt_outcome::answered, start_time);
    }
    auto removed = make_registration(3);
    removed.state = directory::server_state::gone;
    pool.apply(removed, start_time);
    const time_point later = start_time + seconds(60);
    for (const auto& [affinity_part, former] : before)
    {
        const auto id = start_request(prompt_query(affinity_part, 2), later);
        pool.on_end(*id, attempt_outcome::answered, later);
        if (former != removed.id)
        {
            BOOST_TEST(id->get() == former.get());
        }
    }
}

BOOST_AUTO_TEST_CASE(draining_or_taken_out_server_gets_nothing)
{
    for (int i = 0; i < 5; ++i)
    {
        auto leaving = make_registration(i);
        leaving.state = directory::server_state::draining;
        pool.apply(leaving, start_time);
    }
    BOOST_TEST(start_request(plain_query())->get() == "i-5");
    pool.set_taken_out({"odd"});
    const auto none = pool.choose(plain_query(), start_time);
    BOOST_TEST(
        (std::get<selection_failure>(none) == selection_failure::no_server));
}

BOOST_AUTO_TEST_CASE(silent_server_is_selected_last)
{
    auto silent = make_registration(0);
    silent.state = directory::server_state::silent;
    pool.apply(silent, start_time);
    for (int i = 0; i < 5 * 6; ++i)
    {
        BOOST_TEST(start_request(plain_query())->get() != "i-0");
    }
}

BOOST_AUTO_TEST_CASE(failing_server_is_used_again_after_a_backoff)
{
    for (int i = 1; i < 6; ++i)
    {
        auto gone = make_registration(i);
        gone.state = directory::server_state::gone;
        pool.apply(gone, start_time);
    }
    const auto id = start_request(plain_query());
    pool.on_end(*id, attempt_outcome::unreachable, start_time);
    BOOST_TEST(!start_request(plain_query()));
    BOOST_TEST((start_request(plain_query(), start_time + seconds(1)) == id));
}

BOOST_AUTO_TEST_CASE(server_with_a_higher_failure_rate_gets_fewer_requests)
{
    // i-0 fails every second request; the other servers fail none.
    std::map<engine_id, int> started;
    for (int i = 0; i < 600; ++i)
    {
        const time_point now = start_time + i * milliseconds(20);
        const auto id = start_request(plain_query(), now);
        const int number = started[*id]++;
        const bool fails = id->get() == "i-0" && number % 2 == 0;
        pool.on_end(*id,
                    fails ? attempt_outcome::failed : attempt_outcome::answered,
                    now);
    }
    BOOST_TEST(started[engine_id("i-0")] < 600 / 6 / 2);
    BOOST_TEST(started[engine_id("i-0")] > 0);
}

BOOST_AUTO_TEST_CASE(unreachable_data_centre_is_skipped)
{
    pool.on_end(engine_id("i-1"), attempt_outcome::unreachable, start_time);
    pool.on_end(engine_id("i-3"), attempt_outcome::unreachable, start_time);
    for (int i = 0; i < 12; ++i)
    {
        BOOST_TEST(start_request(plain_query())->get() != "i-5");
    }
    // A single reachable server restores the whole data centre.
    pool.on_end(engine_id("i-5"), attempt_outcome::answered, start_time);
    for (int i : {0, 2, 4})
    {
        pool.on_load(
            engine_id("i-" + std::to_string(i)), {7, 0, 8}, start_time);
    }
    BOOST_TEST(start_request(plain_query())->get() == "i-5");
}

BOOST_AUTO_TEST_CASE(unreachable_data_centre_is_used_when_it_is_the_only_one)
{
    pool.on_end(engine_id("i-1"), attempt_outcome::unreachable, start_time);
    pool.on_end(engine_id("i-3"), attempt_outcome::unreachable, start_time);
    pool.set_taken_out({"even"});
    BOOST_TEST(start_request(plain_query())->get() == "i-5");
}

BOOST_AUTO_TEST_CASE(prompt_is_copied_from_where_it_was_sent)
{
    const auto first = start_request(prompt_query(7, 1));
    server_query elsewhere = prompt_query(7, 2);
    elsewhere.excluded = {*first};
    const auto choice = pool.choose(elsewhere, start_time);
    const auto& second = std::get<chosen_server>(choice);
    BOOST_REQUIRE(second.copy_from.has_value());
    const std::string address = "10.0.0." + first->get().substr(2);
    BOOST_TEST(second.copy_from->address().to_string() == address);
    pool.on_begin(second.id, elsewhere, start_time);
    const auto again = pool.choose(elsewhere, start_time);
    BOOST_TEST(!std::get<chosen_server>(again).copy_from.has_value());
}

BOOST_AUTO_TEST_CASE(cold_servers_are_limited_to_their_rate)
{
    pool.set_plan(make_plan(16));
    pool.set_routers(8);
    for (int i = 0; i < 6; ++i)
    {
        auto cold = make_registration(i);
        cold.cold_until = start_time + seconds(30);
        pool.apply(cold, start_time);
    }
    int started = 0;
    constexpr int steps = 1000;
    for (int i = 0; i < steps; ++i)
    {
        const time_point now = start_time + duration(seconds(10)) * i / steps;
        if (const auto id = start_request(plain_query(), now))
        {
            pool.on_end(*id, attempt_outcome::answered, now);
            ++started;
        }
    }
    // 16 requests per second and server, shared by 8 routers, at 6 servers for
    // 10 s, plus or minus the initial token of each server.
    BOOST_TEST(started <= 16 * 6 / 8 * 10 + 6);
    BOOST_TEST(started >= 16 * 6 / 8 * 10 - 6);
}

BOOST_AUTO_TEST_CASE(reported_load_of_other_routers_counts)
{
    for (int i = 1; i < 6; ++i)
    {
        pool.on_load(
            engine_id("i-" + std::to_string(i)), {6, 0, 8}, start_time);
    }
    BOOST_TEST(start_request(plain_query())->get() == "i-0");
    BOOST_TEST(start_request(plain_query())->get() == "i-0");
}

BOOST_AUTO_TEST_CASE(requests_of_other_routers_count)
{
    directory::load_update others;
    others.resets = true;
    for (int i = 1; i < 6; ++i)
    {
        others.changed.push_back(
            {directory::load_key_of(engine_id("i-" + std::to_string(i))), 6});
    }
    pool.on_load_update(others, start_time);
    BOOST_TEST(start_request(plain_query())->get() == "i-0");
    const auto choice = pool.choose(plain_query(), start_time);
    const load_assessment& known = std::get<chosen_server>(choice).assessment;
    BOOST_TEST((known.source == load_source::exchange));
    BOOST_TEST(known.assumed_load == 1);
    BOOST_TEST(known.own_requests == 1U);
    BOOST_TEST(known.mean_load == 31.0 / 6);
}

BOOST_AUTO_TEST_CASE(servers_filled_by_other_routers_are_sent_requests_to_queue)
{
    const auto set_other_requests = [this](std::uint32_t requests)
    {
        directory::load_update others;
        others.resets = true;
        for (int i = 0; i < 6; ++i)
        {
            others.changed.push_back(
                {directory::load_key_of(engine_id("i-" + std::to_string(i))),
                 requests});
        }
        pool.on_load_update(others, start_time);
    };
    set_other_requests(8);
    BOOST_TEST(start_request(plain_query()).has_value());
    set_other_requests(16);
    BOOST_TEST(!start_request(plain_query()).has_value());
}

BOOST_AUTO_TEST_CASE(own_requests_are_told_as_they_change)
{
    const auto id = start_request(plain_query());
    const auto first = pool.take_load_update(start_time);
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(first->resets);
    BOOST_REQUIRE(first->changed.size() == 1U);
    BOOST_TEST(first->changed[0].server == directory::load_key_of(*id));
    BOOST_TEST(first->changed[0].requests == 1U);
    pool.on_load_update({}, start_time);
    BOOST_TEST(pool.take_load_update(start_time)->changed.empty());
    pool.on_load_update({}, start_time);
    pool.on_end(*id, attempt_outcome::answered, start_time);
    const auto last = pool.take_load_update(start_time);
    BOOST_REQUIRE(last->changed.size() == 1U);
    BOOST_TEST(last->changed[0].requests == 0U);
}

BOOST_AUTO_TEST_CASE(own_requests_are_not_told_before_an_answer_is_due)
{
    BOOST_TEST(pool.take_load_update(start_time).has_value());
    const time_point soon = start_time + milliseconds(400);
    BOOST_TEST(!pool.take_load_update(soon).has_value());
    pool.on_load_update({}, soon);
    BOOST_TEST(pool.take_load_update(soon).has_value());
    // Without an answer again, until it is probably lost.
    BOOST_TEST(pool.take_load_update(soon + milliseconds(500)).has_value());
}

BOOST_AUTO_TEST_CASE(reports_of_servers_count_after_the_exchange_ends)
{
    pool.on_load_update({true, false, {}}, start_time);
    for (int i = 1; i < 6; ++i)
    {
        pool.on_load(
            engine_id("i-" + std::to_string(i)), {6, 0, 8}, start_time);
    }
    const auto source_at = [this](time_point now)
    {
        const auto choice = pool.choose(plain_query(), now);
        return std::get<chosen_server>(choice).assessment;
    };
    BOOST_TEST((source_at(start_time).source == load_source::exchange));
    BOOST_TEST(source_at(start_time).mean_load == 0);
    const time_point later = start_time + milliseconds(1100);
    BOOST_TEST(source_at(later).mean_load > 1);
    pool.on_load_update({}, later);
    pool.on_load_peer_replaced();
    BOOST_TEST(source_at(later).mean_load > 1);
}

BOOST_AUTO_TEST_CASE(selection_tells_the_load_that_it_assumed)
{
    const auto first = pool.choose(prompt_query(7, 1), start_time);
    const auto& unknown = std::get<chosen_server>(first);
    BOOST_TEST((unknown.assessment.source == load_source::none));
    BOOST_TEST((unknown.assessment.rank == std::size_t{0}));
    pool.on_load(unknown.id, {2, 1, 8}, start_time);
    const auto second =
        pool.choose(prompt_query(7, 2), start_time + milliseconds(10));
    const load_assessment& known = std::get<chosen_server>(second).assessment;
    BOOST_TEST((known.source == load_source::report));
    BOOST_TEST((known.age == duration(milliseconds(10))));
    BOOST_TEST(known.assumed_load > 2.9);
    BOOST_TEST(known.mean_load > 2.9 / 6);
    BOOST_TEST(known.load_bound > 2.9);
    BOOST_TEST(known.own_requests == 0U);
}

BOOST_AUTO_TEST_CASE(load_report_decays_slower_with_many_routers)
{
    pool.set_routers(58);
    for (int i = 1; i < 6; ++i)
    {
        pool.on_load(
            engine_id("i-" + std::to_string(i)), {6, 0, 8}, start_time);
    }
    // Each of 58 routers receives a server's load only every few seconds.
    for (int i = 0; i < 3; ++i)
    {
        BOOST_TEST(
            start_request(plain_query(), start_time + seconds(4))->get() ==
            "i-0");
    }
}

BOOST_AUTO_TEST_CASE(only_version_counts_servers_that_have_left)
{
    const auto service = origins::make_service_key("s");
    const auto version = origins::make_version_key("s", "");
    const auto since = [](int ago)
    {
        return start_time + seconds(100) - seconds(ago);
    };
    BOOST_TEST((pool.only_version(service, since(50)) == version));
    directory::registration other = make_registration(9);
    other.version = "v2";
    pool.apply(other, start_time + seconds(60));
    BOOST_TEST(!pool.only_version(service, since(50)).has_value());
    other.state = directory::server_state::gone;
    pool.apply(other, start_time + seconds(70));
    BOOST_TEST(!pool.only_version(service, since(31)).has_value());
    BOOST_TEST((pool.only_version(service, since(29)) == version));
}

BOOST_AUTO_TEST_CASE(only_version_counts_what_a_restarted_server_had)
{
    const auto service = origins::make_service_key("s");
    for (int i = 0; i < 6; ++i)
    {
        directory::registration restarted = make_registration(i);
        restarted.born_ms = 2;
        restarted.version = "v2";
        pool.apply(restarted, start_time + seconds(10 + i));
    }
    BOOST_TEST(
        !pool.only_version(service, start_time + seconds(15)).has_value());
    BOOST_TEST((pool.only_version(service, start_time + seconds(16)) ==
                origins::make_version_key("s", "v2")));
}

BOOST_AUTO_TEST_CASE(resumable_stream_begins_at_a_new_version_once_it_is_known)
{
    const auto service = origins::make_service_key("s");
    const auto former = origins::make_version_key("s", "");
    const auto added = origins::make_version_key("s", "v2");
    server_query query = plain_query();
    query.is_resumable = true;
    pool.set_recorded_versions({{service, {former}}}, start_time);
    for (int i = 0; i < 6; ++i)
    {
        directory::registration gone = make_registration(i);
        gone.state = directory::server_state::gone;
        pool.apply(gone, start_time);
    }
    directory::registration row = make_registration(9);
    row.version = "v2";
    pool.apply(row, start_time);
    BOOST_TEST(!start_request(query).has_value());
    BOOST_TEST(start_request(plain_query()).has_value());
    const time_point recorded_at = start_time + milliseconds(600);
    pool.set_recorded_versions({{service, {former, added}}}, recorded_at);
    const time_point known_at = recorded_at + origins::certainty_time;
    BOOST_TEST(!start_request(query, known_at - milliseconds(1)).has_value());
    BOOST_TEST(start_request(query, known_at).has_value());
}

BOOST_AUTO_TEST_CASE(
    resumable_stream_begins_at_a_version_that_cannot_be_recorded_after_3_s)
{
    server_query query = plain_query();
    query.is_resumable = true;
    BOOST_TEST(start_request(query).has_value());
    directory::registration row = make_registration(9, 100);
    row.version = "v2";
    pool.apply(row, start_time);
    const auto begins_at_new = [this, &query, &row](time_point now)
    {
        for (int i = 0; i < 200; ++i)
        {
            if (start_request(query, now) == row.id)
            {
                return true;
            }
        }
        return false;
    };
    BOOST_TEST(!begins_at_new(start_time + milliseconds(2999)));
    BOOST_TEST(begins_at_new(start_time + seconds(3)));
}

BOOST_AUTO_TEST_CASE(version_that_is_not_recorded_is_not_the_only_one)
{
    const auto service = origins::make_service_key("s");
    pool.set_recorded_versions(
        {{service, {origins::make_version_key("s", "v0")}}}, start_time);
    BOOST_TEST(
        !pool.only_version(service, start_time + seconds(1)).has_value());
}

BOOST_AUTO_TEST_CASE(service_has_no_only_version_after_another_was_recorded)
{
    const auto service = origins::make_service_key("s");
    const auto former = origins::make_version_key("s", "");
    pool.set_recorded_versions({{service, {former}}}, start_time);
    BOOST_TEST((pool.only_version(service, start_time - seconds(9)) == former));
    const time_point recorded_at = start_time + seconds(1);
    pool.set_recorded_versions(
        {{service, {former, origins::make_version_key("s", "v2")}}},
        recorded_at);
    BOOST_TEST(!pool.only_version(service, start_time).has_value());
    BOOST_TEST(
        (pool.only_version(service, recorded_at + milliseconds(1)) == former));
}

/// Callers name the parts of their prompts, thousands in one head.
BOOST_AUTO_TEST_CASE(parts_of_prompts_at_all_servers_together_are_bounded)
{
    constexpr int servers = 200;
    constexpr std::uint64_t parts_of_prompt = 2500;
    constexpr std::size_t most = 128UL * 1024;
    pool_of_servers many(servers);
    std::uint64_t part = 1;
    for (int i = 0; i < servers; ++i)
    {
        server_query query = plain_query();
        for (std::uint64_t n = 0; n < parts_of_prompt; ++n)
        {
            query.parts.push_back({part++, 1});
        }
        many.pool.on_begin(
            engine_id("i-" + std::to_string(i)), query, start_time);
    }
    BOOST_TEST(many.pool.tracked_parts() > 0U);
    BOOST_TEST(many.pool.tracked_parts() <= most);
}

BOOST_AUTO_TEST_SUITE_END()

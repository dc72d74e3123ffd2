#include "fleet.hpp"
#include "message.hpp"

#include <boost/test/unit_test.hpp>

namespace limpet::membership
{

namespace
{

constexpr auto settled = seconds(30);

struct two_by_two
{
    two_by_two()
        : routers(make_locations("ab", 2))
    {
    }

    /// Returns an engine of data centre a that the given router owns.
    announcement engine_owned_by(const std::string& vm)
    {
        for (int i = 0;; ++i)
        {
            auto server = make_engine("e" + std::to_string(i), "a");
            const engine_record record{server};
            const view current(1,
                               routers.at("a1").snapshot()->routers(),
                               {std::make_shared<engine_record>(record)});
            if (current.owner_of(server.engine)->self.vm.get() == vm)
            {
                return server;
            }
        }
    }

    bool offers(const std::string& vm, const std::string& engine)
    {
        const auto current = routers.at(vm).snapshot();
        const auto* entry = current->find_engine(engine_id(engine));
        return entry != nullptr && entry->engine->accepts_work();
    }

    fleet routers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(node_test, two_by_two)

BOOST_AUTO_TEST_CASE(routers_started_together_agree_on_owners_and_load)
{
    for (int i = 0; i < 12; ++i)
    {
        const std::string data_centre(1, "ab"[i % 2]);
        routers.keep_alive(make_engine("e" + std::to_string(i), data_centre),
                           {"a1", "b2"});
    }
    routers.run(settled);
    for (int i = 0; i < 12; ++i)
    {
        const auto id = "e" + std::to_string(i);
        const auto owner = routers.owner("a1", id);
        routers.at(owner).set_load(engine_id(id), {3, 8, i != 0});
    }
    routers.run(seconds(3));
    for (const auto& vm : routers.up())
    {
        const auto load = routers.at(vm).load_of(model_id("m"), routers.now);
        BOOST_REQUIRE(load.has_value());
        BOOST_TEST(load->in_flight == 36U);
        BOOST_TEST(load->eligible == 11U);
        BOOST_TEST(to_seconds(load->age) <= 1.0);
    }
}

BOOST_AUTO_TEST_CASE(router_leaving_hands_over_and_new_owner_is_full_at_once)
{
    routers.run(settled);
    const auto server = engine_owned_by("a1");
    const auto id = server.engine.get();
    routers.keep_alive(server, {"a2"});
    routers.run(settled);
    BOOST_REQUIRE((routers.mode("a1", id) == ownership_mode::full));
    routers.at("a1").set_load(server.engine, {5, 9, true});
    const auto before =
        routers.at("a1").ownership_of(server.engine, routers.now);
    routers.leave("a1");
    BOOST_TEST((routers.mode("a1", id) == ownership_mode::none));
    routers.run(seconds(1));
    const auto after =
        routers.at("a2").ownership_of(server.engine, routers.now);
    BOOST_TEST((after.mode == ownership_mode::full));
    BOOST_REQUIRE(after.inherited.has_value());
    BOOST_TEST(after.inherited->in_flight == 5U);
    BOOST_TEST(after.inherited->limit == 9U);
    routers.at("a1").set_load(server.engine, {0, 9, true});
    routers.run(seconds(3));
    const auto ended =
        routers.at("a2").ownership_of(server.engine, routers.now);
    BOOST_TEST(ended.inherited->in_flight == 0U);
    BOOST_TEST(ended.may_order);
    BOOST_TEST((ended.fencing > before.fencing));
}

BOOST_AUTO_TEST_CASE(isolated_router_loses_ownership_before_new_owner_is_full)
{
    routers.run(settled);
    const auto server = engine_owned_by("a1");
    const auto id = server.engine.get();
    routers.keep_alive(server, {"a2"});
    routers.run(settled);
    routers.is_cut = [](const std::string& from, const std::string& to)
    {
        return from == "a1" || to == "a1";
    };
    routers.run(seconds(40));
    BOOST_TEST((routers.mode("a1", id) == ownership_mode::none));
    BOOST_TEST((routers.mode("a2", id) == ownership_mode::full));
}

BOOST_AUTO_TEST_CASE(partitioned_data_centre_keeps_ownership_of_its_engines)
{
    routers.run(settled);
    const auto server = engine_owned_by("a1");
    routers.keep_alive(server, {"a2"});
    routers.run(settled);
    routers.is_cut = [](const std::string& from, const std::string& to)
    {
        return from[0] != to[0];
    };
    routers.run(seconds(60),
                [&]
                {
                    BOOST_TEST((routers.mode("a1", server.engine.get()) ==
                                ownership_mode::full));
                });
    for (const auto* vm : {"b1", "b2"})
    {
        BOOST_TEST(
            (routers.mode(vm, server.engine.get()) == ownership_mode::none));
    }
}

BOOST_AUTO_TEST_CASE(superseded_process_reports_it_and_sends_nothing_more)
{
    routers.run(settled);
    const auto self =
        routers.at("a1").snapshot()->find_router(vm_id("a1"))->self;
    node former(settings{}, self, incarnation(1), {}, 1, routers.now);
    router_record later;
    later.self = self;
    later.started = incarnation(2);
    message input;
    input.from = key_of(vm_id("a2"));
    input.started = incarnation(1000);
    input.content = gossip{};
    input.changes.routers.push_back(later);
    const auto todo = former.receive(encode(input), routers.now);
    BOOST_REQUIRE(todo.size() == 1U);
    BOOST_TEST((std::get<superseded>(todo[0]).by == incarnation(2)));
    BOOST_TEST(former.tick(routers.now + seconds(1)).empty());
    BOOST_TEST(former.snapshot()->routers().empty());
}

BOOST_AUTO_TEST_CASE(message_of_an_earlier_incarnation_is_ignored)
{
    routers.run(settled);
    const auto record = *routers.at("a1").snapshot()->find_router(vm_id("a1"));
    message old;
    old.from = key_of(vm_id("a1"));
    old.started = incarnation(999);
    old.content = gossip{};
    auto left = record;
    left.started = incarnation(999);
    left.state = router_state::left;
    left.version = 99;
    old.changes.routers.push_back(left);
    BOOST_TEST(routers.at("b1").receive(encode(old), routers.now).empty());
    routers.run(seconds(1));
    BOOST_TEST(routers.at("b1").snapshot()->find_router(vm_id("a1")) !=
               nullptr);
}

BOOST_AUTO_TEST_CASE(engine_leaving_is_offered_nowhere_within_three_seconds)
{
    auto server = make_engine("e", "a");
    routers.keep_alive(server, {"a1"});
    routers.run(settled);
    server.leaving = true;
    BOOST_REQUIRE(routers.announce("b2", server));
    routers.run(seconds(3));
    for (const auto& vm : routers.up())
    {
        BOOST_TEST(!offers(vm, "e"));
    }
    server.leaving = false;
    BOOST_TEST(!routers.announce("a1", server));
}

BOOST_AUTO_TEST_CASE(engine_that_does_not_renew_is_removed_and_may_come_back)
{
    const auto server = make_engine("e", "a");
    routers.keep_alive(server, {"a1"});
    routers.run(settled);
    routers.stop_renewing("e");
    routers.run(seconds(60));
    for (const auto& vm : routers.up())
    {
        BOOST_TEST(!offers(vm, "e"));
    }
    BOOST_TEST(routers.announce("b1", server));
    routers.run(seconds(3));
    for (const auto& vm : routers.up())
    {
        BOOST_TEST(offers(vm, "e"));
    }
}

BOOST_AUTO_TEST_CASE(announcement_of_an_older_incarnation_is_refused)
{
    BOOST_TEST(routers.announce("a1", make_engine("e", "a", 5)));
    routers.run(seconds(2));
    for (const auto& vm : routers.up())
    {
        BOOST_TEST(!routers.announce(vm, make_engine("e", "a", 4)));
        BOOST_TEST(routers.announce(vm, make_engine("e", "a", 5)));
    }
}

BOOST_AUTO_TEST_CASE(engine_flapping_for_ten_minutes_is_damped)
{
    routers.run(settled);
    int accepted = 0;
    for (std::uint64_t started = 1; started <= 600; ++started)
    {
        accepted +=
            routers.announce("a1", make_engine("e", "a", started)) ? 1 : 0;
        routers.run(seconds(1));
    }
    // A few changes are accepted without backoff, the next ones with a doubling
    // backoff, then one per maximum backoff.
    BOOST_TEST(accepted >= 10);
    BOOST_TEST(accepted <= 25);
}

BOOST_AUTO_TEST_CASE(flapping_router_causes_bounded_traffic)
{
    routers.run(settled);
    const auto count_minutes = [this](bool flapping)
    {
        const auto before = routers.bytes;
        for (int i = 0; i < 12; ++i)
        {
            if (flapping)
            {
                routers.kill("b2");
                routers.run(seconds(5));
                routers.start("b2");
            }
            routers.run(seconds(5));
        }
        return static_cast<double>(routers.bytes - before) /
               (flapping ? 120.0 : 60.0);
    };
    const auto quiet = count_minutes(false);
    const auto flapping = count_minutes(true);
    BOOST_TEST(flapping < 2 * quiet);
    BOOST_TEST(!routers.at("a1").snapshot()->find_router(vm_id("b2"))->ready);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(regions_test)

BOOST_AUTO_TEST_CASE(regions_exchange_only_load_sums)
{
    fleet routers({{"a1", "a", "r1"},
                   {"a2", "a", "r1"},
                   {"b1", "b", "r2"},
                   {"b2", "b", "r2"}});
    routers.keep_alive(make_engine("e1", "a"), {"a1"});
    routers.keep_alive(make_engine("e2", "b"), {"b1"});
    routers.run(seconds(60));
    const auto load =
        routers.at("a2").load_of(region_id("r2"), model_id("m"), routers.now);
    BOOST_REQUIRE(load.has_value());
    BOOST_TEST(load->eligible == 1U);
    BOOST_TEST(routers.at("a2").snapshot()->routers().size() == 2U);
    BOOST_TEST(routers.at("a2").snapshot()->engines().size() == 1U);
}

BOOST_AUTO_TEST_CASE(single_router_owns_and_orders_alone)
{
    fleet routers({{"a1", "a", "r1"}});
    routers.keep_alive(make_engine("e", "a"), {"a1"});
    routers.run(seconds(15));
    const auto standing =
        routers.at("a1").ownership_of(engine_id("e"), routers.now);
    BOOST_TEST((standing.mode == ownership_mode::full));
    BOOST_TEST(standing.may_order);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace limpet::membership

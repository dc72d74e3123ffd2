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
        : all(places("ab", 2))
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
                               all.at("a1").snapshot()->routers(),
                               {std::make_shared<engine_record>(record)});
            if (current.owner_of(server.engine)->self.vm.get() == vm)
            {
                return server;
            }
        }
    }

    bool offers(const std::string& vm, const std::string& engine)
    {
        const auto current = all.at(vm).snapshot();
        const auto* entry = current->find_engine(engine_id(engine));
        return entry != nullptr && entry->engine->accepts_work();
    }

    fleet all;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(node_test, two_by_two)

BOOST_AUTO_TEST_CASE(fleet_started_together_agrees_on_owners_and_load)
{
    for (int i = 0; i < 12; ++i)
    {
        const std::string data_centre(1, "ab"[i % 2]);
        all.keep_alive(make_engine("e" + std::to_string(i), data_centre),
                       {"a1", "b2"});
    }
    all.run(settled);
    for (int i = 0; i < 12; ++i)
    {
        const auto id = "e" + std::to_string(i);
        const auto owner = all.owner("a1", id);
        all.at(owner).set_load(engine_id(id), {3, 8, i != 0});
    }
    all.run(seconds(3));
    for (const auto& vm : all.up())
    {
        const auto load = all.at(vm).load_of(model_id("m"), all.now);
        BOOST_REQUIRE(load.has_value());
        BOOST_TEST(load->in_flight == 36U);
        BOOST_TEST(load->eligible == 11U);
        BOOST_TEST(to_seconds(load->age) <= 1.0);
    }
}

BOOST_AUTO_TEST_CASE(router_leaving_hands_over_and_new_owner_is_full_at_once)
{
    all.run(settled);
    const auto server = engine_owned_by("a1");
    const auto id = server.engine.get();
    all.keep_alive(server, {"a2"});
    all.run(settled);
    BOOST_REQUIRE((all.mode("a1", id) == ownership_mode::full));
    all.at("a1").set_load(server.engine, {5, 9, true});
    const auto before = all.at("a1").ownership_of(server.engine, all.now);
    all.leave("a1");
    BOOST_TEST((all.mode("a1", id) == ownership_mode::none));
    all.run(seconds(1));
    const auto after = all.at("a2").ownership_of(server.engine, all.now);
    BOOST_TEST((after.mode == ownership_mode::full));
    BOOST_REQUIRE(after.inherited.has_value());
    BOOST_TEST(after.inherited->in_flight == 5U);
    BOOST_TEST(after.inherited->limit == 9U);
    all.at("a1").set_load(server.engine, {0, 9, true});
    all.run(seconds(3));
    const auto ended = all.at("a2").ownership_of(server.engine, all.now);
    BOOST_TEST(ended.inherited->in_flight == 0U);
    BOOST_TEST(ended.may_order);
    BOOST_TEST((ended.fencing > before.fencing));
}

BOOST_AUTO_TEST_CASE(router_isolated_stops_before_the_new_owner_is_full)
{
    all.run(settled);
    const auto server = engine_owned_by("a1");
    const auto id = server.engine.get();
    all.keep_alive(server, {"a2"});
    all.run(settled);
    all.is_cut = [](const std::string& from, const std::string& to)
    {
        return from == "a1" || to == "a1";
    };
    all.run(seconds(40));
    BOOST_TEST((all.mode("a1", id) == ownership_mode::none));
    BOOST_TEST((all.mode("a2", id) == ownership_mode::full));
}

BOOST_AUTO_TEST_CASE(data_centre_cut_off_keeps_serving_its_engines)
{
    all.run(settled);
    const auto server = engine_owned_by("a1");
    all.keep_alive(server, {"a2"});
    all.run(settled);
    all.is_cut = [](const std::string& from, const std::string& to)
    {
        return from[0] != to[0];
    };
    all.run(seconds(60),
            [&]
            {
                BOOST_TEST((all.mode("a1", server.engine.get()) ==
                            ownership_mode::full));
            });
    for (const auto* vm : {"b1", "b2"})
    {
        BOOST_TEST((all.mode(vm, server.engine.get()) == ownership_mode::none));
    }
}

BOOST_AUTO_TEST_CASE(process_replaced_by_a_later_one_says_so_and_falls_silent)
{
    all.run(settled);
    const auto self = all.at("a1").snapshot()->find_router(vm_id("a1"))->self;
    node former(settings{}, self, incarnation(1), {}, 1, all.now);
    router_record later;
    later.self = self;
    later.started = incarnation(2);
    message news;
    news.from = key_of(vm_id("a2"));
    news.started = incarnation(1000);
    news.content = gossip{};
    news.changes.routers.push_back(later);
    const auto todo = former.receive(encode(news), all.now);
    BOOST_REQUIRE(todo.size() == 1U);
    BOOST_TEST((std::get<superseded>(todo[0]).by == incarnation(2)));
    BOOST_TEST(former.tick(all.now + seconds(1)).empty());
    BOOST_TEST(former.snapshot()->routers().empty());
}

BOOST_AUTO_TEST_CASE(message_of_a_former_incarnation_changes_nothing)
{
    all.run(settled);
    const auto record = *all.at("a1").snapshot()->find_router(vm_id("a1"));
    message old;
    old.from = key_of(vm_id("a1"));
    old.started = incarnation(999);
    old.content = gossip{};
    auto left = record;
    left.started = incarnation(999);
    left.state = router_state::left;
    left.version = 99;
    old.changes.routers.push_back(left);
    BOOST_TEST(all.at("b1").receive(encode(old), all.now).empty());
    all.run(seconds(1));
    BOOST_TEST(all.at("b1").snapshot()->find_router(vm_id("a1")) != nullptr);
}

BOOST_AUTO_TEST_CASE(engine_leaving_is_offered_nowhere_within_three_seconds)
{
    auto server = make_engine("e", "a");
    all.keep_alive(server, {"a1"});
    all.run(settled);
    server.leaving = true;
    BOOST_REQUIRE(all.announce("b2", server));
    all.run(seconds(3));
    for (const auto& vm : all.up())
    {
        BOOST_TEST(!offers(vm, "e"));
    }
    server.leaving = false;
    BOOST_TEST(!all.announce("a1", server));
}

BOOST_AUTO_TEST_CASE(engine_that_does_not_renew_is_removed_and_may_come_back)
{
    const auto server = make_engine("e", "a");
    all.keep_alive(server, {"a1"});
    all.run(settled);
    all.stop_renewing("e");
    all.run(seconds(60));
    for (const auto& vm : all.up())
    {
        BOOST_TEST(!offers(vm, "e"));
    }
    BOOST_TEST(all.announce("b1", server));
    all.run(seconds(3));
    for (const auto& vm : all.up())
    {
        BOOST_TEST(offers(vm, "e"));
    }
}

BOOST_AUTO_TEST_CASE(announcement_of_an_older_incarnation_is_refused)
{
    BOOST_TEST(all.announce("a1", make_engine("e", "a", 5)));
    all.run(seconds(2));
    for (const auto& vm : all.up())
    {
        BOOST_TEST(!all.announce(vm, make_engine("e", "a", 4)));
        BOOST_TEST(all.announce(vm, make_engine("e", "a", 5)));
    }
}

BOOST_AUTO_TEST_CASE(engine_flapping_for_ten_minutes_is_damped)
{
    all.run(settled);
    int accepted = 0;
    for (std::uint64_t started = 1; started <= 600; ++started)
    {
        accepted += all.announce("a1", make_engine("e", "a", started)) ? 1 : 0;
        all.run(seconds(1));
    }
    // Free changes, doubling waits, then one for each longest wait.
    BOOST_TEST(accepted >= 10);
    BOOST_TEST(accepted <= 25);
}

BOOST_AUTO_TEST_CASE(router_flapping_costs_bounded_messages)
{
    all.run(settled);
    const auto count_minutes = [this](bool flapping)
    {
        const auto before = all.bytes;
        for (int i = 0; i < 12; ++i)
        {
            if (flapping)
            {
                all.kill("b2");
                all.run(seconds(5));
                all.start("b2");
            }
            all.run(seconds(5));
        }
        return static_cast<double>(all.bytes - before) /
               (flapping ? 120.0 : 60.0);
    };
    const auto quiet = count_minutes(false);
    const auto flapping = count_minutes(true);
    BOOST_TEST(flapping < 2 * quiet);
    BOOST_TEST(!all.at("a1").snapshot()->find_router(vm_id("b2"))->ready);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(regions_test)

BOOST_AUTO_TEST_CASE(regions_exchange_sums_only)
{
    fleet all({{"a1", "a", "r1"},
               {"a2", "a", "r1"},
               {"b1", "b", "r2"},
               {"b2", "b", "r2"}});
    all.keep_alive(make_engine("e1", "a"), {"a1"});
    all.keep_alive(make_engine("e2", "b"), {"b1"});
    all.run(seconds(60));
    const auto load =
        all.at("a2").load_of(region_id("r2"), model_id("m"), all.now);
    BOOST_REQUIRE(load.has_value());
    BOOST_TEST(load->eligible == 1U);
    BOOST_TEST(all.at("a2").snapshot()->routers().size() == 2U);
    BOOST_TEST(all.at("a2").snapshot()->engines().size() == 1U);
}

BOOST_AUTO_TEST_CASE(single_router_owns_and_orders_alone)
{
    fleet all({{"a1", "a", "r1"}});
    all.keep_alive(make_engine("e", "a"), {"a1"});
    all.run(seconds(15));
    const auto standing = all.at("a1").ownership_of(engine_id("e"), all.now);
    BOOST_TEST((standing.mode == ownership_mode::full));
    BOOST_TEST(standing.may_order);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace limpet::membership

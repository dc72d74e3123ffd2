#include <limpet/base/random.hpp>
#include <limpet/placement/chooser.hpp>
#include <limpet/placement/route.hpp>

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>
#include <string>

namespace
{

using namespace limpet;
using namespace limpet::placement;

struct engines_fixture
{
    std::vector<engine_view> engines;
    time_point start{seconds(1000)};

    engines_fixture()
    {
        for (int at = 0; at < 20; ++at)
        {
            add("engine-" + std::to_string(at), 1);
        }
    }

    void add(const std::string& id, double weight)
    {
        engine_view engine;
        engine.id = engine_id(id);
        engine.run = incarnation(1);
        engine.weight = weight;
        engine.joined_at = start;
        engines.push_back(engine);
    }

    std::string first_choice(const chooser& engine_set,
                             std::uint64_t chat) const
    {
        const candidates found = engine_set.choose(chat_key(chat), 3, start);
        return engine_set.engine(found.order.front()).id.get();
    }
};

BOOST_FIXTURE_TEST_SUITE(chooser_suite, engines_fixture)

BOOST_AUTO_TEST_CASE(chats_are_distributed_in_proportion_to_weights)
{
    engines[0].weight = 2;
    const chooser all(engines);
    std::map<std::string, int> counts;
    random_source random(3);
    for (int chat = 0; chat < 42000; ++chat)
    {
        ++counts[first_choice(all, random.next())];
    }
    for (const auto& [id, count] : counts)
    {
        const int expected = id == "engine-0" ? 4000 : 2000;
        BOOST_TEST(std::abs(count - expected) < expected / 8);
    }
}

BOOST_AUTO_TEST_CASE(engine_out_of_service_reassigns_only_its_chats)
{
    const chooser before(engines);
    engines[4].in_service = false;
    const chooser after(engines);
    BOOST_TEST(!after.find(engines[4].id));
    random_source random(5);
    for (int at = 0; at < 2000; ++at)
    {
        const chat_key chat(random.next());
        const candidates previous = before.choose(chat, 2, start);
        const candidates current = after.choose(chat, 2, start);
        const bool moved = before.engine(previous.order[0]).id == engines[4].id;
        const auto expected = before.engine(previous.order[moved ? 1 : 0]).id;
        BOOST_TEST(after.engine(current.order[0]).id.get() == expected.get());
    }
}

BOOST_AUTO_TEST_CASE(settled_choice_after_join_is_the_previous_first_choice)
{
    const chooser before(engines);
    add("joined", 1);
    engines.back().joined_at = start + seconds(60);
    const chooser after(engines);
    random_source random(7);
    for (int at = 0; at < 2000; ++at)
    {
        const chat_key chat(random.next());
        const candidates found = after.choose(chat, 2, start + seconds(10));
        BOOST_REQUIRE(found.settled.has_value());
        BOOST_TEST(after.engine(*found.settled).id.get() ==
                   first_choice(before, chat.get()));
    }
}

BOOST_AUTO_TEST_CASE(route_tries_hint_then_settled_then_rendezvous_order)
{
    add("joined", 1000);
    engines.back().joined_at = start + seconds(60);
    const chooser all(engines);
    const chat_key chat(99);
    const route_settings settings{seconds(60), 4};
    const auto route = plan_route(all,
                                  {chat, true, engine_id("engine-7")},
                                  settings,
                                  start + seconds(90));
    BOOST_TEST(all.engine(route.first_choice).id.get() == "joined");
    BOOST_TEST(all.engine(route.order[0]).id.get() == "engine-7");
    BOOST_TEST(
        all.engine(route.order[1]).joined_at.time_since_epoch().count() ==
        start.time_since_epoch().count());
    const auto fresh = plan_route(all,
                                  {chat, false, engine_id("engine-7")},
                                  settings,
                                  start + seconds(90));
    BOOST_TEST(fresh.order.front() == fresh.first_choice);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace

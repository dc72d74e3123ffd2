#include <limpet/placement/itinerary.hpp>

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

namespace
{

using namespace limpet;
using namespace limpet::placement;

struct itinerary_fixture
{
    time_point now{seconds(100)};
    std::shared_ptr<const chooser> engines;
    spare_list spares{seconds(2)};
    random_source random{1};
    chat_key chat{42};

    itinerary_fixture()
    {
        std::vector<engine_view> views(10);
        for (std::size_t at = 0; at < views.size(); ++at)
        {
            views[at].id = engine_id("e" + std::to_string(at));
            views[at].run = incarnation(1);
        }
        engines = std::make_shared<const chooser>(views);
    }

    itinerary make(bool returning, std::optional<engine_id> hint = {})
    {
        return {engines, {chat, returning, std::move(hint), 0}, {}, now};
    }

    std::string name(const stop& at) const
    {
        return engines->engine(at.engine).id.get();
    }

    std::string first_choice() const
    {
        const auto found = engines->choose(chat, 1, now);
        return engines->engine(found.order.front()).id.get();
    }

    chat_holder
    holder(const char* id, std::uint64_t tokens, std::uint64_t run = 1) const
    {
        return {engine_id(id), incarnation(run), token_count(tokens), now};
    }
};

BOOST_FIXTURE_TEST_SUITE(itinerary_suite, itinerary_fixture)

BOOST_AUTO_TEST_CASE(new_chat_is_routed_to_engine_with_free_slots)
{
    spares.report(vm_id("vm"), {engine_id("e3"), 5, now});
    itinerary path = make(false);
    BOOST_TEST(name(path.next(spares, random, now)) == "e3");
}

BOOST_AUTO_TEST_CASE(new_chat_without_recent_reports_is_routed_to_first_choice)
{
    spares.report(vm_id("vm"), {engine_id("e3"), 5, now - seconds(3)});
    itinerary path = make(false);
    BOOST_TEST(name(path.next(spares, random, now)) == first_choice());
}

BOOST_AUTO_TEST_CASE(returning_chat_is_routed_to_hint_then_reported_holders)
{
    itinerary path = make(true, engine_id("e5"));
    const stop first = path.next(spares, random, now);
    BOOST_TEST(name(first) == "e5");
    BOOST_TEST(first.is_first);
    // Holders that have restarted or are not in the engine list are skipped.
    path.add_holders(
        {holder("gone", 900), holder("e6", 800, 2), holder("e7", 700)});
    BOOST_TEST(name(path.next(spares, random, now)) == "e7");
    BOOST_TEST(path.best_holder()->engine.get() == "gone");
    BOOST_TEST(path.is_news(engine_id("e7")));
}

BOOST_AUTO_TEST_CASE(engines_are_distinct_and_the_last_is_the_first_again)
{
    spares.report(vm_id("vm"), {engine_id("e3"), 5, now});
    itinerary path = make(true, engine_id("e5"));
    std::set<std::string> seen;
    stop at = path.next(spares, random, now);
    while (!at.is_last)
    {
        BOOST_TEST(seen.insert(name(at)).second);
        at = path.next(spares, random, now);
    }
    BOOST_TEST(seen.size() == route_settings{}.tries);
    BOOST_TEST(name(at) == "e5");
    BOOST_TEST((at.longest_wait == seconds(1)));
}

BOOST_AUTO_TEST_CASE(longer_prefix_elsewhere_justifies_redirect)
{
    const chat_holders holders{holder("e1", 900), holder("e2", 500)};
    BOOST_TEST(is_better_elsewhere(holders, engine_id("e2")));
    BOOST_TEST(is_better_elsewhere(holders, engine_id("e4")));
    BOOST_TEST(!is_better_elsewhere(holders, engine_id("e1")));
    BOOST_TEST(!is_better_elsewhere({}, engine_id("e1")));
    BOOST_TEST(cached_at(holders, engine_id("e2")).get() == 500U);
}

BOOST_AUTO_TEST_CASE(directory_evicts_least_recently_used_chat_at_capacity)
{
    chat_directory directory(3, seconds(60));
    for (std::uint64_t at = 0; at < 5; ++at)
    {
        directory.record(chat_key(at),
                         engine_id("e1"),
                         incarnation(1),
                         token_count(100),
                         now + seconds(static_cast<std::int64_t>(at)));
    }
    BOOST_TEST(directory.size() == 3U);
    BOOST_TEST(directory.find(chat_key(0), now).empty());
    BOOST_TEST(directory.find(chat_key(4), now + seconds(5)).size() == 1U);
    BOOST_TEST(directory.find(chat_key(4), now + seconds(90)).empty());
}

BOOST_AUTO_TEST_CASE(directory_keeps_latest_holders_with_longest_prefix_first)
{
    chat_directory directory(3, seconds(60));
    std::uint64_t tokens = 100;
    for (const char* id : {"e1", "e2", "e3", "e4", "e2"})
    {
        tokens += 100;
        directory.record(
            chat, engine_id(id), incarnation(1), token_count(tokens), now);
    }
    const chat_holders holders = directory.find(chat, now);
    BOOST_REQUIRE(holders.size() == max_chat_holders);
    BOOST_TEST(holders[0].engine.get() == "e2");
    BOOST_TEST(holders[1].engine.get() == "e4");
    BOOST_TEST(holders[2].engine.get() == "e3");
    directory.erase(chat);
    BOOST_TEST(directory.size() == 0U);
}

BOOST_AUTO_TEST_CASE(spare_slots_run_out_and_are_removed_with_their_source)
{
    spares.report(vm_id("a"), {engine_id("e1"), 1, now});
    spares.report(vm_id("b"), {engine_id("e2"), 1, now});
    spares.remove_source(vm_id("b"));
    BOOST_TEST(spares.take(0.99, now)->get() == "e1");
    BOOST_TEST(!spares.take(0.0, now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace

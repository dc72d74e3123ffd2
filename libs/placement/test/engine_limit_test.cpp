#include <limpet/placement/engine_limit.hpp>

#include <boost/test/unit_test.hpp>

#include <functional>

namespace
{

using namespace limpet;
using namespace limpet::placement;

constexpr std::uint32_t slots = 16;

struct limit_fixture
{
    limit_settings settings;
    engine_limit limit{settings, slots, incarnation(5)};

    void warm_up()
    {
        limit.on_completed(token_count(1'000'000), limit.generation());
        limit.on_report({incarnation(5), 0, token_count(100'000)}, 0);
    }
};

BOOST_FIXTURE_TEST_SUITE(engine_limit_suite, limit_fixture)

BOOST_AUTO_TEST_CASE(new_engine_starts_cold_and_grows_with_work)
{
    BOOST_TEST(limit.limit() == settings.cold_limit);
    const token_count work(settings.tokens_per_slot.get() * 3);
    limit.on_completed(work, limit.generation());
    BOOST_TEST(limit.limit() == settings.cold_limit + 3);
    warm_up();
    BOOST_TEST(limit.limit() == slots);
}

BOOST_AUTO_TEST_CASE(events_on_warm_engine_give_the_expected_limit)
{
    struct limit_case
    {
        const char* name;
        std::function<void(engine_limit&)> apply;
        std::uint32_t expected;
    };
    const token_count warm_cache(100'000);
    const limit_case table[] = {
        {"new incarnation",
         [&](engine_limit& item)
         {
             item.on_report({incarnation(6), 0, warm_cache}, 0);
         },
         4},
        {"report of an earlier incarnation",
         [&](engine_limit& item)
         {
             item.on_report({incarnation(4), 9, token_count(0)}, 0);
         },
         slots},
        {"shrunken cache",
         [&](engine_limit& item)
         {
             item.on_report({incarnation(5), 0, token_count(1000)}, 0);
         },
         4},
        {"load of other routers",
         [&](engine_limit& item)
         {
             item.on_report({incarnation(5), 9, warm_cache}, 3);
         },
         slots - 6},
        {"own load reported late",
         [&](engine_limit& item)
         {
             item.on_report({incarnation(5), 9, warm_cache}, 12);
         },
         slots},
        {"slow first token",
         [](engine_limit& item)
         {
             item.on_first_token(token_count(800), token_count(0), seconds(2));
         },
         4},
        {"first token of an evicted prompt",
         [](engine_limit& item)
         {
             item.on_first_token(token_count(8000), token_count(0), seconds(1));
         },
         slots},
        {"failure",
         [](engine_limit& item)
         {
             item.on_failed();
         },
         slots / 2},
        {"slow first token and new incarnation",
         [&](engine_limit& item)
         {
             item.on_first_token(token_count(800), token_count(0), seconds(2));
             item.on_report({incarnation(6), 0, warm_cache}, 0);
         },
         4},
        {"load of other routers and failure",
         [&](engine_limit& item)
         {
             item.on_report({incarnation(5), 9, warm_cache}, 3);
             item.on_failed();
         },
         slots / 2 - 6},
    };
    warm_up();
    for (const limit_case& item : table)
    {
        engine_limit copy = limit;
        item.apply(copy);
        BOOST_TEST_CONTEXT(item.name)
        BOOST_TEST(copy.limit() == item.expected);
    }
}

BOOST_AUTO_TEST_CASE(work_of_earlier_generation_does_not_raise_the_limit)
{
    warm_up();
    const std::uint32_t before = limit.generation();
    limit.on_cold();
    limit.on_completed(token_count(1'000'000), before);
    BOOST_TEST(limit.limit() == settings.cold_limit);
}

BOOST_AUTO_TEST_CASE(limit_handed_over_is_clamped_to_cold_limit_and_slots)
{
    for (const auto& [given, expected] :
         {std::pair{0U, 4U}, std::pair{9U, 9U}, std::pair{99U, slots}})
    {
        limit.take_over(given);
        BOOST_TEST(limit.limit() == expected);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace

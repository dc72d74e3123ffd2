#include "answer_text.hpp"
#include "engine_load.hpp"
#include "prefix_cache.hpp"

#include <limpet/base/random.hpp>
#include <limpet/standin/fault.hpp>

#include <boost/test/unit_test.hpp>

#include <set>

using namespace limpet;
using namespace limpet::standin;

namespace
{

const char* const invalid_requests[] = {
    "",
    "[]",
    "{}",
    R"({"model":"m"})",
    R"({"model":1,"messages":[{}]})",
    R"({"model":"m","messages":[]})",
    R"({"model":"m","messages":["x"]})",
    R"({"model":"m","messages":[{}],"stream":"yes"})",
    R"({"model":"m","messages":[{}],"max_tokens":-1})",
    R"({"model":"m","messages":[{}],"max_tokens":9999999})",
};

const char* const invalid_faults[] = {
    "{}",
    R"({"kind":"explode"})",
    R"({"kind":"die"})",
    R"({"kind":"refuse","status":200})",
    R"({"kind":"hang","times":0})",
    R"({"kind":"hang","other":0})",
};

} // namespace

BOOST_AUTO_TEST_SUITE(model_suite)

BOOST_AUTO_TEST_CASE(chat_request_invalid_body_is_refused)
{
    for (const char* text : invalid_requests)
    {
        BOOST_TEST(!is_ok(parse_chat_request(text)), text);
    }
}

BOOST_AUTO_TEST_CASE(fault_invalid_order_is_refused)
{
    for (const char* text : invalid_faults)
    {
        BOOST_TEST(!is_ok(parse_fault_order(text)), text);
    }
}

BOOST_AUTO_TEST_CASE(cache_random_use_keeps_limit_and_reports_all_changes)
{
    constexpr std::uint64_t limit = 1000;
    random_source random(1);
    prefix_cache cache{token_count(limit)};
    std::set<std::string> cached;
    for (int i = 0; i < 2000; ++i)
    {
        const chat_id chat(std::to_string(random.below(40)));
        cache.store(chat, token_count(1 + random.below(200)));
        const cache_changes changes = cache.take_changes();
        cached.insert(changes.added.begin(), changes.added.end());
        for (const std::string& dropped : changes.dropped)
        {
            BOOST_REQUIRE(cached.erase(dropped) == 1);
        }
        BOOST_REQUIRE(cache.total().get() <= limit);
        BOOST_REQUIRE(cached.contains(chat.get()));
    }
    std::uint64_t total = 0;
    for (const std::string& chat : cached)
    {
        total += cache.tokens_of(chat_id(chat)).get();
    }
    BOOST_TEST(total == cache.total().get());
}

BOOST_AUTO_TEST_CASE(load_cold_engine_warms_up_and_crashes_on_overload)
{
    cold_start start;
    start.slots = 1;
    start.requests_per_slot = 2;
    start.falls_over_at = 3;
    start.down_time = seconds(5);
    engine_load load(4, start);
    time_point now;
    BOOST_TEST(load.concurrency_limit() == 1U);
    for (int i = 0; i < 4; ++i)
    {
        BOOST_REQUIRE(load.begin(now));
        load.end(true);
    }
    BOOST_TEST(load.concurrency_limit() == 3U);
    for (int i = 0; i < 9; ++i)
    {
        BOOST_REQUIRE(load.begin(now));
    }
    BOOST_TEST(load.slowdown() == 3.0);
    BOOST_TEST(!load.begin(now));
    BOOST_TEST(load.crash_count() == 1U);
    BOOST_TEST(load.concurrency_limit() == 1U);
    for (int i = 0; i < 9; ++i)
    {
        load.end(false);
    }
    BOOST_TEST(!load.begin(now));
    now += start.down_time;
    BOOST_TEST(load.begin(now));
}

BOOST_AUTO_TEST_SUITE_END()

#include <limpet/admission/return_schedule.hpp>
#include <limpet/admission/token_bucket.hpp>

#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::admission;

namespace
{

const time_point start_time(seconds(100));

} // namespace

BOOST_AUTO_TEST_SUITE(token_buckets)

BOOST_AUTO_TEST_CASE(bucket_starts_with_the_tokens_of_the_initial_time)
{
    token_bucket empty;
    empty.refill(2, 1, start_time);
    BOOST_TEST(!empty.has_token());
    token_bucket full(seconds(1));
    full.refill(2, 1, start_time);
    BOOST_TEST(full.has_token());
}

BOOST_AUTO_TEST_CASE(reserved_tokens_come_one_after_the_other)
{
    token_bucket bucket;
    bucket.refill(2, 1, start_time);
    BOOST_TEST((bucket.time_to_token(2) == milliseconds(500)));
    bucket.reserve();
    BOOST_TEST((bucket.time_to_token(2) == seconds(1)));
    bucket.refill(2, 1, start_time + milliseconds(500));
    BOOST_TEST(!bucket.has_token());
    bucket.refill(2, 1, start_time + seconds(1));
    BOOST_TEST(bucket.has_token());
}

BOOST_AUTO_TEST_CASE(bucket_without_rate_never_has_a_token)
{
    token_bucket bucket;
    BOOST_TEST(!bucket.time_to_token(0).has_value());
}

BOOST_AUTO_TEST_CASE(callers_return_at_the_rate_that_can_be_served)
{
    return_schedule schedule;
    BOOST_TEST((schedule.next(4, {}, start_time) == milliseconds(0)));
    BOOST_TEST((schedule.next(4, {}, start_time) == milliseconds(250)));
    BOOST_TEST((schedule.next(4, {}, start_time) == milliseconds(500)));
    // A second later, these times have passed.
    const time_point later = start_time + seconds(1);
    BOOST_TEST(
        (schedule.next(4, milliseconds(100), later) == milliseconds(100)));
    BOOST_TEST(
        (schedule.next(4, milliseconds(100), later) == milliseconds(350)));
}

BOOST_AUTO_TEST_CASE(no_caller_is_told_to_return_later_than_limits_are_foreseen)
{
    return_schedule schedule;
    for (int i = 0; i < 100; ++i)
    {
        schedule.next(1, {}, start_time);
    }
    BOOST_TEST((schedule.next(1, {}, start_time) == seconds(10)));
    BOOST_TEST((schedule.next(0, {}, start_time) == seconds(10)));
    BOOST_TEST((schedule.next(1, seconds(60), start_time) == seconds(10)));
}

BOOST_AUTO_TEST_SUITE_END()

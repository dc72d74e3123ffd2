#include <limpet/base/units.hpp>

#include <boost/test/unit_test.hpp>

#include <ctime>

using namespace limpet;

namespace
{

time_point read(clockid_t source)
{
    timespec time{};
    BOOST_REQUIRE(::clock_gettime(source, &time) == 0);
    return time_point(seconds(time.tv_sec) + nanoseconds(time.tv_nsec));
}

} // namespace

BOOST_AUTO_TEST_SUITE(units)

BOOST_AUTO_TEST_CASE(clock_counts_the_time_in_which_the_machine_was_suspended)
{
    // A leader that wakes up must see that its lease is over.
    BOOST_TEST(monotonic_clock::source == CLOCK_BOOTTIME);
    const time_point before = read(CLOCK_BOOTTIME);
    const time_point now = monotonic_clock::now();
    const time_point after = read(CLOCK_BOOTTIME);
    BOOST_TEST((before <= now && now <= after));
}

BOOST_AUTO_TEST_SUITE_END()

#include <limpet/base/receive_budget.hpp>

#include <boost/test/unit_test.hpp>

#include <array>

using namespace limpet;

namespace
{

constexpr std::size_t mib = 1024UL * 1024;
const time_point start_time(seconds(100));

/// Memory for eight bodies of 1 MiB, of which large ones get six.
struct budget_of_8_mib
{
    receive_budget budget{8 * mib};
    std::vector<receive_budget::message_key> evicted;
    std::array<char, 16> bodies{};

    receive_budget::message_key key(std::size_t number) const
    {
        return &bodies.at(number);
    }

    bool resize(std::size_t number, std::size_t bytes, duration at = {})
    {
        return budget.resize(key(number), bytes, start_time + at, evicted);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(receive_budgets, budget_of_8_mib)

BOOST_AUTO_TEST_CASE(large_bodies_leave_a_quarter_to_small_ones)
{
    for (std::size_t i = 0; i < 6; ++i)
    {
        BOOST_TEST(resize(i, mib));
    }
    BOOST_TEST(!resize(6, mib));
    BOOST_TEST(resize(7, receive_budget::small_bytes));
    BOOST_TEST(budget.used_bytes() == 6 * mib + receive_budget::small_bytes);
    BOOST_TEST(evicted.empty());
}

BOOST_AUTO_TEST_CASE(body_of_exactly_the_room_that_is_left_is_taken)
{
    receive_budget thousand(1000);
    BOOST_TEST(!thousand.resize(key(0), 1001, start_time, evicted));
    BOOST_TEST(thousand.resize(key(0), 1000, start_time, evicted));
    BOOST_TEST(!thousand.resize(key(1), 1, start_time, evicted));
    BOOST_TEST(evicted.empty());
}

/// Callers that stop short of the end of their bodies would otherwise keep the
/// memory until their time to send is over.
BOOST_AUTO_TEST_CASE(stalled_bodies_yield_to_those_that_arrive)
{
    for (std::size_t i = 0; i < 6; ++i)
    {
        resize(i, mib, milliseconds(i));
    }
    BOOST_TEST(!resize(6, 2 * mib, receive_budget::stall_time));
    evicted.clear();
    BOOST_TEST(
        resize(6, 2 * mib, receive_budget::stall_time + milliseconds(10)));
    BOOST_TEST((evicted == std::vector{key(1)}));
    BOOST_TEST(budget.used_bytes() == 6 * mib);
}

BOOST_AUTO_TEST_CASE(bodies_that_have_arrived_keep_their_room)
{
    for (std::size_t i = 0; i < 6; ++i)
    {
        resize(i, mib);
        budget.set_complete(key(i));
    }
    BOOST_TEST(!resize(6, mib, seconds(60)));
    BOOST_TEST(evicted.empty());
    budget.release(key(3));
    BOOST_TEST(resize(6, mib, seconds(60)));
}

/// Small bodies that arrive byte by byte never stall.
BOOST_AUTO_TEST_CASE(small_bodies_that_take_long_yield_to_new_ones)
{
    const std::size_t small = receive_budget::small_bytes;
    receive_budget few(2 * small);
    few.resize(key(0), small / 2, start_time, evicted);
    few.resize(key(1), small / 2, start_time, evicted);
    const time_point later = start_time + receive_budget::small_receive_time;
    few.resize(key(0), small, later - milliseconds(1), evicted);
    few.resize(key(1), small, later, evicted);
    BOOST_TEST(few.resize(key(2), small, later, evicted));
    BOOST_TEST((evicted == std::vector{key(0)}));
}

/// Large bodies that arrive byte by byte never stall either.
BOOST_AUTO_TEST_CASE(large_bodies_below_the_lowest_rate_yield_to_large_ones)
{
    for (std::size_t i = 0; i < 6; ++i)
    {
        resize(i, mib - 1);
    }
    const duration late = seconds(70);
    for (std::size_t i = 0; i < 6; ++i)
    {
        resize(i, mib, late - milliseconds(1));
    }
    BOOST_TEST(resize(6, mib, late));
    BOOST_TEST(evicted.size() == 1U);
}

BOOST_AUTO_TEST_CASE(large_bodies_that_arrive_fast_keep_their_room)
{
    for (std::size_t i = 0; i < 6; ++i)
    {
        resize(i, mib);
        resize(i, mib, receive_budget::small_receive_time);
    }
    BOOST_TEST(!resize(6, mib, receive_budget::small_receive_time));
    BOOST_TEST(evicted.empty());
}

BOOST_AUTO_TEST_CASE(body_that_finds_no_room_stays_as_it_was)
{
    resize(0, 5 * mib);
    resize(1, mib / 2);
    BOOST_TEST(!resize(1, 2 * mib));
    BOOST_TEST(budget.used_bytes() == 5 * mib + mib / 2);
    budget.release(key(0));
    budget.release(key(1));
    BOOST_TEST(budget.used_bytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

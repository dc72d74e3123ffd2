#include <limpet/base/timer_service.hpp>

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace limpet;

struct timer_service_fixture
{
    time_point start{};
    timer_service timers{start};
    std::vector<int> calls;

    timer_service::callback note(int id)
    {
        return [this, id](time_point)
        {
            calls.push_back(id);
        };
    }
};

BOOST_FIXTURE_TEST_SUITE(timer_service_suite, timer_service_fixture)

BOOST_AUTO_TEST_CASE(timer_due_is_called_in_order_of_time)
{
    timers.after(seconds(2), note(2));
    timers.after(seconds(1), note(1));
    timers.advance(start + seconds(3));
    BOOST_TEST(calls == (std::vector<int>{1, 2}));
}

BOOST_AUTO_TEST_CASE(timer_cancelled_is_not_called)
{
    const auto id = timers.after(seconds(1), note(1));
    timers.cancel(id);
    timers.advance(start + seconds(3));
    BOOST_TEST(calls.empty());
}

BOOST_AUTO_TEST_CASE(timer_periodic_is_called_at_each_period_until_cancelled)
{
    timer_service::subscription id = 0;
    id = timers.every(seconds(1),
                      [&](time_point)
                      {
                          calls.push_back(1);
                          if (calls.size() == 3)
                          {
                              timers.cancel(id);
                          }
                      });
    timers.advance(start + seconds(10));
    BOOST_TEST(calls.size() == 3U);
    BOOST_TEST(!timers.next().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

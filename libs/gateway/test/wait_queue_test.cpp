#include "wait_queue.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

using namespace limpet;
using namespace limpet::gateway;

namespace
{

namespace net = boost::asio;

/// A queue that records the order in which requests are woken.
struct queue_fixture
{
    net::io_context context;
    net::executor_work_guard<net::io_context::executor_type> work{
        context.get_executor()};
    wait_queue queue;
    std::string woken;

    void add(char name, const std::string& tenant, unsigned rank, double cost)
    {
        net::co_spawn(context, wait(name, tenant, rank, cost), net::detached);
        context.poll();
    }

    net::awaitable<void>
    wait(char name, std::string tenant, unsigned rank, double cost)
    {
        waiting_request request{"s", rank, std::move(tenant), cost};
        co_await queue.wait(std::move(request), seconds(60));
        woken += name;
    }

    void wake(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            queue.wake("s");
            context.poll();
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(wait_queues)

BOOST_FIXTURE_TEST_CASE(one_tenant_is_served_in_the_order_of_arrival,
                        queue_fixture)
{
    for (const char each : {'a', 'b', 'c'})
    {
        add(each, "t", 0, 1);
    }
    wake(3);
    BOOST_TEST(woken == "abc");
}

BOOST_FIXTURE_TEST_CASE(surge_of_one_tenant_does_not_delay_others,
                        queue_fixture)
{
    for (int i = 0; i < 20; ++i)
    {
        add('x', "hot", 0, 1);
    }
    add('a', "calm", 0, 1);
    add('b', "calm", 0, 1);
    wake(6);
    BOOST_TEST(woken.find('a') <= 2U);
    BOOST_TEST(woken.find('b') <= 4U);
}

BOOST_FIXTURE_TEST_CASE(more_urgent_requests_go_first, queue_fixture)
{
    add('l', "t", 1, 1);
    add('u', "t", 0, 1);
    wake(2);
    BOOST_TEST(woken == "ul");
}

BOOST_FIXTURE_TEST_CASE(large_requests_share_by_cost_and_do_not_starve,
                        queue_fixture)
{
    for (int i = 0; i < 4; ++i)
    {
        add('L', "large", 0, 3);
    }
    for (int i = 0; i < 12; ++i)
    {
        add('s', "small", 0, 1);
    }
    wake(8);
    BOOST_TEST(std::count(woken.begin(), woken.end(), 'L') == 2);
    BOOST_TEST(woken.front() == 'L');
}

BOOST_FIXTURE_TEST_CASE(fairness_state_is_reset_when_the_queue_empties,
                        queue_fixture)
{
    for (int i = 0; i < 10; ++i)
    {
        add('x', "hot", 0, 1);
    }
    wake(10);
    woken.clear();
    add('h', "hot", 0, 1);
    add('c', "calm", 0, 1);
    wake(2);
    BOOST_TEST(woken == "hc");
}

BOOST_AUTO_TEST_SUITE_END()

#include "response_buffer.hpp"

#include <boost/test/unit_test.hpp>

#include <list>

using namespace limpet;
using namespace limpet::gateway;

namespace
{

const std::string part(64UL * 1024, 'x');

/// Appends until the buffer refuses, and returns the bytes that it took.
std::size_t fill(response_buffer& buffer)
{
    std::size_t taken = 0;
    while (is_ok(buffer.append(part)))
    {
        taken += part.size();
    }
    return taken;
}

} // namespace

BOOST_AUTO_TEST_SUITE(response_buffers)

BOOST_AUTO_TEST_CASE(many_bodies_without_end_stay_within_the_budget)
{
    response_buffer_budget budget;
    std::list<response_buffer> buffers;
    std::size_t taken = 0;
    for (int i = 0; i < 50; ++i)
    {
        taken += fill(buffers.emplace_back(budget));
    }
    BOOST_TEST(taken <= 40UL * 1024 * 1024 + 50 * 256UL * 1024);
    BOOST_TEST(taken >= 40UL * 1024 * 1024 - part.size());
}

BOOST_AUTO_TEST_CASE(small_body_is_taken_while_the_budget_is_used_up)
{
    response_buffer_budget budget;
    std::list<response_buffer> buffers;
    for (int i = 0; i < 5; ++i)
    {
        fill(buffers.emplace_back(budget));
    }
    response_buffer small(budget);
    BOOST_TEST(is_ok(small.append("small")));
    BOOST_TEST(small.take() == "small");
}

BOOST_AUTO_TEST_CASE(budget_is_given_back)
{
    response_buffer_budget budget;
    for (int i = 0; i < 10; ++i)
    {
        response_buffer destroyed(budget);
        response_buffer taken(budget);
        BOOST_TEST(fill(destroyed) == 16UL * 1024 * 1024);
        BOOST_TEST(fill(taken) == 16UL * 1024 * 1024);
        taken.take();
    }
}

BOOST_AUTO_TEST_SUITE_END()

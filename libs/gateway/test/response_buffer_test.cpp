#include "response_buffer.hpp"

#include <boost/test/unit_test.hpp>

#include <list>

using namespace limpet;
using namespace limpet::gateway;

namespace
{

const std::string part(64UL * 1024, 'x');
const engine_id faulty("faulty");
const engine_id sound("sound");

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
        taken +=
            fill(buffers.emplace_back(budget, engine_id(std::to_string(i))));
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
        fill(buffers.emplace_back(budget, engine_id(std::to_string(i))));
    }
    response_buffer small(budget, sound);
    BOOST_TEST(is_ok(small.append("small")));
    BOOST_TEST(small.take() == "small");
}

// Guards against one server that makes the responses of others fail.
BOOST_AUTO_TEST_CASE(large_body_is_taken_while_one_server_sends_without_end)
{
    response_buffer_budget budget;
    std::list<response_buffer> buffers;
    for (int i = 0; i < 50; ++i)
    {
        fill(buffers.emplace_back(budget, faulty));
    }
    response_buffer large(budget, sound);
    BOOST_TEST(fill(large) == 16UL * 1024 * 1024);
}

BOOST_AUTO_TEST_CASE(claim_grows_and_shrinks_within_the_budget)
{
    response_buffer_budget budget;
    buffer_claim first(budget, faulty);
    buffer_claim second(budget, faulty);
    const std::size_t share = 20UL * 1024 * 1024;
    BOOST_TEST(is_ok(first.resize(share)));
    BOOST_TEST(!is_ok(second.resize(share / 2)));
    BOOST_TEST(is_ok(first.resize(share / 2)));
    BOOST_TEST(is_ok(second.resize(share / 2)));
    BOOST_TEST(!is_ok(second.resize(share)));
    BOOST_TEST(is_ok(second.resize(0)));
    BOOST_TEST(is_ok(first.resize(share)));
}

/// The caller may not have read it yet.
BOOST_AUTO_TEST_CASE(taken_body_counts_until_its_buffer_is_destroyed)
{
    response_buffer_budget budget(part.size());
    {
        response_buffer first(budget, faulty);
        fill(first);
        first.take();
        response_buffer second(budget, sound);
        BOOST_TEST(!is_ok(second.append(part)));
    }
    response_buffer third(budget, sound);
    BOOST_TEST(is_ok(third.append(part)));
}

BOOST_AUTO_TEST_CASE(response_that_is_not_read_yields_its_room)
{
    response_buffer_budget budget(2 * part.size());
    std::optional<time_point> blocked_since;
    int ended = 0;
    const auto write = [&](response_buffer& buffer)
    {
        BOOST_TEST(is_ok(buffer.append(part)));
        buffer.take();
        buffer.begin_writing({[&]
                              {
                                  return blocked_since;
                              },
                              [&]
                              {
                                  ++ended;
                              }});
    };
    response_buffer first(budget, faulty);
    response_buffer second(budget, faulty);
    write(first);
    write(second);
    response_buffer other(budget, sound);
    BOOST_TEST(!is_ok(other.append(part)));
    blocked_since = monotonic_clock::now();
    BOOST_TEST(!is_ok(other.append(part)));
    BOOST_TEST(ended == 0);
    *blocked_since -= response_buffer_budget::unread_time;
    BOOST_TEST(is_ok(other.append(part)));
    BOOST_TEST(ended == 1);
    BOOST_TEST(budget.used_bytes() == 2 * part.size());
}

BOOST_AUTO_TEST_CASE(budget_is_given_back)
{
    response_buffer_budget budget;
    for (int i = 0; i < 10; ++i)
    {
        response_buffer destroyed(budget, faulty);
        response_buffer taken(budget, sound);
        BOOST_TEST(fill(destroyed) == 16UL * 1024 * 1024);
        BOOST_TEST(fill(taken) == 16UL * 1024 * 1024);
        taken.take();
    }
}

BOOST_AUTO_TEST_SUITE_END()

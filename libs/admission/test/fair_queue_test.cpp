#include <limpet/admission/fair_queue.hpp>

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

namespace
{

using namespace limpet;
using namespace limpet::admission;

struct queue_fixture
{
    fair_queue queue{{10, 4}};
    int count = 0;

    bool push(const std::string& partner,
              const std::string& team,
              std::uint64_t cost = 10,
              std::uint8_t priority = 1,
              int deadline = 100)
    {
        return queue.push({request_id("r" + std::to_string(count++)),
                           partner_id(partner),
                           team_id(team),
                           priority,
                           token_count(cost),
                           time_point(seconds(deadline))});
    }

    std::optional<queue_item> pop()
    {
        return queue.pop(
            [](const partner_id&)
            {
                return true;
            });
    }
};

BOOST_FIXTURE_TEST_SUITE(fair_queue_suite, queue_fixture)

BOOST_AUTO_TEST_CASE(partners_with_shares_are_served_by_cost)
{
    auto shares = std::make_shared<share_table>();
    shares->partners = {{partner_id("a"), 3}, {partner_id("b"), 1}};
    queue.set_shares(shares);
    std::map<std::string, std::uint64_t> served;
    for (int at = 0; at < 400; ++at)
    {
        push("a", "a1", 30);
        push("b", "b1", 10);
        const auto item = pop();
        served[item->partner.get()] += item->cost.get();
    }
    const double ratio =
        static_cast<double>(served["a"]) / static_cast<double>(served["b"]);
    BOOST_TEST(ratio > 2.8);
    BOOST_TEST(ratio < 3.2);
}

BOOST_AUTO_TEST_CASE(full_queue_of_one_partner_leaves_room_for_the_other)
{
    for (const char* team : {"a1", "a2", "a3"})
    {
        for (int at = 0; at < 5; ++at)
        {
            push("a", team);
        }
    }
    BOOST_TEST(queue.size_of(partner_id("a")) == 10U);
    BOOST_TEST(push("b", "b1"));
}

BOOST_AUTO_TEST_CASE(priorities_within_team_go_first)
{
    push("a", "a1", 10, 2);
    push("a", "a1", 10, 0);
    BOOST_TEST(pop()->id.get() == "r1");
    BOOST_TEST(pop()->id.get() == "r0");
    BOOST_TEST(!pop().has_value());
}

BOOST_AUTO_TEST_CASE(expired_requests_leave_the_queue)
{
    push("a", "a1", 10, 1, 5);
    push("a", "a2", 10, 1, 9);
    BOOST_TEST(queue.expire(time_point(seconds(5))).size() == 1U);
    BOOST_TEST(queue.size() == 1U);
    BOOST_TEST((queue.next_deadline() == time_point(seconds(9))));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace

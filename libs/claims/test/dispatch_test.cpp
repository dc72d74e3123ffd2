#include <limpet/claims/claim_layout.hpp>
#include <limpet/claims/dispatch_ledger.hpp>

#include <boost/test/unit_test.hpp>

#include <map>

namespace limpet::claims
{

struct ledger_fixture
{
    static constexpr std::size_t capacity = 4;

    request_state query(const std::string& request, std::uint64_t sent_to = 5)
    {
        return ledger.query(request_id(request), incarnation(sent_to), now);
    }

    arrival arrive(const std::string& request)
    {
        return ledger.arrive(request_id(request), now);
    }

    dispatch_ledger ledger{incarnation(5), {capacity, seconds(10)}};
    time_point now;
};

BOOST_FIXTURE_TEST_SUITE(claims_dispatch_ledger, ledger_fixture)

BOOST_AUTO_TEST_CASE(request_reported_as_not_run_is_refused_later)
{
    BOOST_TEST((query("r") == request_state::not_run));
    BOOST_TEST((arrive("r") == arrival::refused));
    now += seconds(9);
    BOOST_TEST((query("r") == request_state::not_run));
    BOOST_TEST((arrive("r") == arrival::refused));
}

BOOST_AUTO_TEST_CASE(request_that_arrived_runs_once_and_reports_its_state)
{
    BOOST_TEST((arrive("r") == arrival::run));
    BOOST_TEST((arrive("r") == arrival::duplicate));
    now += seconds(100);
    BOOST_TEST((query("r") == request_state::running));
    ledger.finish(request_id("r"), now);
    BOOST_TEST((query("r") == request_state::finished));
    BOOST_TEST((arrive("r") == arrival::duplicate));
    now += seconds(10);
    query("other");
    BOOST_TEST(ledger.size() == 1U);
}

BOOST_AUTO_TEST_CASE(request_sent_to_another_incarnation_is_not_decided)
{
    BOOST_TEST((query("r", 4) == request_state::other_incarnation));
    BOOST_TEST((query("r", 6) == request_state::other_incarnation));
    BOOST_TEST((arrive("r") == arrival::run));
}

BOOST_AUTO_TEST_CASE(full_ledger_keeps_its_records_and_adds_none)
{
    BOOST_TEST((query("refused") == request_state::not_run));
    for (const std::string request : {"a", "b", "c"})
    {
        BOOST_TEST((arrive(request) == arrival::run));
    }
    BOOST_TEST((arrive("d") == arrival::full));
    BOOST_TEST((query("e") == request_state::no_promise));
    BOOST_TEST((arrive("refused") == arrival::refused));
    BOOST_TEST((query("a") == request_state::running));
    now += seconds(10);
    BOOST_TEST((arrive("d") == arrival::run));
}

BOOST_AUTO_TEST_CASE(keys_spread_evenly_and_move_only_to_a_new_group)
{
    std::vector<claims_group_id> groups = {
        claims_group_id("g1"), claims_group_id("g2"), claims_group_id("g3")};
    std::vector<claims_group_id> grown = groups;
    grown.emplace_back("g4");
    const claims_layout layout{grown, groups};
    std::map<std::string, int> counts;
    for (int i = 0; i < 4000; ++i)
    {
        const claim_key key =
            claim_key_of(team_id("t"), idempotency_key(std::to_string(i)));
        const claims_group_id before = group_of(key, groups);
        const claims_group_id after = group_of(key, grown);
        ++counts[after.get()];
        BOOST_TEST((after == before || after.get() == "g4"));
        const auto asked = layout.groups_to_ask(key);
        BOOST_TEST((asked.front() == before));
        BOOST_TEST((asked.back() == after));
        BOOST_TEST(asked.size() == (before == after ? 1U : 2U));
    }
    for (const auto& [group, count] : counts)
    {
        BOOST_TEST(count > 850, group);
        BOOST_TEST(count < 1150, group);
    }
    const claim_key split = claim_key_of(team_id("ab"), idempotency_key("c"));
    BOOST_TEST((split != claim_key_of(team_id("a"), idempotency_key("bc"))));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace limpet::claims

#include <limpet/consensus/testing/fake_group.hpp>

#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::consensus;
using namespace limpet::consensus::testing;

namespace
{

group_options small_group(std::uint64_t seed = 1)
{
    group_options options;
    options.seed = seed;
    options.consensus.heartbeat_interval = milliseconds(60);
    options.consensus.election_timeout = milliseconds(300);
    options.consensus.trailing_entries = 8;
    options.consensus.snapshot_chunk_bytes = 64;
    options.snapshot_interval = 20;
    options.snapshot_padding = 200;
    return options;
}

struct group_fixture
{
    std::optional<fake_group> group;

    void start(std::uint64_t seed = 1)
    {
        group.emplace(small_group(seed));
        settle();
    }

    void settle()
    {
        const auto is_whole = [this]
        {
            return group->is_whole();
        };
        BOOST_REQUIRE(group->run_until(is_whole, seconds(60)));
        check();
    }

    void check() const
    {
        BOOST_REQUIRE_EQUAL(group->checker().violation(), "");
    }

    std::size_t leader() const
    {
        BOOST_REQUIRE(group->leader());
        return *group->leader();
    }

    void propose(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            group->propose(leader());
            group->run_for(milliseconds(5));
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(node_suite, group_fixture)

BOOST_AUTO_TEST_CASE(group_of_empty_disks_founds_itself_and_commits)
{
    start();
    propose(10);
    group->run_for(seconds(1));
    settle();
    BOOST_TEST(group->checker().acknowledgements() == 10U);
}

BOOST_AUTO_TEST_SUITE_END()

#include <limpet/base/random.hpp>
#include <limpet/placement/load_bound.hpp>
#include <limpet/placement/window_minimum.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace
{

using namespace limpet;
using namespace limpet::placement;

struct bound_fixture
{
    load_bound bound{{}};

    void report(const char* source,
                std::uint64_t epoch,
                std::uint32_t engines,
                std::uint64_t in_flight)
    {
        bound.report(vm_id(source), {load_epoch(epoch), engines, in_flight});
    }
};

BOOST_FIXTURE_TEST_SUITE(load_bound_suite, bound_fixture)

BOOST_AUTO_TEST_CASE(no_load_allows_one_request)
{
    bound.set_engines(10);
    bound.advance(load_epoch(100));
    BOOST_TEST(bound.bound() == 1U);
}

BOOST_AUTO_TEST_CASE(burst_after_idle_period_is_bounded_by_own_requests)
{
    const std::size_t engine_counts[] = {1, 2, 4, 20};
    for (const std::size_t engines : engine_counts)
    {
        load_bound limit{load_bound_settings{}};
        limit.set_engines(engines);
        limit.advance(load_epoch(100));
        std::vector<std::uint64_t> loads(engines);
        for (std::uint64_t own = 0; own < 100; ++own)
        {
            limit.set_own_in_flight(own);
            // Requests fill the first engine until its bound is reached, then
            // the next one.
            std::size_t at = 0;
            while (at < engines && loads[at] + 1 > limit.bound())
            {
                ++at;
            }
            BOOST_REQUIRE(at < engines);
            ++loads[at];
            const double mean =
                static_cast<double>(own + 1) / static_cast<double>(engines);
            BOOST_TEST(static_cast<double>(loads[at]) <=
                       std::ceil(1.25 * mean));
        }
    }
}

BOOST_AUTO_TEST_CASE(mean_is_highest_of_complete_epochs_in_window)
{
    bound.set_engines(10);
    for (const std::uint64_t epoch : {97U, 98U, 99U})
    {
        report("a", epoch, 5, epoch == 98 ? 60 : 40);
        report("b", epoch, 5, 40);
    }
    // The second source has not sent its digest of this epoch.
    report("a", 100, 5, 500);
    bound.advance(load_epoch(100));
    BOOST_TEST(bound.mean() == 10.0);
    BOOST_TEST(bound.bound() == 13U);
    bound.advance(load_epoch(101));
    BOOST_TEST(bound.mean() == 8.0);
}

BOOST_AUTO_TEST_CASE(mean_uses_larger_engine_count_of_digests_and_list)
{
    bound.set_engines(4);
    report("a", 100, 8, 40);
    bound.advance(load_epoch(100));
    BOOST_TEST(bound.mean() == 5.0);
    bound.set_engines(20);
    bound.advance(load_epoch(100));
    BOOST_TEST(bound.mean() == 2.0);
}

BOOST_AUTO_TEST_CASE(load_of_silent_source_decays_until_source_is_removed)
{
    report("a", 100, 5, 50);
    report("b", 100, 5, 50);
    report("a", 120, 5, 50);
    bound.advance(load_epoch(120));
    BOOST_TEST(bound.mean() < 8.0);
    BOOST_TEST(bound.mean() > 5.0);
    bound.remove_source(vm_id("b"));
    bound.advance(load_epoch(120));
    BOOST_TEST(bound.mean() == 10.0);
}

BOOST_AUTO_TEST_CASE(old_digest_does_not_replace_a_later_one)
{
    report("a", 100, 5, 10);
    report("a", 92, 5, 500);
    bound.advance(load_epoch(100));
    BOOST_TEST(bound.mean() == 2.0);
}

/// Guards against a mean above the actual one: routers sample their loads at
/// skewed clocks, so samples of one epoch are taken at different times, and
/// their sum must not exceed the highest actual load.
BOOST_AUTO_TEST_CASE(random_loads_with_skewed_clocks_do_not_exceed_actual_mean)
{
    constexpr std::size_t sources = 5;
    constexpr std::uint64_t engines = 10;
    random_source random(11);
    std::vector<window_minimum> minimums(sources,
                                         window_minimum(2 * load_clock_skew));
    std::array<std::uint64_t, sources> loads{};
    std::array<duration, sources> offsets{};
    for (auto& offset : offsets)
    {
        offset = milliseconds(random.below(21)) - milliseconds(10);
    }
    bound.set_engines(engines);
    std::vector<double> means;
    for (std::int64_t tick = 1; tick < 20000; ++tick)
    {
        const time_point now{milliseconds(tick)};
        const std::size_t at = random.below(sources);
        loads[at] += random.chance(0.5) ? 1 : 0;
        loads[at] -= loads[at] > 0 && random.chance(0.5) ? 1 : 0;
        double sum = 0;
        for (std::size_t source = 0; source < sources; ++source)
        {
            minimums[source].record(loads[source], now);
            sum += static_cast<double>(loads[source]);
            const duration clock = now.time_since_epoch() + offsets[source];
            if (clock % load_epoch_length == load_clock_skew)
            {
                report(std::to_string(source).c_str(),
                       epoch_of(clock).get(),
                       2,
                       minimums[source].lowest(now));
            }
        }
        means.push_back(sum / engines);
        bound.advance(epoch_of(now.time_since_epoch()));
        const auto from =
            means.end() - std::min<std::ptrdiff_t>(1000, std::ssize(means));
        BOOST_REQUIRE(bound.mean() <= *std::max_element(from, means.end()));
    }
    BOOST_TEST(bound.mean() > 0.0);
}

BOOST_AUTO_TEST_CASE(window_minimum_of_random_values_matches_brute_force)
{
    constexpr std::int64_t window = 50;
    window_minimum lowest{milliseconds(window)};
    random_source random(13);
    std::vector<std::uint64_t> held;
    std::uint64_t value = 5;
    for (std::int64_t tick = 0; tick < 5000; ++tick)
    {
        const time_point now{milliseconds(tick)};
        if (random.chance(0.2))
        {
            value = random.below(20);
            lowest.record(value, now);
        }
        else if (tick == 0)
        {
            lowest.record(value, now);
        }
        held.push_back(value);
        if (tick >= window)
        {
            const auto from = held.end() - window - 1;
            BOOST_REQUIRE(lowest.lowest(now) ==
                          *std::min_element(from, held.end()));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace

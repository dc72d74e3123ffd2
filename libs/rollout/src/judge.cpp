#include <limpet/rollout/judge.hpp>

#include <algorithm>
#include <cmath>

namespace limpet::rollout
{

namespace
{

/// Likelihood ratio at which a target counts as bad. By Wald's bound, a target
/// whose rate is the expected one reaches it in at most one of so many tests.
constexpr double bad_ratio = 1000;
/// Likelihood ratio at which a target counts as good: a target with the bad
/// rate reaches it in at most one of so many tests.
constexpr double good_ratio = 100;
/// Answers of the other versions that are assumed beside the counted ones, and
/// the bad ones among them, so that a few answers without a bad one do not make
/// the test expect none.
constexpr double prior_answers = 100;
constexpr double prior_bad = 1;
/// A target counts as bad from this rate above the expected one, or from this
/// multiple of it.
constexpr double bad_rate_increase = 0.1;
constexpr double bad_rate_factor = 2;
/// Highest rates that the test compares. Beyond, both versions fail alike.
constexpr double max_bad_rate = 0.98;
constexpr double max_expected_rate = 0.9;

judgement compare(const outcome_counts& target, const outcome_counts& others)
{
    judgement result;
    result.target = target;
    result.others = others;
    result.expected_rate = std::min(max_expected_rate,
                                    (others.bad() + prior_bad) /
                                        (others.answers() + prior_answers));
    result.bad_rate =
        std::min(max_bad_rate,
                 std::max(result.expected_rate + bad_rate_increase,
                          result.expected_rate * bad_rate_factor));
    const double bad = target.bad();
    const double sound = target.answers() - bad;
    result.log_ratio =
        bad * std::log(result.bad_rate / result.expected_rate) +
        sound * std::log((1 - result.bad_rate) / (1 - result.expected_rate));
    if (result.log_ratio >= std::log(bad_ratio))
    {
        result.result = verdict::bad;
    }
    else if (result.log_ratio <= -std::log(good_ratio))
    {
        result.result = verdict::good;
    }
    return result;
}

} // namespace

std::string_view to_string(verdict value) noexcept
{
    switch (value)
    {
    case verdict::undecided:
        return "undecided";
    case verdict::good:
        return "good";
    case verdict::bad:
        return "bad";
    }
    return "unknown";
}

judgement judge(const evidence& observed)
{
    route_evidence all;
    judgement worst;
    for (const auto& [route, counts] : observed)
    {
        all.target += counts.target;
        all.others += counts.others;
        judgement each = compare(counts.target, counts.others);
        each.route = route;
        if (each.result == verdict::bad &&
            (worst.result != verdict::bad || each.log_ratio > worst.log_ratio))
        {
            worst = each;
        }
    }
    const judgement overall = compare(all.target, all.others);
    return overall.result != verdict::bad && worst.result == verdict::bad
               ? worst
               : overall;
}

} // namespace limpet::rollout

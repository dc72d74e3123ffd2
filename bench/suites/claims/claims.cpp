/// \file
/// Bytes and state of claims, and the time that a claims group takes.

#include "suite.hpp"

#include <limpet/base/random.hpp>
#include <limpet/base/units.hpp>
#include <limpet/claims/claim_table.hpp>

#include <malloc.h>
#include <string>

namespace limpet::bench
{

namespace
{

using namespace limpet::claims;

constexpr double budget_megabytes = 256;
constexpr double bytes_per_megabyte = 1e6;
constexpr std::size_t sample_claims = 100000;
/// Answer of a booking, as it is recorded.
constexpr std::size_t body_bytes = 200;
constexpr std::uint64_t steady_keys_per_second = 2;
constexpr std::uint64_t milliseconds_per_second = 1000;

claim_command make_command(std::uint64_t number,
                           claim_action action,
                           std::uint64_t keys_per_second = 100000)
{
    const team_id team("bureau.team" + std::to_string(number % 1000));
    const idempotency_key key("order-" + std::to_string(number));
    const request_id request("router12-1700000000000-" +
                             std::to_string(number));
    return {claim_key_of(team, key),
            request,
            number * milliseconds_per_second / keys_per_second,
            std::move(action)};
}

settle make_result()
{
    return {201, "application/json", std::string(body_bytes, 'b'), true};
}

std::uint64_t heap_bytes()
{
    const auto used = mallinfo2();
    return used.uordblks + used.hblkhd;
}

double as_double(std::uint64_t value)
{
    return static_cast<double>(value);
}

/// Claims and settles keys until the table refuses one, and returns how many.
std::uint64_t fill(claim_table& table, std::uint64_t most)
{
    std::uint64_t index = 0;
    for (std::uint64_t number = 0; number < most; ++number)
    {
        const auto answer =
            table.apply(++index, make_command(number, claim{number}));
        if (!std::holds_alternative<granted>(answer))
        {
            return number;
        }
        table.apply(++index, make_command(number, make_result()));
    }
    return most;
}

/// Runs a constant rate of keys for longer than the retention.
void measure_steady_state(report& figures)
{
    const claim_limits limits;
    const std::uint64_t before = heap_bytes();
    claim_table table(limits);
    const auto seconds_run =
        static_cast<std::uint64_t>(1.1 * to_seconds(limits.retention));
    std::uint64_t index = 0;
    const std::uint64_t rate = steady_keys_per_second;
    std::uint64_t refusals = 0;
    for (std::uint64_t number = 0; number < seconds_run * rate; ++number)
    {
        const auto answer =
            table.apply(++index, make_command(number, claim{number}, rate));
        refusals += std::holds_alternative<granted>(answer) ? 0 : 1;
        table.apply(++index, make_command(number, make_result(), rate));
    }
    const double measured = as_double(heap_bytes() - before);
    const double used = as_double(table.used().get());
    figures.at_most("claims.steady.refusals", as_double(refusals), 0);
    figures.at_least("claims.steady.keys_remembered",
                     as_double(table.size()),
                     as_double(rate) * to_seconds(limits.retention));
    figures.note("claims.steady.bytes_per_key",
                 measured / as_double(table.size()));
    figures.at_least("claims.steady.accounted_to_measured", used / measured, 1);
    figures.note("claims.steady.keys_per_second_of_a_full_group",
                 as_double(limits.capacity.get()) / used * as_double(rate));
}

void run(const suite_options&, report& figures)
{
    measure_steady_state(figures);
    const claim_command asked = make_command(1, claim{1});
    const claim_command settled = make_command(1, make_result());
    const double log_bytes =
        as_double(encode(asked).size() + encode(settled).size());
    figures.note("claims.claim_bytes", as_double(encode(asked).size()));
    figures.note("claims.settle_bytes", as_double(encode(settled).size()));
    figures.note("claims.log_bytes_per_request", log_bytes);

    const std::uint64_t before = heap_bytes();
    const claim_limits limits;
    claim_table table(limits);
    const std::uint64_t capacity = fill(table, 100 * sample_claims);
    const double measured = as_double(heap_bytes() - before);
    const double accounted = as_double(table.used().get());
    figures.at_most("claims.full_group_mb",
                    measured / bytes_per_megabyte,
                    budget_megabytes);
    figures.at_least(
        "claims.accounted_to_measured_bytes", accounted / measured, 1);
    figures.note("claims.state_bytes_per_claim",
                 measured / as_double(capacity));
    figures.note("claims.keys_of_a_full_group", as_double(capacity));
}

void run_timing(const suite_options&, report& figures)
{
    claim_table table(claim_limits{});
    time_point start = monotonic_clock::now();
    const std::uint64_t done = fill(table, sample_claims);
    const double elapsed = to_seconds(monotonic_clock::now() - start);
    figures.note("claims_timing.claims_and_settles_per_second",
                 as_double(2 * done) / elapsed);
    start = monotonic_clock::now();
    const std::string snapshot = table.snapshot();
    figures.note("claims_timing.snapshot_s",
                 to_seconds(monotonic_clock::now() - start));
    figures.note("claims_timing.snapshot_bytes_per_claim",
                 as_double(snapshot.size()) / as_double(done));
    start = monotonic_clock::now();
    const auto restored = claim_table::restore(snapshot, claim_limits{});
    figures.note("claims_timing.restore_s",
                 to_seconds(monotonic_clock::now() - start));
    figures.at_least("claims_timing.restored", is_ok(restored) ? 1 : 0, 1);
}

const suite_registration registration({"claims", true, &run});
const suite_registration timing({"claims_timing", false, &run_timing});

} // namespace

} // namespace limpet::bench

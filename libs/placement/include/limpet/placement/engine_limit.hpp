/// \file
/// Adaptive limit of the requests that an engine serves at once.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/units.hpp>

#include <cstdint>

namespace limpet::placement
{

/// Parameters of an engine's adaptive limit.
struct limit_settings
{
    /// Requests that an engine bears right after its start.
    std::uint32_t cold_limit = 4;
    /// Generated tokens of completed requests that add one request to the
    /// limit.
    token_count tokens_per_slot{256};
    /// Most requests in flight that started after the last one whose first
    /// token came on time, so that an engine that turned cold unnoticed gets
    /// no more than it bears.
    std::uint32_t max_unconfirmed = 4;
    /// First-token time over the expected one up to which it is on time.
    double on_time_factor = 2;
    /// First-token time over that of an uncached prompt from which the engine
    /// counts as cold.
    double slow_factor = 3;
    /// Time to the first token of a prompt that is cached in whole.
    duration first_token_base = milliseconds(50);
    /// Uncached prompt tokens that a warm engine reads in a second.
    double prefill_tokens_per_second = 8000;
    /// Part of the cache's highest fill below which the engine counts as cold.
    double shrunken_cache = 0.5;
};

/// What an engine reports about itself, some time ago.
struct engine_report
{
    incarnation run;
    std::uint32_t in_flight = 0;
    token_count cached;
};

/// Limit of one engine, kept by its owner. Completed work raises it, evidence
/// that the engine is cold cuts it to the cold limit. Not thread-safe.
class engine_limit
{
public:
    /// Starts at the cold limit. `slots` is the highest limit.
    engine_limit(limit_settings settings, std::uint32_t slots, incarnation run);

    /// Returns the number of requests that the engine may serve at once.
    std::uint32_t limit() const noexcept;

    /// Returns the most requests that may be in flight since the last first
    /// token that came on time.
    std::uint32_t max_unconfirmed() const noexcept;

    /// Returns whether the first token came as a warm engine gives it.
    bool is_on_time(token_count uncached, duration latency) const;

    /// Returns the time to the first token of a prompt, by what the engine
    /// took before.
    duration expected_first_token(token_count uncached) const;

    /// Returns the time to the first token of the whole uncached prompt from
    /// which on the engine counts as cold.
    duration slow_after(token_count prompt) const;

    /// Starts from a limit that the former owner handed over.
    void take_over(std::uint32_t limit);

    /// Records the first token of a request: its prompt, the part of it that
    /// was expected to be uncached, and the time that it took.
    void
    on_first_token(token_count prompt, token_count uncached, duration latency);

    /// Returns how often the engine was found cold.
    std::uint32_t generation() const noexcept;

    /// Records a completed request of so many generated tokens.
    /// `generation` is that at the request's start: work from before the
    /// engine turned cold says nothing about what it bears now.
    void on_completed(token_count work, std::uint32_t generation);

    /// Records a failed request: the limit falls by half.
    void on_failed();

    /// Records a report of the engine. `highest_own` is the highest number of
    /// requests that this owner had in flight within the report's lag.
    void on_report(const engine_report& report, std::uint32_t highest_own);

    /// Cuts the limit to the cold limit.
    void on_cold();

private:
    limit_settings m_settings;
    std::uint32_t m_slots;
    incarnation m_run;
    double m_limit;
    /// Load that the engine reports beyond its owner's.
    std::uint32_t m_foreign = 0;
    /// Ratio of measured to nominal first-token times, smoothed.
    double m_pace = 1;
    std::uint64_t m_highest_cached = 0;
    std::uint32_t m_generation = 0;
};

} // namespace limpet::placement

/// \file
/// Adaptive concurrency limit of an engine.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/units.hpp>

#include <cstdint>

namespace limpet::placement
{

/// Parameters of the adaptive concurrency limit.
struct limit_settings
{
    /// Concurrency limit of an engine whose cache is cold, such as after a
    /// start.
    std::uint32_t cold_limit = 4;
    /// Number of generated tokens in completed requests that raises the limit
    /// by one request.
    token_count tokens_per_slot{256};
    /// Maximum number of requests in flight that started after the latest
    /// request with an on-time first token. Bounds the load on an engine that
    /// has become cold without being detected as such.
    std::uint32_t max_unconfirmed = 4;
    /// A first token is on time if its latency is at most this multiple of the
    /// expected latency.
    double on_time_factor = 2;
    /// A first token marks the engine as cold if its latency exceeds this
    /// multiple of the latency expected for the same prompt without any cached
    /// prefix.
    double cold_latency_factor = 3;
    /// Nominal time to first token for a fully cached prompt.
    duration first_token_base = milliseconds(50);
    /// Nominal prefill rate of a warm engine, in uncached prompt tokens per
    /// second.
    double prefill_tokens_per_second = 8000;
    /// Fraction of the highest reported cache fill below which a report marks
    /// the engine as cold.
    double cold_cache_ratio = 0.5;
};

/// Load report of an engine. It describes the engine at an earlier time.
struct engine_report
{
    incarnation run;
    std::uint32_t in_flight = 0;
    token_count cached;
};

/// Concurrency limit of one engine, maintained by the router that owns it.
/// Completed requests raise the limit, failures halve it, and evidence of a
/// cold cache reduces it to the cold limit. Not thread-safe.
class engine_limit
{
public:
    /// Starts at the cold limit. `slots` is the maximum limit.
    engine_limit(limit_settings settings, std::uint32_t slots, incarnation run);

    /// Returns the number of requests that may run concurrently: the adaptive
    /// limit less the load that other routers put on the engine.
    std::uint32_t limit() const noexcept;

    /// Returns the maximum number of requests in flight that started after the
    /// latest on-time first token.
    std::uint32_t max_unconfirmed() const noexcept;

    /// Returns whether `latency` is within the on-time bound for a prompt with
    /// `uncached` uncached tokens.
    bool is_on_time(token_count uncached, duration latency) const;

    /// Returns the expected time to first token for `uncached` uncached prompt
    /// tokens, scaled by the engine's observed latency.
    duration expected_first_token(token_count uncached) const;

    /// Returns the first-token latency above which the engine counts as cold,
    /// for a prompt of `prompt` tokens.
    duration slow_after(token_count prompt) const;

    /// Sets the limit handed over by the previous owner, clamped to the range
    /// from the cold limit to the slots.
    void take_over(std::uint32_t limit);

    /// Records a request's first token. `uncached` is the part of the prompt
    /// that was expected not to be cached.
    void
    on_first_token(token_count prompt, token_count uncached, duration latency);

    /// Returns the number of times the engine was found cold.
    std::uint32_t generation() const noexcept;

    /// Records a completed request that generated `generated` tokens.
    /// `generation` is the value of generation() when the request started. A
    /// request from an earlier generation is ignored, because it does not show
    /// how much load the engine handles with a cold cache.
    void on_completed(token_count generated, std::uint32_t generation);

    /// Records a failed request and halves the limit, down to at least the cold
    /// limit.
    void on_failed();

    /// Processes a load report of the engine. `own_peak_in_flight` is the
    /// highest number of requests that this owner had in flight during the time
    /// by which the report may lag.
    void on_report(const engine_report& report,
                   std::uint32_t own_peak_in_flight);

    /// Reduces the limit to the cold limit and starts a new generation.
    void on_cold();

private:
    limit_settings m_settings;
    std::uint32_t m_slots;
    incarnation m_incarnation;
    double m_limit;
    /// Requests in flight that the engine reports in excess of its owner's own.
    std::uint32_t m_external_in_flight = 0;
    /// Smoothed ratio of measured to nominal first-token latency.
    double m_latency_ratio = 1;
    std::uint64_t m_peak_cached_tokens = 0;
    std::uint32_t m_generation = 0;
};

} // namespace limpet::placement

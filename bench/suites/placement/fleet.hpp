/// \file
/// Fake engines with a prefix cache and a cold start, and what is measured on
/// them.

#pragma once

#include "event_queue.hpp"
#include "workload.hpp"

#include <limpet/placement/engine_view.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace limpet::bench
{

/// Prefix cache that drops the chat used longest ago.
class prefix_cache
{
public:
    explicit prefix_cache(std::uint64_t capacity_tokens);

    /// Returns the cached length of the chat.
    std::uint32_t find(std::uint64_t chat) const;

    /// Stores the chat's prefix.
    void store(std::uint64_t chat, std::uint32_t tokens);

    void clear();

    std::uint64_t used_tokens() const noexcept;

private:
    using entry = std::pair<std::uint64_t, std::uint32_t>;

    std::uint64_t m_capacity;
    std::uint64_t m_used = 0;
    std::list<entry> m_entries;
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> m_index;
};

/// How the fake engines behave.
struct engine_model
{
    std::uint32_t slots = 32;
    std::uint64_t cache_tokens = 1'000'000;
    duration first_token_base = milliseconds(50);
    double prefill_tokens_per_second = 8000;
    /// Requests that an engine bears at its start.
    std::uint32_t cold_bearable = 4;
    /// Work after which it bears one more.
    std::uint32_t work_tokens_per_slot = 200;
    /// How much slower an engine is that lost its cache and its warm-up.
    double cold_slowdown = 5;
    double load_multiple = 1.25;
    /// Cached tokens that one engine takes over from another in a second.
    double import_tokens_per_second = 20'000;
    duration import_base = milliseconds(10);
};

/// What a run measured from the end of its warm-up on.
struct measurements
{
    std::uint64_t requests = 0;
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t refused = 0;
    std::uint64_t cut = 0;
    /// Messages to keepers of directory entries.
    std::uint64_t notes = 0;
    double prompt_tokens = 0;
    double warm_tokens = 0;
    /// Those of the warm tokens that were imported.
    double imported_tokens = 0;
    std::vector<double> first_token_seconds;
    /// Waits of each partner's requests.
    std::array<std::vector<double>, 2> wait_seconds;
    std::array<std::uint64_t, 2> partner_arrived{};
    std::array<std::uint64_t, 2> partner_started{};
    /// Tokens of the started requests, as the fair queue counts them.
    std::array<double, 2> partner_tokens{};
    /// Highest load after a dispatch over the rounded multiple of the highest
    /// true mean within the last second.
    double load_over_bound = 0;
    /// Highest load of an engine over the mean, as it is.
    double load_over_mean = 0;
    /// Highest load since an engine turned cold over what it bears.
    double cold_over_bearable = 0;
    /// Dispatches to engines that were out of service for over 3 s.
    std::uint64_t late_dispatches = 0;

    double warm_part() const
    {
        return prompt_tokens > 0 ? warm_tokens / prompt_tokens : 0;
    }
};

/// Returns the value that the given part of the values does not exceed.
double quantile(std::vector<double> values, double part);

/// One fake engine.
struct fake_engine
{
    placement::engine_view view;
    prefix_cache cache;
    bool alive = true;
    /// Slower than normal until it has worked again.
    bool slow = false;
    std::uint32_t in_flight = 0;
    std::uint32_t in_flight_since_cold = 0;
    std::uint64_t work_since_cold = 0;
    std::uint32_t colds = 0;
    time_point ordered_out_at = time_point::max();

    bool eligible() const
    {
        return alive && view.in_service;
    }
};

/// All engines of a run. Not a placement: it starts what it is told to.
class fleet
{
public:
    /// Called with the tokens of work and whether the engine broke off.
    using finished = std::function<void(std::uint64_t, bool)>;
    using answered = std::function<void()>;

    /// Measures what happens between the two times.
    fleet(event_queue& events,
          engine_model model,
          time_point measure_from,
          time_point measure_until);

    std::uint32_t add_engine(std::uint32_t data_centre, bool warm);
    void remove_engine(std::uint32_t index);
    void set_in_service(std::uint32_t index, bool in_service);
    /// Notes that the operators' order to take the data centre out of service
    /// or back was accepted.
    void accept_order(const data_centre_id& id, bool in_service);
    /// The engine loses its cache and its warm-up without a word.
    void turn_cold(std::uint32_t index);

    /// Starts the turn on the engine, which must be alive, after importing
    /// the chat's cache from another engine if one is given.
    void start(std::uint32_t index,
               const turn& request,
               std::optional<std::uint32_t> import_from,
               const answered& on_first_token,
               const finished& on_finished);

    void refuse(const turn& request);
    void arrive(const turn& request);

    const std::vector<fake_engine>& engines() const noexcept;
    std::vector<placement::engine_view> views() const;

    /// Returns the true mean in flight with one request more.
    double mean_with(std::uint32_t more) const;
    /// Returns the most requests that the bound allows on an engine now.
    std::uint32_t true_bound() const;
    std::uint32_t eligible_count() const noexcept;

    measurements& measured() noexcept;
    event_queue& events() noexcept;
    const engine_model& model() const noexcept;

private:
    struct flight
    {
        std::uint32_t engine = 0;
        bool eligible = true;
        std::uint32_t colds = 0;
        turn request;
        finished on_finished;
    };

    void note_mean();
    double highest_mean();
    void check_dispatch(const fake_engine& engine);
    void end(std::uint64_t id, bool failed);
    bool is_measured() const;

    event_queue& m_events;
    engine_model m_model;
    time_point m_measure_from;
    time_point m_measure_until;
    std::vector<fake_engine> m_engines;
    std::unordered_map<std::uint64_t, flight> m_flights;
    std::uint64_t m_next_flight = 0;
    /// Requests in flight on eligible engines.
    std::int64_t m_in_flight = 0;
    std::uint32_t m_eligible = 0;
    std::deque<std::pair<time_point, double>> m_means;
    measurements m_measured;
};

} // namespace limpet::bench

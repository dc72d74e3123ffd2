/// \file
/// Admission control and dispatch of one engine at its owner.

#pragma once

#include <limpet/admission/fair_queue.hpp>
#include <limpet/admission/refusal.hpp>
#include <limpet/admission/share_table.hpp>
#include <limpet/admission/slot_guarantee.hpp>
#include <limpet/base/ids.hpp>
#include <limpet/base/units.hpp>
#include <limpet/placement/engine_limit.hpp>
#include <limpet/placement/engine_view.hpp>
#include <limpet/placement/load_bound.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace limpet::admission
{

/// Parameters of a dispatcher.
struct dispatcher_settings
{
    placement::limit_settings limit;
    queue_settings queue;
    /// Fraction of a partner's guaranteed slots, 0 to 1, that other partners
    /// may not borrow.
    double guarantee_margin = 0.25;
    /// Target for the time to the first token.
    duration first_token_budget = milliseconds(420);
    /// Longest wait for a warm engine while another engine may have capacity.
    duration longest_patience = milliseconds(300);
    /// Smallest saving of time to the first token that justifies a wait for a
    /// warm engine or an import.
    duration min_first_token_saving = milliseconds(30);
    /// Rate at which an engine imports cached tokens from another one, in
    /// tokens per second; 0 if the engines do not support it.
    double import_tokens_per_second = 0;
    /// Fixed time of an import in addition to the transfer.
    duration import_base = milliseconds(10);
    /// Greatest age of an engine's report on arrival.
    duration report_lag = seconds(6);
};

/// A request that an entry router submits to the engine's owner.
struct offer
{
    queue_item item;
    /// Length of the prompt.
    token_count prompt;
    /// Prompt tokens that are expected to be in the engine's prefix cache.
    token_count cached;
    /// Another engine that has more of the prompt cached, if one is known.
    std::optional<engine_id> source;
    /// Prompt tokens that are expected to be in the source's prefix cache.
    token_count source_cached;
    /// Whether the entry router can try another engine. Otherwise the request
    /// waits here for up to `longest_wait`.
    bool may_go_elsewhere = true;
    duration longest_wait = std::chrono::hours(1);
};

/// Start the request on the engine now.
struct start_request
{
    request_id id;
    /// The engine from which the chat's cache should be imported first. If
    /// that fails, the request starts without it.
    std::optional<engine_id> import_from;
};

/// The request left the queue without being run. The entry router should try
/// the next engine, or start over with the first one after the last. Also the
/// answer for an engine that is out of service.
struct go_elsewhere
{
    request_id id;
};

/// The request left the queue without being run and is refused for good.
struct refuse_request
{
    request_id id;
    refusal why;
};

/// Action that the owner takes for a request.
using dispatch_action =
    std::variant<start_request, go_elsewhere, refuse_request>;

/// Dispatch state of one engine at its owner: the queue, the requests in flight
/// and the limits. Call poll() after every other modifying call and at
/// next_wakeup(). Not thread-safe.
class dispatcher
{
public:
    dispatcher(dispatcher_settings settings,
               const placement::engine_view& engine);

    /// Replaces the shares of partners and teams.
    void set_shares(std::shared_ptr<const share_table> shares);

    /// Lowers the bound on requests in flight during a transfer of ownership:
    /// to `ownership_bound`, less the requests that the previous owner still
    /// has running on the engine.
    void set_ownership(std::uint32_t ownership_bound,
                       std::uint32_t previous_owner_requests) noexcept;

    /// Takes the engine out of service or returns it. While it is out of
    /// service, waiting requests are sent elsewhere and none start; requests in
    /// flight continue. On its return the limit starts at the cold limit.
    void set_in_service(bool in_service);

    /// Initialises the state with the requests in flight and the limit that the
    /// previous owner handed over. These requests end with finish() as usual.
    void take_over(const std::vector<queue_item>& in_flight,
                   std::uint32_t limit,
                   time_point now);

    /// Submits a request. poll() returns the action for it.
    void bring(const offer& request, time_point now);

    /// Returns the actions that are due for waiting requests. `bound` is the
    /// load bound of the engine's model.
    std::vector<dispatch_action> poll(const placement::load_bound& bound,
                                      time_point now);

    /// Records the first token of a request in flight.
    void first_token(const request_id& id, time_point now);

    /// Records that a request in flight ended. `work` is its number of
    /// generated tokens, `failed` whether the engine aborted it.
    void
    finish(const request_id& id, token_count work, bool failed, time_point now);

    /// Removes a waiting request that its caller cancelled. Returns whether it
    /// was waiting; a request in flight is ended with finish() instead.
    bool withdraw(const request_id& id);

    /// Applies a load report of the engine.
    void report(const placement::engine_report& report, time_point now);

    /// Returns the number of requests in flight.
    std::uint32_t in_flight() const noexcept;

    /// Returns the number of waiting requests.
    std::size_t waiting() const noexcept;

    /// Returns the number of further requests that could start now.
    std::uint32_t room(const placement::load_bound& bound) const;

    /// Returns the adaptive limit.
    std::uint32_t limit() const noexcept;

    /// Returns when poll() must be called next if no other event occurs, or
    /// nothing if no request waits.
    std::optional<time_point> next_wakeup() const;

private:
    /// A request that runs on the engine.
    struct running_request
    {
        partner_id partner;
        token_count prompt;
        token_count uncached;
        time_point started_at;
        bool has_first_token = false;
        /// Generation of the engine limit when the request started.
        std::uint32_t generation = 0;
    };

    /// A waiting request.
    struct pending
    {
        offer request;
        /// Time at which the request is sent elsewhere.
        time_point wait_until;
    };

    /// Returns the expected time to the first token of a prompt with `cached`
    /// tokens cached here and `importable` tokens at another engine.
    duration first_token_with(token_count prompt,
                              token_count cached,
                              token_count importable) const;
    bool is_import_worthwhile(const offer& request) const;
    duration max_wait_of(const offer& request) const;
    std::uint32_t slots(const placement::load_bound& bound) const;
    duration expected_wait(std::size_t ahead, std::uint32_t slots) const;
    void start(const queue_item& item, time_point now);
    void start_waiting(std::uint32_t slots,
                       time_point now,
                       std::vector<dispatch_action>& actions);
    void redirect_requests(std::uint32_t slots,
                           time_point now,
                           std::vector<dispatch_action>& actions);
    void refuse_expired(std::uint32_t slots,
                        time_point now,
                        std::vector<dispatch_action>& actions);
    void check_overdue_first_tokens(time_point now);
    void erase_pending(const request_id& id);
    void mark_first_token(running_request& item, const request_id& id);
    void confirm_started_until(time_point started);

    dispatcher_settings m_settings;
    placement::engine_limit m_limit;
    fair_queue m_queue;
    slot_guarantee m_slots;
    std::shared_ptr<const share_table> m_shares;
    std::unordered_map<request_id, pending> m_pending;
    std::set<std::pair<time_point, request_id>> m_wait_limits;
    std::unordered_map<request_id, running_request> m_running;
    std::set<std::pair<time_point, request_id>> m_awaiting_first_token;
    /// Requests in flight that started after the latest one whose first token
    /// was on time. Their number is limited, since the engine may have turned
    /// cold since.
    std::set<std::pair<time_point, request_id>> m_unconfirmed;
    /// Submitted requests that were not queued, as the queue was full or the
    /// engine out of service; the next poll() returns their actions.
    std::vector<offer> m_rejected;
    /// Maxima of the number in flight within the report lag: a queue with
    /// increasing times and decreasing numbers.
    std::deque<std::pair<time_point, std::uint32_t>> m_in_flight_maxima;
    /// Moving average of the time that a request is in flight, in seconds.
    double m_mean_service_seconds = 5;
    std::uint32_t m_ownership_bound = UINT32_MAX;
    std::uint32_t m_previous_owner_requests = 0;
    bool m_in_service;
};

} // namespace limpet::admission

/// \file
/// Decides when an engine's owner starts requests on it.

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
    /// Part of a partner's guaranteed slots that others may not borrow.
    double guarantee_margin = 0.25;
    /// Time to the first token that requests should keep.
    duration first_token_budget = milliseconds(420);
    /// Longest wait at a warm engine while another may have room.
    duration longest_patience = milliseconds(300);
    /// Prefill time that a warm engine has to save for a wait.
    duration worthwhile_saving = milliseconds(30);
    /// Cached tokens that one engine takes over from another in a second, 0 if
    /// the engines cannot.
    double import_tokens_per_second = 0;
    /// Time that an import takes beside the transfer.
    duration import_base = milliseconds(10);
    /// Oldest report that the engine may send about itself.
    duration report_lag = seconds(6);
};

/// A request that an entry router brings to the engine's owner.
struct offer
{
    queue_item item;
    /// Length of the prompt.
    token_count prompt;
    /// Part of the prompt that the engine's cache is expected to hold.
    token_count cached;
    /// Another engine that holds more of the prompt, if one is known.
    std::optional<engine_id> source;
    /// Part of the prompt that the source is expected to hold.
    token_count source_cached;
    /// Whether the entry router has another engine to try. Otherwise the
    /// request waits here for up to `longest_wait`.
    bool may_go_elsewhere = true;
    duration longest_wait = std::chrono::hours(1);
};

/// The request starts on the engine now.
struct start_request
{
    request_id id;
    /// The engine from which the chat's cache should be imported first. If
    /// that fails, the request starts without it.
    std::optional<engine_id> import_from;
};

/// The request left the queue without being run; the entry router should try
/// the next engine, or begin another round after the last one. An engine out
/// of service answers so too.
struct go_elsewhere
{
    request_id id;
};

/// The request left the queue without being run and gets its final answer.
struct refuse_request
{
    request_id id;
    refusal why;
};

/// What the owner does with a request.
using dispatch_action =
    std::variant<start_request, go_elsewhere, refuse_request>;

/// State of one engine at its owner: its queue, the requests in flight and its
/// limits. Call poll() after each other call and at next_wakeup(). Not
/// thread-safe.
class dispatcher
{
public:
    dispatcher(dispatcher_settings settings,
               const placement::engine_view& engine);

    /// Uses the shares from now on.
    void set_shares(std::shared_ptr<const share_table> shares);

    /// Bounds the requests in flight further while the ownership of the engine
    /// is not full: at most `most`, and as many fewer as the former owner still
    /// has running there.
    void set_ownership(std::uint32_t most, std::uint32_t inherited) noexcept;

    /// Takes the engine out of service or back into it. Out of service,
    /// waiting requests go elsewhere and nothing starts; requests in flight
    /// go on. Back in service, the limit starts at the cold limit.
    void set_in_service(bool in_service);

    /// Starts from the requests in flight and the limit that the former owner
    /// handed over. The requests are finished with finish() as usual.
    void take_over(const std::vector<queue_item>& in_flight,
                   std::uint32_t limit,
                   time_point now);

    /// Brings a request. poll() returns what becomes of it.
    void bring(const offer& request, time_point now);

    /// Returns what to do with waiting requests. `bound` is the load bound of
    /// the engine's model.
    std::vector<dispatch_action> poll(const placement::load_bound& bound,
                                      time_point now);

    /// Records the first token of a request in flight.
    void first_token(const request_id& id, time_point now);

    /// Records that a request in flight ended after so many generated tokens.
    /// `failed` if the engine broke it off.
    void
    finish(const request_id& id, token_count work, bool failed, time_point now);

    /// Removes a waiting request that its caller gave up. Returns whether it
    /// waited; one in flight is ended with finish().
    bool withdraw(const request_id& id);

    /// Takes a report of the engine.
    void report(const placement::engine_report& report, time_point now);

    /// Returns the number of requests in flight.
    std::uint32_t in_flight() const noexcept;

    /// Returns the number of waiting requests.
    std::size_t waiting() const noexcept;

    /// Returns the number of further requests that could start now.
    std::uint32_t room(const placement::load_bound& bound) const;

    /// Returns the adaptive limit.
    std::uint32_t limit() const noexcept;

    /// Returns when poll() has to be called next without another event, or
    /// nothing.
    std::optional<time_point> next_wakeup() const;

private:
    struct flight
    {
        partner_id partner;
        token_count prompt;
        token_count uncached;
        time_point started_at;
        bool answered = false;
        std::uint32_t generation = 0;
    };

    struct pending
    {
        offer request;
        time_point patient_until;
    };

    /// Returns the time to the first token when the prompt has `cached` tokens
    /// here and `importable` at another engine.
    duration first_token_with(token_count prompt,
                              token_count cached,
                              token_count importable) const;
    bool is_import_worthwhile(const offer& request) const;
    duration patience_of(const offer& request) const;
    std::uint32_t slots(const placement::load_bound& bound) const;
    duration expected_wait(std::size_t ahead, std::uint32_t slots) const;
    void start(const queue_item& item, time_point now);
    void start_waiting(std::uint32_t slots,
                       time_point now,
                       std::vector<dispatch_action>& actions);
    void send_elsewhere(std::uint32_t slots,
                        time_point now,
                        std::vector<dispatch_action>& actions);
    void refuse_hopeless(std::uint32_t slots,
                         time_point now,
                         std::vector<dispatch_action>& actions);
    void check_overdue(time_point now);
    void forget(const request_id& id);
    void mark_answered(flight& item, const request_id& id);
    void confirm_until(time_point started);

    dispatcher_settings m_settings;
    placement::engine_limit m_limit;
    fair_queue m_queue;
    slot_guarantee m_slots;
    std::shared_ptr<const share_table> m_shares;
    std::unordered_map<request_id, pending> m_pending;
    std::set<std::pair<time_point, request_id>> m_patience;
    std::unordered_map<request_id, flight> m_flights;
    std::set<std::pair<time_point, request_id>> m_unanswered;
    /// Requests in flight that started after the last one whose first token
    /// came on time.
    std::set<std::pair<time_point, request_id>> m_unconfirmed;
    /// Requests that came and found no room in the queue.
    std::vector<offer> m_rejected;
    /// Highest numbers in flight within the report lag.
    std::deque<std::pair<time_point, std::uint32_t>> m_highest;
    /// Smoothed time that a request is in flight, in seconds.
    double m_service_seconds = 5;
    std::uint32_t m_most = UINT32_MAX;
    std::uint32_t m_inherited = 0;
    bool m_in_service;
};

} // namespace limpet::admission

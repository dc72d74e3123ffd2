/// \file
/// Handles one caller's request from its arrival to its final response.

#pragma once

#include "gateway_state.hpp"

#include <limpet/http/client.hpp>
#include <limpet/http/server.hpp>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace limpet::gateway
{

/// Returns whether an attempt failed because the server's VM stopped
/// acknowledging data.
bool is_acknowledgement_timeout(const error& reason);

/// Returns whether an attempt failed because the server ended the connection:
/// not if this router did, as it could not read the answer.
bool is_end_of_connection(const error& reason);

/// Selects a backend server with capacity, sends the request there and forwards
/// the response. Retries only if the request is known not to have run or its
/// route allows repeats, within the route's attempts and the retry budget.
class request_handler
{
public:
    request_handler(gateway_state& state, http::exchange& caller);

    /// Handles a request that another router handed over, in the time left to
    /// it. It is not handed over again.
    request_handler(gateway_state& state,
                    http::exchange& caller,
                    duration time_left);
    ~request_handler();

    request_handler(const request_handler&) = delete;
    request_handler& operator=(const request_handler&) = delete;

    boost::asio::awaitable<void> run();

    /// Returns whether a request that was handed over got no response, since it
    /// has not run and another router may be able to serve it.
    bool is_unserved() const noexcept
    {
        return m_is_unserved;
    }

    /// Lets run() end soon: a request that was not sent is refused, one without
    /// a response gets a time-out, and a stream is cut off.
    void end_for_shutdown();

private:
    /// How one attempt at a server ended, as far as the caller is concerned.
    enum class attempt_result
    {
        finished,   ///< The caller has its final response or disconnected.
        not_sent,   ///< The request did not reach a server.
        not_run,    ///< The server guaranteed that the request did not run.
        failed,     ///< It may have run; nothing was sent to the caller yet.
        interrupted ///< A stream broke off after a part reached the caller.
    };

    /// How another router served the request.
    enum class handover_result
    {
        answered,   ///< The caller has its response or disconnected.
        not_served, ///< It has not run and will not run there.
        no_room,    ///< The same, for lack of memory or of places.
        failed,     ///< It may have run.
        timed_out   ///< It may have run.
    };

    /// A response that another router sends.
    struct relayed_response
    {
        relayed_response(response_buffer_budget& budget, const vm_id& router);

        std::uint32_t next_sequence = 0;
        /// Bytes that the caller took and the other router does not know of.
        std::uint32_t uncredited = 0;
        /// Of a response with a length.
        std::optional<http::response_head> whole;
        response_buffer body;
    };

    std::optional<refusal_cause> read_call();
    /// Waits for the configuration during the startup period.
    boost::asio::awaitable<void> wait_for_configuration();
    bool is_in_startup_period() const;
    std::optional<refusal_cause> resolve_route();
    /// Returns whether there is memory for what is kept beside the request.
    bool has_memory();
    /// Finds out which version began the stream that the caller resumes.
    boost::asio::awaitable<std::optional<refusal_cause>> find_origin();
    /// Records that the last attempt's server begins the stream.
    void record_origin();
    boost::asio::awaitable<std::variant<chosen_server, refusal_cause>>
    find_server();
    /// Waits for a server whose limit allows a request before `until`. Returns
    /// false at once if there is none; the caller is then told when to return.
    boost::asio::awaitable<bool> wait_for_limit(time_point until);
    /// Waits for a server that is closed to be open again before `until`, as
    /// wait_for_limit does.
    boost::asio::awaitable<bool> wait_for_opening(time_point until);
    boost::asio::awaitable<void> sleep_for(duration span);
    boost::asio::awaitable<void> wait_in_queue(duration timeout);
    /// Hands what the answer says of the requests that the server takes to the
    /// server pool.
    void record_requests_taken(const server_answer& fields);
    boost::asio::awaitable<refusal_cause> run_attempts();
    /// Lets this router serve the request or, if it reaches no server, another.
    boost::asio::awaitable<refusal_cause> serve();
    boost::asio::awaitable<refusal_cause> serve_here_or_elsewhere();
    bool may_hand_over() const;
    /// Returns whether other routers may still serve the request, of which this
    /// one's attempts ended for the cause.
    bool may_be_served_elsewhere(refusal_cause cause);
    boost::asio::awaitable<handover_result> hand_over();
    /// Cuts off a stream that the other router did not end.
    void cut_off_unless_answered(handover_result result);
    boost::asio::awaitable<handover_result>
    hand_over_to(sent_handover& sent, relayed_response& answer);
    /// Relays a message of the router that serves the request. Returns nothing
    /// while more are to come.
    boost::asio::awaitable<std::optional<handover_result>>
    relay(const pipeline::exchange_content& content,
          sent_handover& sent,
          relayed_response& answer);
    boost::asio::awaitable<std::optional<handover_result>>
    relay_head(const pipeline::head_message& head, relayed_response& answer);
    boost::asio::awaitable<std::optional<handover_result>>
    relay_part(const pipeline::part_message& part,
               sent_handover& sent,
               relayed_response& answer);
    boost::asio::awaitable<std::optional<handover_result>>
    relay_finish(const pipeline::finish_message& finish,
                 relayed_response& answer);
    /// Records whether the server could be reached.
    void record_unreached(const chosen_server& server);
    bool may_hand_over_again(const relayed_response& answer);
    void record_reach(const chosen_server& server, attempt_outcome outcome);
    boost::asio::awaitable<attempt_result> attempt(const chosen_server& server);
    boost::asio::awaitable<attempt_result>
    forward_response(const chosen_server& server,
                     std::unique_ptr<http::response_stream> answer);
    boost::asio::awaitable<attempt_result>
    forward_buffered(std::unique_ptr<http::response_stream> answer);
    boost::asio::awaitable<attempt_result>
    forward_stream(std::unique_ptr<http::response_stream> answer);
    /// Returns whether no stream has begun, or the response may go on with it.
    /// An error with status 200 differs by its type.
    bool may_continue_stream(const http::response_head& head) const;
    /// Sends the head of the response to the caller, if none was sent yet. From
    /// then on only servers of the same version may continue the stream.
    boost::asio::awaitable<void> begin_stream(const http::response_head& head);
    /// Lets the response that is written to the caller yield its memory.
    response_writing make_writing();
    /// Cuts off a stream that cannot continue.
    void cut_off_stream();
    boost::asio::awaitable<void> refuse(refusal_cause cause);

    /// Returns whether the caller continues a stream of an earlier request.
    bool is_resumed() const;
    /// Returns after which event the next server begins. It repeats the last
    /// event that the caller has: a rest without any event could not be told
    /// from an answer that was lost.
    std::optional<std::uint64_t> resume_after() const;
    bool may_retry(attempt_result last);
    attempt_outcome outcome_of(attempt_result result) const;
    duration time_left() const;
    /// Returns the time within which a server has to begin its response.
    duration time_for_response() const;
    /// Returns whether the gateway can serve the request before it shuts down.
    bool can_end_before_shutdown() const;
    /// Returns whether no further attempt could end before the deadline.
    bool is_deadline_near() const;
    void finish_attempt(const chosen_server& server, attempt_outcome outcome);
    /// Waits for a server with capacity, unless a part of the prompt is
    /// quarantined.
    boost::asio::awaitable<std::variant<chosen_server, refusal_cause>>
    find_server_if_admitted();
    /// Returns whether the request is refused because of a part of its prompt.
    bool is_refused_by(const quarantine::admission& admission);
    /// Records that the last attempt's server does not crash under the request.
    /// Reports the attempt's end as evidence about the server's version, unless
    /// the caller, the deadline or the network caused it.
    void report_outcome(const chosen_server& server, attempt_outcome outcome);
    void record_sound();
    /// Records the same if the server lives on after the first event of its
    /// answer.
    void record_event();
    /// Records that a server closed the connection of an attempt, unless it had
    /// shown before that the request is sound.
    void record_cut_off();
    void watch_caller();
    void log_end(std::string_view outcome);

    gateway_state& m_state;
    http::exchange& m_exchange;
    const time_point m_arrived_at;
    time_point m_deadline;
    call m_call;
    std::shared_ptr<const directory::route_table> m_plan;
    const directory::route* m_route = nullptr;
    const directory::tenant* m_tenant = nullptr;
    server_query m_query;
    /// The keys of the request, and the parts of the prompt that other requests
    /// may have too.
    std::vector<quarantine::part_key> m_quarantine_keys;
    duration m_quarantine_retry_after{};
    /// For a refusal because of the servers' limits or because all are closed.
    duration m_pool_retry_after{};
    /// Names the stream to the other routers, also when it is resumed.
    request_id m_stream;
    unsigned m_rank = 0;

    http::send_canceller m_canceller;
    http::response_stream* m_open_response = nullptr;
    boost::asio::steady_timer* m_sleep = nullptr;
    sent_handover* m_sent_handover = nullptr;
    bool m_caller_gone = false;
    bool m_is_ending = false;

    /// Of a request that another router handed over: when it has to end.
    std::optional<time_point> m_handed_over_until;
    bool m_is_unserved = false;
    /// Whether the request tries the servers of a service that is cut off.
    bool m_is_trial = false;
    bool m_was_handed_over = false;
    /// Whether a router that it was handed over to may have sent it to a
    /// server.
    bool m_may_have_run_elsewhere = false;
    /// The router that served the request for this one.
    vm_id m_served_by;

    /// Attempts that reached or may have reached a server, and those that did
    /// not.
    unsigned m_reached_attempts = 0;
    unsigned m_unreached_attempts = 0;
    /// Error response of a server, forwarded if no other attempt succeeds, and
    /// the buffer that counts its body.
    std::optional<http::response> m_server_failure;
    std::unique_ptr<response_buffer> m_failure_buffer;
    /// Whether there was no room for the last attempt's response, which says
    /// nothing about its server.
    bool m_lacks_memory = false;
    /// Whether the last attempt named a server to copy the prompt from.
    bool m_has_copy_source = false;
    /// Whether the last stream broke off because the server's VM stopped
    /// acknowledging data.
    bool m_acknowledgement_timed_out = false;
    /// Whether the server ended the last attempt's connection amid its answer,
    /// as it does when it crashes.
    bool m_is_cut_off = false;
    /// Whether the last attempt's server sent the head of a response.
    bool m_has_response_head = false;
    bool m_stream_begun = false;
    /// Whether the caller got events that another run would repeat.
    bool m_has_unnumbered_events = false;
    /// Media type of the stream that has begun.
    std::string m_stream_type;
    /// Whether the server of the last attempt has shown that the request does
    /// not crash it, and when the first event of its answer arrived.
    bool m_is_attempt_sound = false;
    std::optional<time_point> m_attempt_event_at;
    /// Of the last response: what marks the end of its body, and in a stream
    /// the bytes after the last whole event.
    std::optional<http::body_delimiter> m_delimiter;
    std::size_t m_unfinished_bytes = 0;
    std::uint64_t m_last_event = 0;
    unsigned m_status = 0;
    duration m_wait_time{};
    time_point m_first_byte_at{};
    engine_id m_server;
    /// When the last attempt was sent.
    time_point m_sent_at{};
    std::string m_server_version;
    origins::version_key m_server_version_key;
    quarantine::server_key m_server_start_key;
    /// Of the last attempt: what was assumed of its server, and the load that
    /// the server reported in its response.
    load_assessment m_assessment;
    std::optional<server_load> m_reported_load;
    std::string m_last_failure;
};

} // namespace limpet::gateway

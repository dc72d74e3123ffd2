/// \file
/// One caller's request, from its arrival to its final answer.

#pragma once

#include "gateway_state.hpp"

#include <limpet/http/server.hpp>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace limpet::gateway
{

/// Returns whether a try failed as the server's machine acknowledged nothing
/// any more.
bool is_silent(const error& reason);

/// Finds a backend server with room, sends the request there, and passes the
/// answer on. Sends it again only while it has certainly not run or may
/// repeat, within the route's attempts and the budget of repeats.
class request_run
{
public:
    request_run(gateway_state& shared, http::exchange& caller);
    ~request_run();

    request_run(const request_run&) = delete;
    request_run& operator=(const request_run&) = delete;

    boost::asio::awaitable<void> run();

private:
    /// How one try at a server ended.
    enum class try_result
    {
        finished,   ///< The caller has its final answer or has gone.
        not_sent,   ///< Certainly did not reach a server.
        not_run,    ///< The server stated that it did not run.
        failed,     ///< May have run; the caller has nothing yet.
        interrupted ///< A stream broke off; the caller has a part.
    };

    std::optional<refusal_cause> read_call();
    /// Waits for the configuration where one is about to come.
    boost::asio::awaitable<void> wait_for_plan();
    bool is_learning() const;
    std::optional<refusal_cause> classify();
    boost::asio::awaitable<std::variant<chosen_server, refusal_cause>>
    find_server();
    boost::asio::awaitable<refusal_cause> serve();
    boost::asio::awaitable<try_result> try_server(const chosen_server& server);
    boost::asio::awaitable<try_result>
    pass_on(const chosen_server& server,
            std::unique_ptr<http::response_stream> answer);
    boost::asio::awaitable<try_result>
    pass_whole(std::unique_ptr<http::response_stream> answer);
    boost::asio::awaitable<try_result>
    pass_stream(std::unique_ptr<http::response_stream> answer);
    boost::asio::awaitable<void> refuse(refusal_cause cause);

    bool may_try_again(try_result last);
    request_end end_of(try_result result) const;
    duration time_left() const;
    /// Whether no further try could end in time.
    bool is_time_up() const;
    void end_try(const chosen_server& server, request_end how);
    void watch_caller();
    void log_end(std::string_view outcome);

    gateway_state& m_shared;
    http::exchange& m_caller;
    const time_point m_arrived;
    time_point m_deadline;
    call m_call;
    std::shared_ptr<const directory::route_table> m_plan;
    const directory::route* m_route = nullptr;
    const directory::tenant* m_tenant = nullptr;
    server_query m_query;
    unsigned m_rank = 0;

    http::send_canceller m_canceller;
    http::response_stream* m_open = nullptr;
    bool m_gone = false;

    /// Servers that the request reached or may have reached.
    unsigned m_reached = 0;
    unsigned m_unreached = 0;
    /// A server's own failure, passed on if no other try succeeds.
    std::optional<http::response> m_failure;
    /// Whether the last server was told where to copy the prompt from.
    bool m_is_copied = false;
    /// Whether the last stream ended as the server's machine fell silent.
    bool m_is_silent = false;
    bool m_stream_begun = false;
    std::uint64_t m_last_event = 0;
    unsigned m_status = 0;
    duration m_waited{};
    time_point m_first_at{};
    engine_id m_server;
    std::string m_last_failure;
};

} // namespace limpet::gateway

#include "request_handler.hpp"

#include <limpet/http/event_splitter.hpp>

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace limpet::gateway
{

namespace net = boost::asio;

namespace
{

/// Longest event that is forwarded. A longer one is treated as malformed.
constexpr std::size_t max_event_bytes = 1024UL * 1024;
constexpr std::string_view content_type = "Content-Type";
/// Lowest HTTP status that is no success.
constexpr unsigned first_redirection_status = 300;
/// Lowest HTTP status that counts as a failure of the server.
constexpr unsigned first_failure_status = 500;

/// Returns the Content-Type without its parameters.
std::string_view media_type_of(const http::response_head& head)
{
    const std::string_view text = head.headers.value_or_empty(content_type);
    const std::size_t end = std::min(text.find(';'), text.size());
    const std::size_t last = text.substr(0, end).find_last_not_of(" \t");
    return text.substr(0, last == std::string_view::npos ? 0 : last + 1);
}

} // namespace

bool is_acknowledgement_timeout(const error& reason)
{
    return reason.code == error_code::unavailable;
}

bool is_end_of_connection(const error& reason)
{
    return reason.code == error_code::io_error;
}

net::awaitable<request_handler::attempt_result>
request_handler::forward_response(const chosen_server& server,
                                  std::unique_ptr<http::response_stream> answer)
{
    const server_answer fields = m_state.codec.read_answer(answer->head());
    const time_point now = monotonic_clock::now();
    m_state.quarantine->on_answer(server.start_key);
    // Only refusals that a server sends before it has read the request have no
    // id. On a connection that was used before, such a refusal may be a late
    // copy of one to an earlier request.
    const bool is_own_answer = fields.id == m_call.id ||
                               (fields.has_not_run && fields.id.get().empty() &&
                                answer->is_first_on_connection());
    if (!is_own_answer)
    {
        m_last_failure =
            "response carries the id of another request: " + fields.id.get();
        // The request's own response is still due on the connection.
        answer->cancel();
        finish_attempt(server, attempt_outcome::broken);
        co_return m_stream_begun ? attempt_result::interrupted
                                 : attempt_result::failed;
    }
    if (fields.load)
    {
        m_reported_load = fields.load;
        m_state.metrics.record_load(m_query.service,
                                    server.assessment,
                                    fields.load->running +
                                        fields.load->waiting);
        m_state.pool.on_load(server.id, *fields.load, now);
    }
    record_requests_taken(fields);
    if (fields.has_not_run)
    {
        m_last_failure = "status " + std::to_string(answer->head().status);
        finish_attempt(server, attempt_outcome::refused);
        co_return m_stream_begun ? attempt_result::interrupted
                                 : attempt_result::not_run;
    }
    if (!fields.is_intact || !may_continue_stream(answer->head()))
    {
        m_last_failure = "response cannot be forwarded";
        finish_attempt(server, attempt_outcome::broken);
        co_return m_stream_begun ? attempt_result::interrupted
                                 : attempt_result::failed;
    }
    m_has_response_head = true;
    m_open_response = answer.get();
    m_delimiter = answer->delimiter();
    answer->set_read_timeout(time_left());
    const bool is_stream =
        directory::is_stream(m_route->kind) && answer->head().status == 200;
    const attempt_result result =
        is_stream ? co_await forward_stream(std::move(answer))
                  : co_await forward_buffered(std::move(answer));
    const attempt_outcome outcome = outcome_of(result);
    if (outcome == attempt_outcome::broken && m_is_cut_off)
    {
        record_cut_off();
    }
    finish_attempt(server, outcome);
    co_return result;
}

bool request_handler::may_continue_stream(const http::response_head& head) const
{
    return !m_stream_begun ||
           (head.status == 200 &&
            boost::beast::iequals(media_type_of(head), m_stream_type));
}

void request_handler::record_requests_taken(const server_answer& fields)
{
    server_pool& pool = m_state.pool;
    const time_point now = monotonic_clock::now();
    if (fields.is_other_server)
    {
        // What the other server says of itself does not concern this one.
        pool.on_refused(m_server, std::nullopt, now);
        return;
    }
    if (fields.id != m_call.id)
    {
        return;
    }
    for (const auto& each : fields.unreadable)
    {
        pool.on_unreadable(m_server, each.name, each.text);
    }
    pool.on_brittle(m_server, fields.brittle_refusals, now);
    if (fields.leaves)
    {
        pool.on_leaving(m_server, now);
    }
    if (fields.has_not_run || fields.turns_away)
    {
        pool.on_refused(m_server, fields.closed_for, now);
        if (fields.closed_for)
        {
            // Requests that wait for this server may be refused at once now.
            m_state.queue.wake_all();
        }
    }
    else if (pool.on_accepted(m_server, now))
    {
        m_state.queue.wake_all();
    }
    if (!fields.is_limit_unreadable &&
        (fields.request_limit || !fields.has_not_run))
    {
        pool.on_limit(m_server, fields.request_limit, m_sent_at, now);
    }
}

/// Returns how the server pool counts an attempt whose response had begun.
attempt_outcome request_handler::outcome_of(attempt_result result) const
{
    const bool has_ended = result == attempt_result::finished;
    if (m_caller_gone || m_lacks_memory || (!has_ended && is_deadline_near()))
    {
        return attempt_outcome::abandoned;
    }
    if (has_ended)
    {
        return m_status >= first_failure_status ? attempt_outcome::failed
                                                : attempt_outcome::answered;
    }
    if (m_server_failure)
    {
        return attempt_outcome::failed;
    }
    return m_acknowledgement_timed_out ? attempt_outcome::unreachable
                                       : attempt_outcome::broken;
}

net::awaitable<request_handler::attempt_result>
request_handler::forward_buffered(std::unique_ptr<http::response_stream> answer)
{
    http::response buffered;
    buffered.head = answer->head();
    auto body =
        std::make_unique<response_buffer>(m_state.response_buffers, m_server);
    for (;;)
    {
        auto part = co_await answer->read_some();
        if (!is_ok(part))
        {
            m_last_failure = error_of(part).message;
            m_is_cut_off = is_end_of_connection(error_of(part));
            co_return attempt_result::failed;
        }
        if (!value_of(part))
        {
            break;
        }
        const status taken = body->append(*value_of(part));
        if (!is_ok(taken))
        {
            m_lacks_memory = error_of(taken).code == error_code::overloaded;
            m_last_failure = error_of(taken).message;
            co_return attempt_result::failed;
        }
        answer->set_read_timeout(std::max(time_left(), duration::zero()));
    }
    m_open_response = nullptr;
    buffered.body = body->take();
    if (buffered.head.status >= first_failure_status &&
        directory::may_repeat(m_route->kind))
    {
        m_last_failure = "status " + std::to_string(buffered.head.status);
        m_server_failure = std::move(buffered);
        m_failure_buffer = std::move(body);
        co_return attempt_result::failed;
    }
    if (buffered.head.status < first_redirection_status)
    {
        record_sound();
    }
    m_status = buffered.head.status;
    m_first_byte_at = monotonic_clock::now();
    body->begin_writing(make_writing());
    co_await m_exchange.respond(std::move(buffered));
    co_return attempt_result::finished;
}

response_writing request_handler::make_writing()
{
    response_writing writing;
    writing.blocked_since = [this]
    {
        return m_exchange.blocked_since();
    };
    writing.end = [this]
    {
        m_last_failure = "the caller does not take the response";
        m_caller_gone = true;
        if (m_open_response != nullptr)
        {
            m_open_response->cancel();
        }
        if (m_sent_handover != nullptr)
        {
            m_sent_handover->cancel();
        }
        m_exchange.cut_off();
    };
    return writing;
}

net::awaitable<request_handler::attempt_result>
request_handler::forward_stream(std::unique_ptr<http::response_stream> answer)
{
    http::event_splitter events(m_last_event, max_event_bytes);
    buffer_claim kept(m_state.response_buffers, m_server);
    kept.begin_writing(make_writing());
    const bool is_rest = m_last_event > 0;
    bool has_events = false;
    if (!m_stream_begun)
    {
        // Before the first event: the caller may lose this router right after
        // it.
        record_origin();
    }
    for (;;)
    {
        auto part = co_await answer->read_some();
        if (!is_ok(part))
        {
            m_last_failure = error_of(part).message;
            m_acknowledgement_timed_out =
                is_acknowledgement_timeout(error_of(part));
            m_is_cut_off = is_end_of_connection(error_of(part));
            break;
        }
        if (!value_of(part))
        {
            // Unless the stream turns out to be whole.
            m_is_cut_off = true;
            if (!has_events && !events.has_repeated_last())
            {
                m_last_failure = "stream ended without an event";
                break;
            }
            if (events.is_inside_event())
            {
                m_last_failure = "stream ended inside an event";
                break;
            }
            m_open_response = nullptr;
            record_sound();
            co_await begin_stream(answer->head());
            co_await m_exchange.end_stream();
            co_return attempt_result::finished;
        }
        const auto batch = events.feed(*value_of(part));
        m_unfinished_bytes = events.unfinished_bytes();
        if (!is_ok(batch))
        {
            m_last_failure = error_of(batch).message;
            break;
        }
        // The string that holds unfinished events may be twice as large.
        const status claimed =
            kept.resize(2 * m_unfinished_bytes + value_of(batch).bytes.size());
        if (!is_ok(claimed))
        {
            m_lacks_memory = true;
            m_last_failure = error_of(claimed).message;
            break;
        }
        if (!value_of(batch).bytes.empty())
        {
            // Comments do not show that the server has the stream's rest.
            has_events |=
                !is_rest || value_of(batch).events > 0 || value_of(batch).done;
            record_event();
            m_state.quarantine->on_answer(m_server_start_key);
            co_await begin_stream(answer->head());
            m_has_unnumbered_events |= value_of(batch).has_unnumbered;
            co_await m_exchange.write(value_of(batch).bytes);
            m_last_event = std::max(m_last_event, value_of(batch).last_event);
        }
        answer->set_read_timeout(std::max(time_left(), duration::zero()));
    }
    co_return m_stream_begun ? attempt_result::interrupted
                             : attempt_result::failed;
}

net::awaitable<void>
request_handler::begin_stream(const http::response_head& head)
{
    if (m_stream_begun)
    {
        co_return;
    }
    m_stream_begun = true;
    m_query.version = m_server_version_key;
    m_status = head.status;
    m_stream_type = media_type_of(head);
    m_first_byte_at = monotonic_clock::now();
    co_await m_exchange.begin_stream(head);
}

} // namespace limpet::gateway

#include "request_run.hpp"

#include <limpet/http/event_splitter.hpp>

#include <algorithm>

namespace limpet::gateway
{

namespace net = boost::asio;

namespace
{

/// Longest event that is passed on; longer ones are taken for garbage.
constexpr std::size_t max_event_bytes = 1024UL * 1024;
/// Status from which on an answer tells of a failure of the server.
constexpr unsigned first_failure_status = 500;
/// Most bytes of an answer that is no stream.
constexpr std::size_t max_answer_bytes = 16UL * 1024 * 1024;

} // namespace

bool is_silent(const error& reason)
{
    return reason.code == error_code::unavailable;
}

net::awaitable<request_run::try_result>
request_run::pass_on(const chosen_server& server,
                     std::unique_ptr<http::response_stream> answer)
{
    const server_answer told = m_shared.language.read_answer(answer->head());
    const time_point now = monotonic_clock::now();
    if (told.load)
    {
        m_shared.pool.on_load(server.id, *told.load, now);
    }
    if (told.id != m_call.id && !told.has_not_run)
    {
        m_last_failure = "the answer belongs to request " + told.id.get();
        end_try(server, request_end::broken);
        co_return m_stream_begun ? try_result::interrupted : try_result::failed;
    }
    if (told.has_not_run)
    {
        m_last_failure = "status " + std::to_string(answer->head().status);
        end_try(server, request_end::refused);
        co_return m_stream_begun ? try_result::interrupted
                                 : try_result::not_run;
    }
    if (!told.is_intact || (m_stream_begun && answer->head().status != 200))
    {
        m_last_failure = "the answer cannot be passed on";
        end_try(server, request_end::broken);
        co_return m_stream_begun ? try_result::interrupted : try_result::failed;
    }
    m_open = answer.get();
    answer->set_read_timeout(time_left());
    const bool is_stream =
        directory::is_stream(m_route->kind) && answer->head().status == 200;
    const try_result result = is_stream
                                  ? co_await pass_stream(std::move(answer))
                                  : co_await pass_whole(std::move(answer));
    end_try(server, end_of(result));
    co_return result;
}

/// Returns what a try whose answer began tells of the server.
request_end request_run::end_of(try_result result) const
{
    const bool has_ended = result == try_result::finished;
    if (m_gone || (!has_ended && is_time_up()))
    {
        return request_end::abandoned;
    }
    if (has_ended)
    {
        return m_status >= first_failure_status ? request_end::failed
                                                : request_end::answered;
    }
    if (m_failure)
    {
        return request_end::failed;
    }
    return m_is_silent ? request_end::unreachable : request_end::broken;
}

net::awaitable<request_run::try_result>
request_run::pass_whole(std::unique_ptr<http::response_stream> answer)
{
    http::response whole;
    whole.head = answer->head();
    for (;;)
    {
        auto part = co_await answer->read_some();
        if (!is_ok(part))
        {
            m_last_failure = error_of(part).message;
            co_return try_result::failed;
        }
        if (!value_of(part))
        {
            break;
        }
        whole.body += *value_of(part);
        if (whole.body.size() > max_answer_bytes)
        {
            m_last_failure = "the answer is too large";
            co_return try_result::failed;
        }
        answer->set_read_timeout(std::max(time_left(), duration::zero()));
    }
    m_open = nullptr;
    if (whole.head.status >= first_failure_status &&
        directory::may_repeat(m_route->kind))
    {
        m_last_failure = "status " + std::to_string(whole.head.status);
        m_failure = std::move(whole);
        co_return try_result::failed;
    }
    m_status = whole.head.status;
    m_first_at = monotonic_clock::now();
    co_await m_caller.respond(std::move(whole));
    co_return try_result::finished;
}

net::awaitable<request_run::try_result>
request_run::pass_stream(std::unique_ptr<http::response_stream> answer)
{
    http::event_splitter events(m_last_event, max_event_bytes);
    for (;;)
    {
        auto part = co_await answer->read_some();
        if (!is_ok(part))
        {
            m_last_failure = error_of(part).message;
            m_is_silent = is_silent(error_of(part));
            break;
        }
        if (!value_of(part))
        {
            m_open = nullptr;
            co_await m_caller.end_stream();
            co_return try_result::finished;
        }
        const auto batch = events.feed(*value_of(part));
        if (!is_ok(batch))
        {
            m_last_failure = error_of(batch).message;
            break;
        }
        if (!m_stream_begun)
        {
            m_stream_begun = true;
            m_status = answer->head().status;
            m_first_at = monotonic_clock::now();
            co_await m_caller.begin_stream(answer->head());
        }
        co_await m_caller.write(value_of(batch).bytes);
        m_last_event = std::max(m_last_event, value_of(batch).last_event);
        answer->set_read_timeout(std::max(time_left(), duration::zero()));
    }
    co_return m_stream_begun ? try_result::interrupted : try_result::failed;
}

} // namespace limpet::gateway

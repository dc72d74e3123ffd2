#include "served_exchange.hpp"

#include "headers.hpp"

#include <limpet/base/log.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>

namespace limpet::pipeline
{

namespace net = boost::asio;

namespace
{

constexpr std::size_t max_event_bytes = 1024 * 1024;

/// Hop-by-hop header fields, which are not forwarded.
constexpr std::array<std::string_view, 5> hop_by_hop_fields = {
    headers::connection,
    headers::transfer_encoding,
    headers::content_length,
    headers::host,
    headers::authorization};

constexpr unsigned status_conflict = 409;
constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_gateway_timeout = 504;

/// Returns whether another engine may succeed after a response with this
/// status.
bool is_retryable_status(unsigned status)
{
    return status == status_too_many_requests ||
           (status >= status_bad_gateway && status <= status_gateway_timeout);
}

/// Clears a callback at the end of a scope. The callback holds a shared_ptr to
/// the exchange that stores it; without the reset, this reference cycle would
/// keep both alive forever.
class callback_reset
{
public:
    explicit callback_reset(std::function<void()>& callback)
        : m_callback(callback)
    {
    }

    ~callback_reset()
    {
        m_callback = nullptr;
    }

    callback_reset(const callback_reset&) = delete;
    callback_reset& operator=(const callback_reset&) = delete;

private:
    std::function<void()>& m_callback;
};

finish_message make_broken(error reason)
{
    finish_message message;
    message.result = finish_result::broken;
    message.reason = std::move(reason);
    return message;
}

finish_message make_complete()
{
    finish_message message;
    message.result = finish_result::complete;
    return message;
}

} // namespace

request_id make_exchange_key(const wire::link_identity& entry, exchange_id id)
{
    return request_id(entry.vm.get() + "/" + std::to_string(entry.start.get()) +
                      "/" + std::to_string(id.get()));
}

served_exchange::served_exchange(net::io_context& context,
                                 std::shared_ptr<wire::link_hub> hub,
                                 std::shared_ptr<http::client> client,
                                 wire::link_identity entry,
                                 exchange_id id,
                                 open_message open)
    : m_strand(net::make_strand(context)),
      m_hub(std::move(hub)),
      m_client(std::move(client)),
      m_entry(std::move(entry)),
      m_id(id),
      m_open(std::move(open)),
      m_key(make_exchange_key(m_entry, m_id)),
      m_credit_signal(m_strand),
      m_credit(initial_credit_bytes)
{
}

net::awaitable<served_result>
served_exchange::run(dispatch_target target,
                     std::function<void()> on_first_token)
{
    m_on_first_token = std::move(on_first_token);
    const callback_reset reset(m_on_first_token);
    if (m_cancelled)
    {
        finish_not_run({error_code::cancelled,
                        "request cancelled by its entry router or after the "
                        "link to it was lost"},
                       {},
                       {});
        co_return served_result{0, false};
    }
    // Workaround for GCC 12: a temporary of class type must not live across the
    // suspension.
    http::request request = make_request(target);
    auto sent = co_await m_client->send(
        target.address, std::move(request), m_open.deadline, &m_canceller);
    if (const auto* failure = std::get_if<http::request_failure>(&sent))
    {
        if (!failure->may_have_reached_server)
        {
            finish_not_run(failure->reason, {}, {});
            co_return served_result{0, true};
        }
        send_finish(make_broken(failure->reason));
        co_return served_result{0, true};
    }
    m_answer =
        std::move(std::get<std::unique_ptr<http::response_stream>>(sent));
    status checked = check_id(target, m_answer->head());
    if (!is_ok(checked))
    {
        send_finish(make_broken(error_of(checked)));
        // The request's own answer is still due on the connection.
        m_answer->cancel();
        m_answer.reset();
        co_return served_result{0, true};
    }
    if (target.checks_fencing && m_answer->head().status == status_conflict)
    {
        finish_not_run({error_code::not_owner,
                        "engine rejected an outdated fencing number"},
                       {},
                       {});
        m_answer.reset();
        co_return served_result{0, false};
    }
    checked = check_status(m_answer->head().status);
    if (!is_ok(checked))
    {
        send_finish(make_broken(error_of(checked)));
        m_answer.reset();
        co_return served_result{0, true};
    }
    finish_message last = co_await relay_answer();
    const bool failed = last.result != finish_result::complete && !m_cancelled;
    send_finish(std::move(last));
    m_answer.reset();
    co_return served_result{m_events, failed};
}

void served_exchange::post_credit(std::uint32_t bytes)
{
    net::post(m_strand,
              [self = shared_from_this(), bytes]
              {
                  self->m_credit += bytes;
                  self->m_credit_signal.cancel();
              });
}

void served_exchange::post_cancel()
{
    net::post(m_strand,
              [self = shared_from_this()]
              {
                  self->m_cancelled = true;
                  self->m_credit_signal.cancel();
                  if (self->m_answer)
                  {
                      self->m_answer->cancel();
                  }
              });
}

void served_exchange::finish_not_run(error reason,
                                     duration retry_after,
                                     std::vector<prefix_holder> holders)
{
    finish_message message;
    message.result = finish_result::not_run;
    message.reason = std::move(reason);
    message.retry_after = retry_after;
    message.holders = std::move(holders);
    send_finish(std::move(message));
}

http::request served_exchange::make_request(const dispatch_target& target) const
{
    http::request request = m_open.call;
    for (const std::string_view name : hop_by_hop_fields)
    {
        request.headers.erase(name);
    }
    request.headers.set(headers::request, m_open.request.get());
    // Chat ids are chosen by teams and can collide, so the team is part of the
    // name.
    request.headers.set(headers::chat,
                        m_open.team.get() + "/" + m_open.chat.get());
    request.headers.set(headers::priority, std::to_string(m_open.priority));
    request.headers.set(headers::fencing, std::to_string(target.fencing.get()));
    if (m_open.resume_after > 0)
    {
        request.headers.set(headers::last_event_id,
                            std::to_string(m_open.resume_after));
    }
    return request;
}

status served_exchange::check_id(const dispatch_target& target,
                                 const http::response_head& head) const
{
    const auto echoed = head.headers.find(headers::request);
    const bool mismatched = echoed && *echoed != m_open.request.get();
    const bool missing = !echoed && target.must_echo_request;
    if (mismatched || missing)
    {
        log_event(log_level::warn,
                  "answer.dropped",
                  {{"engine", m_open.engine.get()},
                   {"request", m_open.request.get()},
                   {"answered", echoed.value_or("")}});
        return error{
            error_code::malformed,
            "engine's response has no request id or that of another request"};
    }
    return success();
}

status served_exchange::check_status(unsigned code) const
{
    if (m_open.repeatable && is_retryable_status(code))
    {
        return error{error_code::unavailable,
                     "engine responded with status " + std::to_string(code)};
    }
    return success();
}

net::awaitable<finish_message> served_exchange::relay_answer()
{
    head_message head;
    head.sequence = m_sequence++;
    head.head = m_answer->head();
    for (const std::string_view name : hop_by_hop_fields)
    {
        head.head.headers.erase(name);
    }
    send(std::move(head));
    if (is_event_stream(m_answer->head()))
    {
        co_return co_await relay_events();
    }
    co_return co_await relay_bytes();
}

net::awaitable<finish_message> served_exchange::relay_events()
{
    http::event_splitter splitter(m_open.resume_after, max_event_bytes);
    for (;;)
    {
        auto read = co_await m_answer->read_some();
        if (!is_ok(read))
        {
            co_return make_broken(error_of(read));
        }
        std::optional<std::string>& bytes = value_of(read);
        if (!bytes)
        {
            break;
        }
        auto parsed = splitter.feed(*bytes);
        if (!is_ok(parsed))
        {
            co_return make_broken(error_of(parsed));
        }
        http::event_batch& batch = value_of(parsed);
        if (batch.bytes.empty())
        {
            continue;
        }
        m_events += batch.events;
        part_message part;
        part.last_event = batch.last_event;
        part.bytes = std::move(batch.bytes);
        const status sent = co_await send_part(std::move(part));
        if (!is_ok(sent))
        {
            co_return make_broken(error_of(sent));
        }
    }
    if (!splitter.done())
    {
        co_return make_broken(
            {error_code::io_error,
             "engine's event stream ended before its final event"});
    }
    co_return make_complete();
}

net::awaitable<finish_message> served_exchange::relay_bytes()
{
    for (;;)
    {
        auto read = co_await m_answer->read_some();
        if (!is_ok(read))
        {
            co_return make_broken(error_of(read));
        }
        std::optional<std::string>& bytes = value_of(read);
        if (!bytes)
        {
            co_return make_complete();
        }
        part_message part;
        part.bytes = std::move(*bytes);
        const status sent = co_await send_part(std::move(part));
        if (!is_ok(sent))
        {
            co_return make_broken(error_of(sent));
        }
    }
}

net::awaitable<status> served_exchange::send_part(part_message part)
{
    notify_first_token();
    while (m_credit <= 0 && !m_cancelled)
    {
        m_credit_signal.expires_at(net::steady_timer::time_point::max());
        boost::system::error_code ignored;
        co_await m_credit_signal.async_wait(
            net::redirect_error(net::use_awaitable, ignored));
    }
    if (m_cancelled)
    {
        co_return error{error_code::cancelled,
                        "request cancelled by its entry router or after the "
                        "link to it was lost"};
    }
    m_credit -= static_cast<std::int64_t>(part.bytes.size());
    part.sequence = m_sequence++;
    send(std::move(part));
    co_return success();
}

void served_exchange::notify_first_token()
{
    if (m_on_first_token)
    {
        m_on_first_token();
        m_on_first_token = nullptr;
    }
}

void served_exchange::send(exchange_content content)
{
    // No error handling: the entry router detects the gap in the sequence if a
    // frame cannot be sent.
    m_hub->send(m_entry.vm,
                wire::channel::exchange,
                encode({m_id, std::move(content)}));
}

void served_exchange::send_finish(finish_message message)
{
    message.sequence = m_sequence++;
    send(std::move(message));
}

} // namespace limpet::pipeline

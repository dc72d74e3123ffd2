#include "attempt.hpp"

#include "headers.hpp"
#include "served_exchange.hpp"

#include <algorithm>

namespace limpet::pipeline
{

namespace net = boost::asio;

namespace
{

/// Time without a message after which the owner is queried for the exchange's
/// state.
constexpr duration query_delay = seconds(2);
/// Maximum time for the owner to reply to a query or a cancellation.
constexpr duration reply_timeout = seconds(2);
/// Number of bytes written to the caller after which the entry router grants
/// the owner the same number of credit bytes.
constexpr std::uint32_t credit_step_bytes = 64 * 1024;

} // namespace

exchange_id attempt_registry::add(const vm_id& owner,
                                  std::shared_ptr<attempt_mailbox> events)
{
    const exchange_id id(m_next++);
    shard& part = shard_of(id);
    const std::lock_guard lock(part.mutex);
    part.exchanges.emplace(id, entry{owner, std::move(events)});
    return id;
}

void attempt_registry::remove(exchange_id id)
{
    shard& part = shard_of(id);
    const std::lock_guard lock(part.mutex);
    part.exchanges.erase(id);
}

void attempt_registry::deliver(const wire::link_identity& from,
                               exchange_id id,
                               exchange_content content)
{
    shard& part = shard_of(id);
    const std::lock_guard lock(part.mutex);
    const auto found = part.exchanges.find(id);
    if (found == part.exchanges.end() || found->second.owner != from.vm)
    {
        return;
    }
    found->second.events->push(owner_message{from.start, std::move(content)});
}

void attempt_registry::on_peer_lost(const vm_id& owner)
{
    for (shard& part : m_shards)
    {
        const std::lock_guard lock(part.mutex);
        for (const auto& [id, item] : part.exchanges)
        {
            if (item.owner == owner)
            {
                item.events->push(owner_lost{});
            }
        }
    }
}

std::size_t attempt_registry::size() const
{
    std::size_t total = 0;
    for (const shard& part : m_shards)
    {
        const std::lock_guard lock(part.mutex);
        total += part.exchanges.size();
    }
    return total;
}

attempt_registry::shard& attempt_registry::shard_of(exchange_id id)
{
    return m_shards[id.get() % shard_count];
}

attempt::attempt(request_context& context,
                 answer_writer& writer,
                 attempt_registry& registry,
                 wire::link_hub& hub,
                 attempt_target target,
                 std::shared_ptr<attempt_mailbox> events)
    : m_context(context),
      m_writer(writer),
      m_registry(registry),
      m_hub(hub),
      m_target(std::move(target)),
      m_events(std::move(events)),
      m_id(m_registry.add(m_target.owner, m_events))
{
}

attempt::~attempt()
{
    m_registry.remove(m_id);
}

net::awaitable<attempt_result> attempt::run()
{
    const status sent = send(make_open(monotonic_clock::now()));
    if (!is_ok(sent))
    {
        co_return attempt_result{
            finish_result::not_run, error_of(sent), {}, {}, false};
    }
    while (!m_result)
    {
        const time_point now = monotonic_clock::now();
        const bool awaiting_reply = m_queried || m_cancelled;
        const time_point wait_limit =
            now + (awaiting_reply ? reply_timeout : query_delay);
        const time_point until =
            m_cancelled ? wait_limit : std::min(wait_limit, m_context.deadline);
        std::optional<attempt_event> event = co_await m_events->pop(until);
        if (!event)
        {
            handle_timeout(monotonic_clock::now());
        }
        else if (auto* message = std::get_if<owner_message>(&*event))
        {
            co_await handle_message(std::move(*message));
        }
        else if (std::holds_alternative<caller_disconnected>(*event))
        {
            handle_caller_lost({error_code::cancelled, "caller disconnected"});
        }
        else if (!m_queried)
        {
            m_queried = is_ok(send(query_message{m_target.owner_start}));
        }
    }
    co_return std::move(*m_result);
}

open_message attempt::make_open(time_point now) const
{
    open_message open;
    open.request = m_context.id;
    open.engine = m_target.engine;
    open.partner = m_context.partner;
    open.team = m_context.team;
    open.chat = m_context.chat;
    open.model = m_context.model;
    open.priority = m_context.priority;
    open.cost_tokens = m_context.prompt_tokens;
    open.repeatable = m_context.repeatable;
    const auto* chat = std::get_if<chat_call>(&m_context.call);
    open.stream = chat != nullptr && chat->stream;
    open.is_first = m_target.is_first;
    open.may_go_elsewhere = m_target.may_go_elsewhere;
    open.deadline = m_context.deadline - now;
    // The time spent waiting in earlier rounds is deducted.
    open.queue_time = std::max(m_context.queue_until - now, duration::zero());
    open.longest_wait = m_target.longest_wait;
    open.resume_after = m_writer.last_event();
    open.call = m_context.forwarded;
    return open;
}

status attempt::send(exchange_content content)
{
    return m_hub.send(m_target.owner,
                      wire::channel::exchange,
                      encode({m_id, std::move(content)}));
}

net::awaitable<void> attempt::handle_message(owner_message message)
{
    m_queried = false;
    if (message.from != m_target.owner_start)
    {
        // A new process of the VM has no record of this exchange.
        fail(finish_result::broken,
             {error_code::unavailable,
              "engine's owner restarted while the request was in progress"});
        co_return;
    }
    if (const auto* head = std::get_if<head_message>(&message.content))
    {
        co_await handle_head(*head);
    }
    else if (const auto* part = std::get_if<part_message>(&message.content))
    {
        co_await handle_part(*part);
    }
    else if (const auto* finish = std::get_if<finish_message>(&message.content))
    {
        handle_finish(*finish);
    }
    else
    {
        handle_state(message);
    }
}

net::awaitable<void> attempt::handle_head(const head_message& message)
{
    if (!check_sequence(message.sequence))
    {
        co_return;
    }
    if (m_writer.started() && !is_event_stream(message.head))
    {
        send(cancel_message{});
        fail(finish_result::broken,
             {error_code::unavailable,
              "another engine answered the rest of the stream with status " +
                  std::to_string(message.head.status)});
        co_return;
    }
    const status written = co_await m_writer.head(message.head);
    if (!is_ok(written))
    {
        handle_caller_lost(error_of(written));
    }
}

net::awaitable<void> attempt::handle_part(const part_message& message)
{
    if (!check_sequence(message.sequence))
    {
        co_return;
    }
    if (!m_context.first_token)
    {
        m_context.first_token = monotonic_clock::now() - m_context.received_at;
    }
    const status written = co_await m_writer.part(message);
    if (!is_ok(written))
    {
        handle_caller_lost(error_of(written));
    }
    m_uncredited += static_cast<std::uint32_t>(message.bytes.size());
    if (m_uncredited >= credit_step_bytes)
    {
        send(credit_message{m_uncredited});
        m_uncredited = 0;
    }
}

void attempt::handle_finish(const finish_message& message)
{
    const bool in_sequence = message.sequence == m_next_sequence;
    if (message.result == finish_result::complete && !in_sequence)
    {
        fail(
            finish_result::broken,
            {error_code::io_error,
             "a part of the response was lost between owner and entry router"});
        return;
    }
    const bool timed_out =
        m_cancelled && message.result == finish_result::not_run;
    fail(message.result,
         timed_out ? error{error_code::timeout,
                           "deadline exceeded before the request started"}
                   : message.reason);
    m_result->retry_after = message.retry_after;
    m_result->holders = message.holders;
}

void attempt::handle_state(const owner_message& message)
{
    const auto* state = std::get_if<state_message>(&message.content);
    if (state == nullptr)
    {
        return;
    }
    if (state->value == exchange_state::refused)
    {
        fail(finish_result::not_run,
             {error_code::unavailable,
              "engine's owner did not receive the request"});
        return;
    }
    if (state->value != exchange_state::running)
    {
        fail(finish_result::broken,
             {error_code::io_error,
              "the end of the response was lost, or its owner cannot determine "
              "its state"});
    }
}

void attempt::handle_timeout(time_point now)
{
    if (m_cancelled)
    {
        fail(finish_result::broken,
             {error_code::timeout,
              "engine's owner did not reply to the cancellation"});
        return;
    }
    if (now >= m_context.deadline)
    {
        send(cancel_message{});
        m_cancelled = true;
        return;
    }
    if (m_queried)
    {
        fail(finish_result::broken,
             {error_code::unavailable,
              "engine's owner did not reply to a state query"});
        return;
    }
    // If the query cannot be sent, the attempt fails after the same timeout as
    // for an unanswered query.
    send(query_message{m_target.owner_start});
    m_queried = true;
}

bool attempt::check_sequence(std::uint32_t sequence)
{
    if (sequence != m_next_sequence)
    {
        send(cancel_message{});
        fail(
            finish_result::broken,
            {error_code::io_error,
             "a part of the response was lost between owner and entry router"});
        return false;
    }
    ++m_next_sequence;
    return true;
}

void attempt::fail(finish_result result, error reason)
{
    if (!m_result)
    {
        m_result.emplace();
        m_result->result = result;
        m_result->reason = std::move(reason);
    }
}

void attempt::handle_caller_lost(error reason)
{
    if (!m_context.repeatable)
    {
        // A request that is not repeatable may have side effects, so it runs to
        // its end and its outcome is recorded.
        m_writer.detach();
        return;
    }
    send(cancel_message{});
    fail(finish_result::broken, std::move(reason));
    m_result->caller_lost = true;
}

} // namespace limpet::pipeline

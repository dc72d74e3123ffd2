#include "attempt.hpp"

#include "served_exchange.hpp"

#include <algorithm>

namespace limpet::pipeline
{

namespace net = boost::asio;

namespace
{

/// Time without a message after which the owner is asked for the state.
constexpr duration query_after = seconds(2);
/// Time that the owner has to answer a query or a cancellation.
constexpr duration answer_time = seconds(2);
/// Bytes taken by the caller after which the owner may send as many more.
constexpr std::uint32_t credit_step_bytes = 64 * 1024;

} // namespace

exchange_id attempt_registry::add(const vm_id& owner,
                                  std::shared_ptr<attempt_mailbox> box)
{
    const exchange_id id(m_next++);
    shard& part = shard_of(id);
    const std::lock_guard lock(part.mutex);
    part.exchanges.emplace(id, entry{owner, std::move(box)});
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
    found->second.box->push(owner_message{from.start, std::move(content)});
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
                item.box->push(owner_lost{});
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
                 std::shared_ptr<attempt_mailbox> box)
    : m_context(context),
      m_writer(writer),
      m_registry(registry),
      m_hub(hub),
      m_target(std::move(target)),
      m_box(std::move(box)),
      m_id(m_registry.add(m_target.owner, m_box))
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
        const bool waiting = m_queried || m_cancelled;
        const time_point patience = now + (waiting ? answer_time : query_after);
        const time_point until =
            m_cancelled ? patience : std::min(patience, m_context.deadline);
        std::optional<attempt_event> event = co_await m_box->pop(until);
        if (!event)
        {
            take_silence(monotonic_clock::now());
        }
        else if (auto* message = std::get_if<owner_message>(&*event))
        {
            co_await take(std::move(*message));
        }
        else if (std::holds_alternative<caller_gone>(*event))
        {
            lose_caller({error_code::cancelled, "caller went away"});
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
    // What earlier rounds have waited counts.
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

net::awaitable<void> attempt::take(owner_message message)
{
    m_queried = false;
    if (message.from != m_target.owner_start)
    {
        // Another process of the VM knows nothing of this exchange.
        fail(finish_result::broken,
             {error_code::unavailable, "owner restarted"});
        co_return;
    }
    if (const auto* head = std::get_if<head_message>(&message.content))
    {
        co_await take_head(*head);
    }
    else if (const auto* part = std::get_if<part_message>(&message.content))
    {
        co_await take_part(*part);
    }
    else if (const auto* finish = std::get_if<finish_message>(&message.content))
    {
        take_finish(*finish);
    }
    else
    {
        take_state(message);
    }
}

net::awaitable<void> attempt::take_head(const head_message& message)
{
    if (!in_sequence(message.sequence))
    {
        co_return;
    }
    const status written = co_await m_writer.head(message.head);
    if (!is_ok(written))
    {
        lose_caller(error_of(written));
    }
}

net::awaitable<void> attempt::take_part(const part_message& message)
{
    if (!in_sequence(message.sequence))
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
        lose_caller(error_of(written));
    }
    m_uncredited += static_cast<std::uint32_t>(message.bytes.size());
    if (m_uncredited >= credit_step_bytes)
    {
        send(credit_message{m_uncredited});
        m_uncredited = 0;
    }
}

void attempt::take_finish(const finish_message& message)
{
    const bool whole = message.sequence == m_next_sequence;
    if (message.result == finish_result::complete && !whole)
    {
        fail(finish_result::broken,
             {error_code::io_error, "a part of the answer was lost"});
        return;
    }
    const bool timed_out =
        m_cancelled && message.result == finish_result::not_run;
    fail(message.result,
         timed_out ? error{error_code::timeout, "the deadline has passed"}
                   : message.reason);
    m_result->retry_after = message.retry_after;
    m_result->holders = message.holders;
}

void attempt::take_state(const owner_message& message)
{
    const auto* state = std::get_if<state_message>(&message.content);
    if (state == nullptr)
    {
        return;
    }
    if (state->value == exchange_state::refused)
    {
        fail(finish_result::not_run,
             {error_code::unavailable, "owner never saw the request"});
        return;
    }
    if (state->value != exchange_state::running)
    {
        fail(finish_result::broken,
             {error_code::io_error, "the end of the answer was lost"});
    }
}

void attempt::take_silence(time_point now)
{
    if (m_cancelled)
    {
        fail(finish_result::broken,
             {error_code::timeout, "owner did not answer"});
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
             {error_code::unavailable, "owner cannot be reached"});
        return;
    }
    // An unsent query counts as unanswered after the same time.
    send(query_message{m_target.owner_start});
    m_queried = true;
}

bool attempt::in_sequence(std::uint32_t sequence)
{
    if (sequence != m_next_sequence)
    {
        send(cancel_message{});
        fail(finish_result::broken,
             {error_code::io_error, "a part of the answer was lost"});
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

void attempt::lose_caller(error reason)
{
    if (!m_context.repeatable)
    {
        // The request may have an effect, so it runs to its end and its
        // outcome is recorded.
        m_writer.detach();
        return;
    }
    send(cancel_message{});
    fail(finish_result::broken, std::move(reason));
    m_result->caller_lost = true;
}

} // namespace limpet::pipeline

#include "engine.hpp"

#include "answers.hpp"

#include <limpet/base/settings_reader.hpp>

#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace limpet::standin
{

namespace
{

constexpr std::string_view chat_target = "/v1/chat/completions";
constexpr std::string_view requests_prefix = "/v1/requests/";
constexpr std::string_view cancel_suffix = "/cancel";

const error stale_fencing{
    error_code::conflict,
    "the fencing number is lower than the highest one received"};

/// Returns the id within "/v1/requests/ID/cancel", or nothing.
std::optional<std::string_view> cancelled_id(std::string_view target)
{
    if (!target.starts_with(requests_prefix) ||
        !target.ends_with(cancel_suffix))
    {
        return std::nullopt;
    }
    target.remove_prefix(requests_prefix.size());
    target.remove_suffix(std::min(cancel_suffix.size(), target.size()));
    return target;
}

/// Returns the number of events after which the fault ends the stream, or
/// nothing if the fault does not end it.
std::optional<std::uint64_t> event_limit(const std::optional<fault>& failure)
{
    if (!failure)
    {
        return std::nullopt;
    }
    if (const auto* disconnect = std::get_if<disconnect_fault>(&*failure))
    {
        return disconnect->after_events;
    }
    if (const auto* truncate = std::get_if<truncate_fault>(&*failure))
    {
        return truncate->after_events;
    }
    return std::nullopt;
}

template <class Fault>
const Fault* fault_if(const std::optional<fault>& failure)
{
    return failure ? std::get_if<Fault>(&*failure) : nullptr;
}

/// Body of a request to export or import the prefix cache of one chat.
struct cache_transfer
{
    chat_id chat;
    std::uint64_t fencing = 0;
    token_count tokens;
};

outcome<cache_transfer> parse_cache_transfer(std::string_view text)
{
    const auto document = parse_json(text);
    if (!is_ok(document))
    {
        return error_of(document);
    }
    settings_reader reader(value_of(document), "order");
    cache_transfer transfer;
    transfer.chat = chat_id(reader.text("chat"));
    transfer.fencing = reader.number_or("fencing", 0, 0, UINT64_MAX);
    transfer.tokens = token_count(reader.number_or("tokens", 0, 0, UINT32_MAX));
    const status result = reader.finish();
    return is_ok(result) ? outcome<cache_transfer>(std::move(transfer))
                         : error_of(result);
}

} // namespace

engine::engine(const engine_settings& settings, bool checks_fencing)
    : m_settings(settings),
      m_checks_fencing(checks_fencing),
      m_load(settings.slots, settings.start),
      m_cache(settings.cache_limit)
{
}

load_sample engine::load() const
{
    const std::lock_guard lock(m_mutex);
    const std::uint32_t running =
        std::min(m_load.in_flight(), m_settings.slots);
    return {running, m_load.in_flight() - running, m_cache.total()};
}

cache_changes engine::take_cache_changes()
{
    const std::lock_guard lock(m_mutex);
    return m_cache.take_changes();
}

void engine::reset_to_cold()
{
    const std::lock_guard lock(m_mutex);
    m_load.reset_to_cold();
    m_cache.clear();
}

boost::asio::awaitable<void> engine::serve(http::exchange& call)
{
    const http::request& message = call.received();
    const bool posted = message.method == "POST";
    const auto cancelled = cancelled_id(message.target);
    if (posted && message.target == chat_target)
    {
        co_await complete_chat(call);
        co_return;
    }
    http::response answer =
        error_answer(404, {error_code::not_found, "there is no such resource"});
    if (posted && cancelled)
    {
        answer = cancel(*cancelled);
    }
    else if (posted && message.target == "/v1/cache/export")
    {
        answer = transfer_cache(message, false);
    }
    else if (posted && message.target == "/v1/cache/import")
    {
        answer = transfer_cache(message, true);
    }
    co_await call.respond(std::move(answer));
}

boost::asio::awaitable<void> engine::complete_chat(http::exchange& call)
{
    const http::request& message = call.received();
    auto parsed = parse_chat_request(message.body);
    std::optional<http::response> refusal;
    if (!is_ok(parsed))
    {
        refusal = error_answer(400, error_of(parsed));
    }
    else if (std::find(m_settings.models.begin(),
                       m_settings.models.end(),
                       value_of(parsed).model) == m_settings.models.end())
    {
        refusal = error_answer(
            404,
            {error_code::not_found, "the model is not served by this engine"});
    }
    else if (!accept_fencing(number_field(message, fields::fencing)))
    {
        refusal = error_answer(409, stale_fencing);
    }
    if (refusal)
    {
        refusal->head.headers.set(
            fields::request, message.headers.value_or_empty(fields::request));
        co_await call.respond(std::move(*refusal));
        co_return;
    }
    active_request active =
        make_active_request(message, std::move(value_of(parsed)));
    active.failure = faults().take();
    if (const auto* refuse = fault_if<error_status_fault>(active.failure))
    {
        http::response answer = error_answer(
            refuse->status,
            {error_code::unavailable, "refused by an injected fault"});
        answer.head.headers.set(fields::request, active.names.request.get());
        co_await call.respond(std::move(answer));
        co_return;
    }
    const auto executor = co_await boost::asio::this_coro::executor;
    active.control = std::make_shared<run_control>(executor);
    if (!begin(active))
    {
        call.cut_off();
        co_return;
    }
    call.on_caller_gone(
        [control = active.control]
        {
            control->stop(run_outcome::cut_off);
        });
    const run_outcome outcome = co_await answer(call, active);
    call.on_caller_gone(nullptr);
    end(active, outcome);
    if (outcome != run_outcome::complete)
    {
        call.cut_off();
    }
}

engine::active_request engine::make_active_request(const http::request& message,
                                                   chat_request_body call) const
{
    active_request active;
    active.names = {request_id(std::string(
                        message.headers.value_or_empty(fields::request))),
                    call.model};
    active.chat =
        chat_id(std::string(message.headers.value_or_empty(fields::chat)));
    active.length =
        call.max_tokens > 0 ? call.max_tokens : m_settings.answer_tokens;
    active.resume_after = number_field(message, fields::last_event_id);
    active.fencing = number_field(message, fields::fencing);
    active.key = idempotency_key(
        std::string(message.headers.value_or_empty(fields::idempotency_key)));
    active.call = std::move(call);
    return active;
}

boost::asio::awaitable<run_outcome> engine::answer(http::exchange& call,
                                                   active_request& active)
{
    if (fault_if<hang_fault>(active.failure) != nullptr)
    {
        co_await active.control->wait_for_stop();
        co_return run_outcome::cut_off;
    }
    duration delay = m_settings.prefill_token_delay *
                     (active.usage.prompt.get() - active.usage.cached.get());
    if (const auto* delayed = fault_if<delay_fault>(active.failure))
    {
        delay += delayed->delay;
    }
    const bool going = co_await active.control->wait(delay);
    if (!going)
    {
        co_return active.control->stop_outcome();
    }
    run_outcome outcome = run_outcome::cut_off;
    if (active.call.stream)
    {
        outcome = co_await answer_stream(call, active);
    }
    else
    {
        outcome = co_await answer_complete(call, active);
    }
    co_return outcome;
}

boost::asio::awaitable<run_outcome>
engine::answer_stream(http::exchange& call, active_request& active)
{
    const auto* wrong_id = fault_if<wrong_request_id_fault>(active.failure);
    http::response_head head;
    head.headers.set(fields::content_type, "text/event-stream");
    head.headers.set(fields::request,
                     wrong_id != nullptr ? wrong_id->request
                                         : active.names.request.get());
    status sent = co_await call.begin_stream(std::move(head));
    const auto limit = event_limit(active.failure);
    std::uint64_t number = active.resume_after;
    while (is_ok(sent) && number < active.length && active.events != limit)
    {
        const bool going = co_await active.control->wait(token_time());
        if (!going || has_crashed(active))
        {
            co_return going ? run_outcome::cut_off
                            : active.control->stop_outcome();
        }
        ++number;
        const bool last = number == active.length;
        const std::string event =
            token_event(active.names,
                        number,
                        token_text(active.call.messages_hash, number),
                        last ? &active.usage : nullptr);
        sent = co_await call.write(event);
        ++active.events;
    }
    if (limit)
    {
        if (fault_if<truncate_fault>(active.failure) != nullptr)
        {
            co_await call.end_stream();
        }
        co_return run_outcome::cut_off;
    }
    if (is_ok(sent))
    {
        sent = co_await call.write(closing_event);
    }
    if (is_ok(sent))
    {
        sent = co_await call.end_stream();
    }
    co_return is_ok(sent) ? run_outcome::complete : run_outcome::cut_off;
}

boost::asio::awaitable<run_outcome>
engine::answer_complete(http::exchange& call, active_request& active)
{
    std::string text;
    for (std::uint64_t number = 1; number <= active.length; ++number)
    {
        const bool going = co_await active.control->wait(token_time());
        if (!going || has_crashed(active))
        {
            co_return going ? run_outcome::cut_off
                            : active.control->stop_outcome();
        }
        text += token_text(active.call.messages_hash, number);
    }
    if (event_limit(active.failure))
    {
        co_return run_outcome::cut_off;
    }
    const auto* wrong_id = fault_if<wrong_request_id_fault>(active.failure);
    http::response answer =
        json_answer(200, complete_answer(active.names, text, active.usage));
    answer.head.headers.set(fields::request,
                            wrong_id != nullptr ? wrong_id->request
                                                : active.names.request.get());
    const status sent = co_await call.respond(std::move(answer));
    co_return is_ok(sent) ? run_outcome::complete : run_outcome::cut_off;
}

http::response engine::cancel(std::string_view id)
{
    const std::lock_guard lock(m_mutex);
    const auto [first, last] =
        m_active_requests.equal_range(request_id(std::string(id)));
    if (first == last)
    {
        return error_answer(
            404, {error_code::not_found, "no such request is in progress"});
    }
    for (auto entry = first; entry != last; ++entry)
    {
        entry->second->post_stop(run_outcome::cancelled);
    }
    return json_answer(200, "{}");
}

http::response engine::transfer_cache(const http::request& call, bool import)
{
    const auto parsed = parse_cache_transfer(call.body);
    if (!is_ok(parsed))
    {
        return error_answer(400, error_of(parsed));
    }
    const cache_transfer& transfer = value_of(parsed);
    if (!accept_fencing(transfer.fencing))
    {
        return error_answer(409, stale_fencing);
    }
    const std::lock_guard lock(m_mutex);
    if (import)
    {
        m_cache.store(transfer.chat, transfer.tokens);
    }
    const boost::json::object body{
        {"chat", transfer.chat.get()},
        {"tokens", m_cache.tokens_of(transfer.chat).get()}};
    return json_answer(200, boost::json::serialize(body));
}

bool engine::accept_fencing(std::uint64_t number)
{
    const std::lock_guard lock(m_mutex);
    if (m_checks_fencing && number < m_highest_fencing)
    {
        return false;
    }
    m_highest_fencing = std::max(m_highest_fencing, number);
    return true;
}

bool engine::begin(active_request& active)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_load.begin(monotonic_clock::now()))
        {
            m_cache.clear();
            return false;
        }
        active.crash_count = m_load.crash_count();
        active.usage = {
            active.call.prompt,
            m_cache.cached_prompt_tokens(active.chat, active.call.prompt),
            active.length};
        m_active_requests.emplace(active.names.request, active.control);
    }
    run_entry entry;
    entry.request = active.names.request;
    entry.chat = active.chat;
    entry.method = "POST";
    entry.target = std::string(chat_target);
    entry.fencing = active.fencing;
    entry.key = active.key;
    entry.resume_after = active.resume_after;
    entry.cached_tokens = active.usage.cached.get();
    active.sequence = record().begin(std::move(entry));
    return true;
}

void engine::end(const active_request& active, run_outcome outcome)
{
    record().end(active.sequence, outcome, active.events);
    const std::lock_guard lock(m_mutex);
    const bool complete = outcome == run_outcome::complete;
    m_load.end(complete);
    if (complete)
    {
        m_cache.store(
            active.chat,
            token_count(active.usage.prompt.get() + active.usage.completion));
    }
    const auto [first, last] =
        m_active_requests.equal_range(active.names.request);
    const auto found = std::find_if(first,
                                    last,
                                    [&active](const auto& entry)
                                    {
                                        return entry.second == active.control;
                                    });
    if (found != last)
    {
        m_active_requests.erase(found);
    }
}

bool engine::has_crashed(const active_request& active) const
{
    const std::lock_guard lock(m_mutex);
    return active.crash_count != m_load.crash_count();
}

duration engine::token_time() const
{
    const std::lock_guard lock(m_mutex);
    const double slowed =
        static_cast<double>(m_settings.token_delay.count()) * m_load.slowdown();
    return duration(static_cast<duration::rep>(slowed));
}

} // namespace limpet::standin

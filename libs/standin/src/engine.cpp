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

const error stale_fencing{error_code::conflict,
                          "the fencing number is older than one seen"};

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

/// Number of events after which the fault ends the stream, if it does.
std::optional<std::uint64_t> event_limit(const std::optional<fault>& failure)
{
    if (!failure)
    {
        return std::nullopt;
    }
    if (const auto* die = std::get_if<die_fault>(&*failure))
    {
        return die->after_events;
    }
    if (const auto* truncate = std::get_if<truncate_fault>(&*failure))
    {
        return truncate->after_events;
    }
    return std::nullopt;
}

template <class Fault>
const Fault* get_fault(const std::optional<fault>& failure)
{
    return failure ? std::get_if<Fault>(&*failure) : nullptr;
}

/// An order to move a chat's cache.
struct cache_order
{
    chat_id chat;
    std::uint64_t fencing = 0;
    token_count tokens;
};

outcome<cache_order> parse_cache_order(std::string_view text)
{
    const auto document = parse_json(text);
    if (!is_ok(document))
    {
        return error_of(document);
    }
    settings_reader reader(value_of(document), "order");
    cache_order order;
    order.chat = chat_id(reader.text("chat"));
    order.fencing = reader.number_or("fencing", 0, 0, UINT64_MAX);
    order.tokens = token_count(reader.number_or("tokens", 0, 0, UINT32_MAX));
    const status result = reader.finish();
    return is_ok(result) ? outcome<cache_order>(std::move(order))
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

void engine::go_cold()
{
    const std::lock_guard lock(m_mutex);
    m_load.go_cold();
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
        answer = move_cache(message, false);
    }
    else if (posted && message.target == "/v1/cache/import")
    {
        answer = move_cache(message, true);
    }
    co_await call.respond(std::move(answer));
}

boost::asio::awaitable<void> engine::complete_chat(http::exchange& call)
{
    const http::request& message = call.received();
    auto parsed = parse_chat_call(message.body);
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
            404, {error_code::not_found, "the model is not loaded"});
    }
    else if (!take_fencing(number_field(message, fields::fencing)))
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
    run item = make_run(message, std::move(value_of(parsed)));
    item.failure = faults().take();
    if (const auto* refuse = get_fault<refuse_fault>(item.failure))
    {
        http::response answer = error_answer(
            refuse->status, {error_code::unavailable, "refused by a fault"});
        answer.head.headers.set(fields::request, item.names.request.get());
        co_await call.respond(std::move(answer));
        co_return;
    }
    const auto executor = co_await boost::asio::this_coro::executor;
    item.control = std::make_shared<run_control>(executor);
    if (!begin(item))
    {
        call.cut_off();
        co_return;
    }
    call.on_caller_gone(
        [control = item.control]
        {
            control->stop(run_outcome::cut_off);
        });
    const run_outcome outcome = co_await answer(call, item);
    call.on_caller_gone(nullptr);
    end(item, outcome);
    if (outcome != run_outcome::complete)
    {
        call.cut_off();
    }
}

engine::run engine::make_run(const http::request& message, chat_call call) const
{
    run item;
    item.names = {request_id(std::string(
                      message.headers.value_or_empty(fields::request))),
                  call.model};
    item.chat =
        chat_id(std::string(message.headers.value_or_empty(fields::chat)));
    item.length =
        call.max_tokens > 0 ? call.max_tokens : m_settings.answer_tokens;
    item.resume_after = number_field(message, fields::last_event_id);
    item.fencing = number_field(message, fields::fencing);
    item.key = idempotency_key(
        std::string(message.headers.value_or_empty(fields::idempotency_key)));
    item.call = std::move(call);
    return item;
}

boost::asio::awaitable<run_outcome> engine::answer(http::exchange& call,
                                                   run& item)
{
    if (get_fault<hang_fault>(item.failure) != nullptr)
    {
        co_await item.control->wait_for_stop();
        co_return run_outcome::cut_off;
    }
    duration delay = m_settings.prefill_token_delay *
                     (item.usage.prompt.get() - item.usage.cached.get());
    if (const auto* late = get_fault<late_fault>(item.failure))
    {
        delay += late->delay;
    }
    const bool going = co_await item.control->wait(delay);
    if (!going)
    {
        co_return item.control->stopped();
    }
    run_outcome outcome = run_outcome::cut_off;
    if (item.call.stream)
    {
        outcome = co_await stream(call, item);
    }
    else
    {
        outcome = co_await whole(call, item);
    }
    co_return outcome;
}

boost::asio::awaitable<run_outcome> engine::stream(http::exchange& call,
                                                   run& item)
{
    const auto* cross = get_fault<cross_fault>(item.failure);
    http::response_head head;
    head.headers.set(fields::content_type, "text/event-stream");
    head.headers.set(fields::request,
                     cross != nullptr ? cross->request
                                      : item.names.request.get());
    status sent = co_await call.begin_stream(std::move(head));
    const auto limit = event_limit(item.failure);
    std::uint64_t number = item.resume_after;
    while (is_ok(sent) && number < item.length && item.events != limit)
    {
        const bool going = co_await item.control->wait(token_time());
        if (!going || has_fallen(item))
        {
            co_return going ? run_outcome::cut_off : item.control->stopped();
        }
        ++number;
        const bool last = number == item.length;
        const std::string event =
            token_event(item.names,
                        number,
                        token_text(item.call.messages, number),
                        last ? &item.usage : nullptr);
        sent = co_await call.write(event);
        ++item.events;
    }
    if (limit)
    {
        if (get_fault<truncate_fault>(item.failure) != nullptr)
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

boost::asio::awaitable<run_outcome> engine::whole(http::exchange& call,
                                                  run& item)
{
    std::string text;
    for (std::uint64_t number = 1; number <= item.length; ++number)
    {
        const bool going = co_await item.control->wait(token_time());
        if (!going || has_fallen(item))
        {
            co_return going ? run_outcome::cut_off : item.control->stopped();
        }
        text += token_text(item.call.messages, number);
    }
    if (event_limit(item.failure))
    {
        co_return run_outcome::cut_off;
    }
    const auto* cross = get_fault<cross_fault>(item.failure);
    http::response answer =
        json_answer(200, whole_answer(item.names, text, item.usage));
    answer.head.headers.set(fields::request,
                            cross != nullptr ? cross->request
                                             : item.names.request.get());
    const status sent = co_await call.respond(std::move(answer));
    co_return is_ok(sent) ? run_outcome::complete : run_outcome::cut_off;
}

http::response engine::cancel(std::string_view id)
{
    const std::lock_guard lock(m_mutex);
    const auto [first, last] = m_runs.equal_range(request_id(std::string(id)));
    if (first == last)
    {
        return error_answer(
            404, {error_code::not_found, "no such request is in progress"});
    }
    for (auto item = first; item != last; ++item)
    {
        item->second->post_stop(run_outcome::cancelled);
    }
    return json_answer(200, "{}");
}

http::response engine::move_cache(const http::request& call, bool import)
{
    const auto parsed = parse_cache_order(call.body);
    if (!is_ok(parsed))
    {
        return error_answer(400, error_of(parsed));
    }
    const cache_order& order = value_of(parsed);
    if (!take_fencing(order.fencing))
    {
        return error_answer(409, stale_fencing);
    }
    const std::lock_guard lock(m_mutex);
    if (import)
    {
        m_cache.store(order.chat, order.tokens);
    }
    const boost::json::object body{
        {"chat", order.chat.get()},
        {"tokens", m_cache.tokens_of(order.chat).get()}};
    return json_answer(200, boost::json::serialize(body));
}

bool engine::take_fencing(std::uint64_t number)
{
    const std::lock_guard lock(m_mutex);
    if (m_checks_fencing && number < m_highest_fencing)
    {
        return false;
    }
    m_highest_fencing = std::max(m_highest_fencing, number);
    return true;
}

bool engine::begin(run& item)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_load.begin(monotonic_clock::now()))
        {
            m_cache.clear();
            return false;
        }
        item.falls = m_load.falls();
        item.usage = {item.call.prompt,
                      m_cache.cached(item.chat, item.call.prompt),
                      item.length};
        m_runs.emplace(item.names.request, item.control);
    }
    run_entry entry;
    entry.request = item.names.request;
    entry.chat = item.chat;
    entry.method = "POST";
    entry.target = std::string(chat_target);
    entry.fencing = item.fencing;
    entry.key = item.key;
    entry.resume_after = item.resume_after;
    entry.cached_tokens = item.usage.cached.get();
    item.sequence = record().begin(std::move(entry));
    return true;
}

void engine::end(const run& item, run_outcome outcome)
{
    record().end(item.sequence, outcome, item.events);
    const std::lock_guard lock(m_mutex);
    const bool complete = outcome == run_outcome::complete;
    m_load.end(complete);
    if (complete)
    {
        m_cache.store(
            item.chat,
            token_count(item.usage.prompt.get() + item.usage.completion));
    }
    const auto [first, last] = m_runs.equal_range(item.names.request);
    const auto found = std::find_if(first,
                                    last,
                                    [&item](const auto& entry)
                                    {
                                        return entry.second == item.control;
                                    });
    if (found != last)
    {
        m_runs.erase(found);
    }
}

bool engine::has_fallen(const run& item) const
{
    const std::lock_guard lock(m_mutex);
    return item.falls != m_load.falls();
}

duration engine::token_time() const
{
    const std::lock_guard lock(m_mutex);
    const double slowed =
        static_cast<double>(m_settings.token_delay.count()) * m_load.slowdown();
    return duration(static_cast<duration::rep>(slowed));
}

} // namespace limpet::standin

#include "entry_service.hpp"

#include "answers.hpp"
#include "claim_guard.hpp"
#include "headers.hpp"
#include "wait_for.hpp"

#include <limpet/base/log.hpp>

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <random>
#include <set>

namespace limpet::pipeline
{

namespace net = boost::asio;

namespace
{

/// Retry budget: retries earned per request, and the maximum number saved up.
constexpr double retry_ratio = 0.1;
constexpr double retry_burst = 20;
/// Maximum number of attempts of one request over all engines, including
/// attempts that only queue.
constexpr std::uint32_t max_attempts = 100;
/// Delay before the next attempt, during which the list of owners may be
/// updated.
constexpr duration owner_retry_delay = milliseconds(100);
/// Maximum age of a report of an engine with free slots.
constexpr duration spare_report_max_age = seconds(1);
/// Retry delay for callers when no engine could be reached.
constexpr duration unavailable_retry = seconds(1);

placement::chat_holders to_holders(const std::vector<prefix_holder>& hints)
{
    placement::chat_holders holders;
    for (const prefix_holder& hint : hints)
    {
        if (holders.size() == holders.capacity())
        {
            break;
        }
        holders.push_back({hint.engine, hint.run, hint.tokens, {}});
    }
    return holders;
}

/// Returns whether trying another engine is not useful.
bool is_final(const attempt_result& result, const placement::stop& stop)
{
    return result.reason.code == error_code::cancelled ||
           (stop.is_last && result.reason.code != error_code::not_owner &&
            result.reason.code != error_code::overloaded);
}

/// Adds a retry delay to a refusal that has none although a retry is useful.
refusal with_retry_time(refusal why)
{
    const bool retryable = why.reason.code == error_code::overloaded ||
                           why.reason.code == error_code::unavailable ||
                           why.reason.code == error_code::timeout ||
                           why.reason.code == error_code::not_owner;
    if (retryable && why.outcome == run_outcome::not_run &&
        why.retry_after == duration::zero())
    {
        why.retry_after = unavailable_retry;
    }
    return why;
}

refusal no_engine(const model_id& model)
{
    return {{error_code::unavailable,
             "no engine is in service for '" + model.get() + "'"},
            run_outcome::not_run,
            unavailable_retry};
}

} // namespace

entry_service::entry_service(entry_parts parts)
    : m_parts(std::move(parts)),
      m_ids(m_parts.hub->self().vm, m_parts.hub->self().start),
      m_open(std::make_shared<open_requests>()),
      m_budget(retry_ratio, retry_burst),
      m_random(std::random_device{}())
{
    m_filters = {
        authenticate_filter{}, classify_filter{}, admit_filter{m_open}};
}

net::awaitable<void> entry_service::handle(http::exchange& caller)
{
    ++m_open_count;
    request_context context(caller, m_ids.next());
    context.received_at = monotonic_clock::now();
    context.config = m_parts.config();
    co_await run(context);
    if (context.admitted)
    {
        m_open->close(context.team);
    }
    m_parts.metrics->record(context, monotonic_clock::now());
    log_end(context);
    --m_open_count;
}

void entry_service::receive(const wire::link_identity& from,
                            exchange_message message)
{
    m_registry.deliver(from, message.exchange, std::move(message.content));
}

void entry_service::on_peer_lost(const vm_id& peer)
{
    m_registry.on_peer_lost(peer);
}

filter_result entry_service::run_filters(request_context& context)
{
    if (!context.config)
    {
        return refusal{
            {error_code::unavailable, "no configuration has been received yet"},
            run_outcome::not_run,
            unavailable_retry};
    }
    for (const filter& step : m_filters)
    {
        filter_result result = apply(step, context);
        if (std::holds_alternative<refusal>(result))
        {
            return result;
        }
    }
    return {};
}

net::awaitable<void> entry_service::run(request_context& context)
{
    const filter_result filtered = run_filters(context);
    if (const auto* why = std::get_if<refusal>(&filtered))
    {
        co_await refuse(context, *why);
        co_return;
    }
    claim_guard claim(context, m_parts.claims, m_parts.members);
    const claim_decision decision = co_await claim.claim();
    if (const auto* recorded = std::get_if<recorded_answer>(&decision))
    {
        co_await replay(context, recorded->result);
        co_return;
    }
    claims::settle result;
    if (const auto* why = std::get_if<refusal>(&decision))
    {
        co_await refuse(context, *why);
    }
    else
    {
        result = co_await run_claimed(context);
    }
    co_await claim.settle(std::move(result));
}

net::awaitable<claims::settle>
entry_service::run_claimed(request_context& context)
{
    answer_writer writer(context);
    writer.set_last_event(context.resume_after);
    const filter_result tried = co_await try_engines(context, writer);
    context.caller.on_caller_gone(nullptr);
    if (const auto* why = std::get_if<refusal>(&tried))
    {
        context.outcome = why->outcome;
        if (!writer.started())
        {
            co_await refuse(context, *why);
        }
        co_return claims::settle{};
    }
    context.outcome = run_outcome::complete;
    claims::settle result = writer.make_settlement();
    co_await writer.complete();
    co_return result;
}

net::awaitable<void> entry_service::replay(request_context& context,
                                           const claims::settle& result)
{
    context.outcome = run_outcome::complete;
    context.status = result.status;
    http::response answer;
    answer.head.status = result.status;
    answer.head.headers.set(headers::content_type, result.media_type);
    answer.head.headers.set(headers::request, context.id.get());
    answer.head.headers.set(headers::outcome, to_string(run_outcome::complete));
    answer.head.headers.set(headers::replayed,
                            result.body_kept ? "whole" : "status-only");
    answer.body = result.body;
    co_await context.caller.respond(std::move(answer));
}

net::awaitable<filter_result>
entry_service::try_engines(request_context& context, answer_writer& writer)
{
    const auto engines = m_parts.routes->find(context.model);
    if (!engines || engines->size() == 0)
    {
        co_return no_engine(context.model);
    }
    placement::route_request route_request{
        placement::make_chat_key(context.team, context.chat),
        context.returning,
        context.placement_hint};
    placement::itinerary itinerary(
        engines, route_request, m_route_settings, monotonic_clock::now());
    {
        const std::lock_guard lock(m_budget_mutex);
        m_budget.on_request();
    }
    context.queue_until = context.received_at + context.queue_time;
    refusal last_refusal = no_engine(context.model);
    while (context.attempts < max_attempts &&
           monotonic_clock::now() <
               std::min(context.deadline, context.queue_until))
    {
        ++context.attempts;
        const placement::stop stop = next_stop(context.model, itinerary);
        context.engine = engines->engine(stop.engine).id;
        const auto target = find_owner(context.engine, stop);
        if (!target)
        {
            co_await wait_for(owner_retry_delay);
            continue;
        }
        const attempt_result result =
            co_await try_engine(context, writer, *target);
        if (result.result == finish_result::complete)
        {
            notify_directory_owners(context, itinerary);
            co_return std::monostate{};
        }
        const bool not_run = result.result == finish_result::not_run;
        last_refusal = {result.reason,
                        not_run ? run_outcome::not_run : run_outcome::unknown,
                        result.retry_after};
        if (not_run ? is_final(result, stop)
                    : !may_retry(context, writer, result))
        {
            break;
        }
        if (not_run && stop.is_last)
        {
            ++route_request.round;
            itinerary = placement::itinerary(engines,
                                             route_request,
                                             m_route_settings,
                                             monotonic_clock::now());
        }
        else if (not_run)
        {
            itinerary.add_holders(to_holders(result.holders));
        }
        else
        {
            writer.discard_buffer();
            // A request that failed while running may wait in the queue again
            // for the full queue time.
            context.queue_until = monotonic_clock::now() + context.queue_time;
        }
        if (result.reason.code == error_code::not_owner)
        {
            co_await wait_for(owner_retry_delay);
        }
    }
    co_return with_retry_time(last_refusal);
}

placement::stop entry_service::next_stop(const model_id& model,
                                         placement::itinerary& itinerary)
{
    const std::lock_guard lock(m_spares_mutex);
    placement::spare_list& spares =
        m_spares.try_emplace(model, spare_report_max_age).first->second;
    return itinerary.next(spares, m_random, monotonic_clock::now());
}

net::awaitable<attempt_result>
entry_service::try_engine(request_context& context,
                          answer_writer& writer,
                          const attempt_target& target)
{
    const auto events =
        std::make_shared<attempt_mailbox>(co_await net::this_coro::executor);
    context.caller.on_caller_gone(
        [events]
        {
            events->push(caller_disconnected{});
        });
    attempt current(context, writer, m_registry, *m_parts.hub, target, events);
    co_return co_await current.run();
}

net::awaitable<void> entry_service::refuse(request_context& context,
                                           const refusal& why)
{
    context.outcome = why.outcome;
    context.status = status_of(why.reason.code);
    http::response answer = make_refusal(context.id, why);
    co_await context.caller.respond(std::move(answer));
}

std::optional<attempt_target>
entry_service::find_owner(const engine_id& engine,
                          const placement::stop& stop) const
{
    const auto view = m_parts.members->view();
    const membership::router_record* owner = view->owner_of(engine);
    if (owner == nullptr)
    {
        return std::nullopt;
    }
    return attempt_target{
        engine, owner->self.vm, owner->started, stop.is_first, !stop.is_last};
}

bool entry_service::may_retry(const request_context& context,
                              const answer_writer& writer,
                              const attempt_result& result)
{
    if (!context.repeatable || result.caller_lost || !writer.can_resume())
    {
        return false;
    }
    const std::lock_guard lock(m_budget_mutex);
    return m_budget.try_retry();
}

void entry_service::notify_directory_owners(
    const request_context& context, const placement::itinerary& itinerary)
{
    const auto served = itinerary.engines().find(context.engine);
    if (!context.returning || !served || !itinerary.is_news(context.engine))
    {
        return;
    }
    const placed_message placed{
        context.team,
        context.chat,
        {context.engine,
         itinerary.engines().engine(*served).run,
         token_count(context.prompt_tokens + context.events)}};
    const auto view = m_parts.members->view();
    const auto* server = view->owner_of(context.engine);
    std::set<vm_id> notified;
    for (const placement::engine_index engine : itinerary.keepers())
    {
        const auto* owner =
            view->owner_of(itinerary.engines().engine(engine).id);
        if (owner == nullptr || owner == server ||
            !notified.insert(owner->self.vm).second)
        {
            continue;
        }
        // No error handling: a lost message only reduces cache reuse.
        m_parts.hub->send(owner->self.vm,
                          wire::channel::exchange,
                          encode({exchange_id(0), placed}));
    }
}

void entry_service::log_end(const request_context& context) const
{
    const duration total = monotonic_clock::now() - context.received_at;
    log_event(
        log_level::info,
        "request.end",
        {{"request", context.id.get()},
         {"partner", context.partner.get()},
         {"team", context.team.get()},
         {"chat", context.chat.get()},
         {"model", context.model.get()},
         {"engine", context.engine.get()},
         {"outcome", to_string(context.outcome)},
         {"status", context.status},
         {"attempts", context.attempts},
         {"events", context.events},
         {"first_token_ms",
          context.first_token ? to_milliseconds(*context.first_token) : 0.0},
         {"whole_ms", to_milliseconds(total)}});
}

} // namespace limpet::pipeline

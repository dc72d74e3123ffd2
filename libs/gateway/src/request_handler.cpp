#include "request_handler.hpp"

#include "server_priority.hpp"

#include <limpet/base/hash.hpp>
#include <limpet/base/log.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace limpet::gateway
{

namespace net = boost::asio;

namespace
{

/// Startup period, in which a gateway receives the configuration and the server
/// registrations even if all VMs start at once: it covers an election and one
/// heartbeat period of the servers.
constexpr duration startup_period = milliseconds(1200);
/// Shortest retry-after time sent while the gateway has no configuration.
constexpr duration min_retry_after_no_plan = milliseconds(300);
/// Retry-after time sent by a gateway that shuts down. Short, since the load
/// balancer gives the next connection to another gateway.
constexpr duration retry_after_shutdown = milliseconds(20);
/// Retry-after time of the other refusals of requests that have not run, such
/// as for lack of capacity: about the time that a server takes for a request.
constexpr duration retry_after_not_run = milliseconds(500);
/// A request may wait for the configuration for this fraction (1/n) of the
/// caller's timeout. The rest is enough to serve it.
constexpr int plan_wait_divisor = 4;
/// A request may wait for capacity for this fraction (1/n) of the route's
/// latency objective. The rest is the time that a server takes to start it.
constexpr int objective_wait_divisor = 2;
/// A request that may be repeated ends within so many latency objectives, for
/// the decision whether a gateway that shuts down still takes it.
constexpr int objectives_to_end = 2;
/// Prompt tokens whose prefill takes a server about as long as the rest of an
/// average request.
constexpr double prefill_tokens_per_cost = 4096;
/// Number of unreachable servers after which a request is refused.
constexpr unsigned max_unreached_attempts = 4;
/// Time for which a server goes on with a stream after the first event until
/// the request counts as sound: a request that crashes servers may do so when
/// the answer has begun, and bytes sent before the crash arrive meanwhile.
constexpr duration survival_time = milliseconds(250);
/// Time before the deadline at which an attempt is given up, so that the final
/// response is sent in time.
constexpr duration response_margin = milliseconds(20);

/// Returns the ids of the parts that other requests may have too, separated by
/// commas.
std::string to_log_text(const std::vector<prompt_part>& parts)
{
    std::string text;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
    {
        text += (i == 0 ? "" : ",") + std::to_string(parts[i].id);
    }
    return text;
}

refusal_cause to_refusal_cause(selection_failure failure)
{
    switch (failure)
    {
    case selection_failure::no_server:
        return refusal_cause::no_server;
    case selection_failure::no_room:
        return refusal_cause::no_room;
    case selection_failure::limited:
        return refusal_cause::limited;
    case selection_failure::closed:
        return refusal_cause::closed;
    }
    return refusal_cause::not_run;
}

/// Returns the value as a log field, "none" without one.
template <class Number>
std::string to_log_text(const std::optional<Number>& value)
{
    return value ? std::to_string(*value) : "none";
}

} // namespace

request_handler::request_handler(gateway_state& state, http::exchange& caller)
    : m_state(state),
      m_exchange(caller),
      m_arrived_at(monotonic_clock::now())
{
    m_state.requests.insert(this);
}

request_handler::request_handler(gateway_state& state,
                                 http::exchange& caller,
                                 duration time_left)
    : request_handler(state, caller)
{
    m_handed_over_until = m_arrived_at + time_left;
}

request_handler::~request_handler()
{
    m_state.requests.erase(this);
    m_exchange.on_caller_gone(nullptr);
}

void request_handler::end_for_shutdown()
{
    m_is_ending = true;
    m_deadline = std::min(m_deadline, monotonic_clock::now());
    m_canceller.cancel();
    if (m_open_response != nullptr)
    {
        m_open_response->cancel();
    }
    if (m_sleep != nullptr)
    {
        m_sleep->cancel();
    }
    if (m_sent_handover != nullptr)
    {
        m_sent_handover->cancel();
    }
}

net::awaitable<void> request_handler::run()
{
    auto refusal = read_call();
    if (!refusal)
    {
        watch_caller();
        co_await wait_for_configuration();
        refusal = resolve_route();
    }
    if (!refusal && !has_memory())
    {
        m_last_failure = "other requests take all memory";
        refusal = refusal_cause::no_room;
    }
    if (!refusal && is_resumed())
    {
        refusal = co_await find_origin();
    }
    if (refusal && !m_caller_gone)
    {
        co_await refuse(*refusal);
        co_return;
    }
    if (m_caller_gone)
    {
        log_end("caller_gone");
        co_return;
    }
    const refusal_cause cause = co_await serve();
    if (m_status == 0 && !m_caller_gone && m_server_failure)
    {
        m_status = m_server_failure->head.status;
        m_failure_buffer->begin_writing(make_writing());
        co_await m_exchange.respond(std::move(*m_server_failure));
    }
    else if (m_status == 0 && !m_caller_gone)
    {
        co_await refuse(cause);
        co_return;
    }
    log_end(m_caller_gone ? "caller_gone" : "answered");
}

std::optional<refusal_cause> request_handler::read_call()
{
    const auto parsed = m_state.codec.read_call(m_exchange.received());
    if (!is_ok(parsed))
    {
        m_last_failure = error_of(parsed).message;
        return refusal_cause::malformed;
    }
    m_call = value_of(parsed);
    return std::nullopt;
}

bool request_handler::is_in_startup_period() const
{
    return monotonic_clock::now() < m_state.started_at + startup_period;
}

net::awaitable<void> request_handler::wait_for_configuration()
{
    const duration timeout = m_call.patience.value_or(startup_period);
    const time_point until =
        std::min(m_arrived_at + timeout / plan_wait_divisor,
                 m_state.started_at + startup_period);
    for (time_point now = m_arrived_at;
         !m_state.plan && !m_state.is_shutting_down && !m_caller_gone &&
         now < until;
         now = monotonic_clock::now())
    {
        waiting_request unclassified;
        co_await m_state.queue.wait(std::move(unclassified), until - now);
    }
    m_plan = m_state.plan;
    m_wait_time = monotonic_clock::now() - m_arrived_at;
}

std::optional<refusal_cause> request_handler::resolve_route()
{
    const http::request& message = m_exchange.received();
    if (m_state.is_shutting_down)
    {
        return refusal_cause::shutting_down;
    }
    if (!m_plan)
    {
        return refusal_cause::no_plan;
    }
    m_route = m_plan->find_route(m_call.host, message.target);
    if (m_route == nullptr)
    {
        return refusal_cause::unknown_route;
    }
    m_rank = m_route->rank;
    if (!m_route->is_anonymous && !m_plan->document().tenants.empty())
    {
        m_tenant = m_plan->find_tenant(m_call.key);
        if (m_tenant == nullptr)
        {
            return refusal_cause::unknown_key;
        }
        m_rank = m_tenant->rank.value_or(m_rank);
    }
    const duration timeout =
        std::min(m_call.patience.value_or(m_route->timeout), m_route->timeout);
    m_deadline = m_arrived_at + timeout;
    if (m_handed_over_until)
    {
        m_deadline = std::min(m_deadline, *m_handed_over_until);
    }
    if (m_state.drain_ends_at)
    {
        if (!can_end_before_shutdown())
        {
            return refusal_cause::shutting_down;
        }
        m_deadline = std::min(m_deadline, *m_state.drain_ends_at);
    }
    // A resumed stream goes to the service that it had, unless the route has
    // changed.
    m_stream = is_resumed() && !m_call.resumes.get().empty() ? m_call.resumes
                                                             : m_call.id;
    m_query.service =
        directory::pick_service(*m_route, stable_hash(m_stream.get()));
    // Independent of the hash that picks the service.
    constexpr std::uint64_t version_draw_seed = 1;
    m_query.draw = stable_hash(m_stream.get(), version_draw_seed);
    m_quarantine_keys = request_keys(m_query.service, message, m_call);
    const auto shared = shared_part_keys(m_query.service, m_call.parts);
    m_quarantine_keys.insert(
        m_quarantine_keys.end(), shared.begin(), shared.end());
    m_query.parts = std::move(m_call.parts);
    m_query.prompt_tokens = m_call.prompt_tokens;
    m_query.is_resumable =
        m_route->kind == directory::request_kind::resumable_stream;
    m_last_event = m_call.last_event;
    return std::nullopt;
}

bool request_handler::has_memory()
{
    // The head is copied for the server.
    return m_exchange.add_memory(
        m_exchange.received().headers.memory_bytes() +
        m_query.parts.capacity() * sizeof(prompt_part) +
        m_quarantine_keys.capacity() * sizeof(quarantine::part_key));
}

bool request_handler::can_end_before_shutdown() const
{
    // A request that is cut off and may not run twice cannot be sent again, so
    // all of its time must be left.
    const time_point needed_until =
        directory::may_repeat(m_route->kind)
            ? m_arrived_at + objectives_to_end * m_route->objective
            : m_deadline;
    return std::min(needed_until, m_deadline) <= *m_state.drain_ends_at;
}

bool request_handler::is_resumed() const
{
    return m_route != nullptr &&
           m_route->kind == directory::request_kind::resumable_stream &&
           m_call.last_event > 0;
}

net::awaitable<std::optional<refusal_cause>> request_handler::find_origin()
{
    const auto service = origins::make_service_key(m_query.service);
    const duration max_age = max_stream_age(*m_route);
    const auto stream = origins::make_stream_key(m_stream);
    const bool is_named = !m_call.resumes.get().empty();
    // What was recorded when the stream began goes before what is concluded.
    std::optional<origins::origin> begun;
    if (is_named)
    {
        begun = m_state.origins->known(stream);
    }
    if (!begun)
    {
        m_query.version = m_state.origins->only_version(service, max_age);
    }
    const bool is_certain = m_query.version.has_value();
    if (is_named && !begun && !is_certain)
    {
        const origins::query asked{stream, service, max_age};
        begun = co_await m_state.origins->find(asked);
    }
    log_event(log_level::info,
              "origin.sought",
              {{"request", m_call.id.get()},
               {"resumes", m_call.resumes.get()},
               {"stream", stream.get()},
               {"service", m_query.service},
               {"certain", is_certain},
               {"found", begun.has_value()}});
    if (is_certain)
    {
        co_return std::nullopt;
    }
    if (!begun)
    {
        co_return refusal_cause::unknown_start;
    }
    // Versions of another service are no concern of this one: the route has
    // changed since.
    if (begun->service == service)
    {
        m_query.version = begun->version;
    }
    co_return std::nullopt;
}

std::optional<std::uint64_t> request_handler::resume_after() const
{
    if (m_route->kind != directory::request_kind::resumable_stream ||
        m_last_event == 0)
    {
        return std::nullopt;
    }
    // Without a number to begin after, a server would begin another stream.
    return std::max<std::uint64_t>(1, m_last_event - 1);
}

void request_handler::record_origin()
{
    if (m_route->kind != directory::request_kind::resumable_stream)
    {
        return;
    }
    m_state.origins->record({origins::make_stream_key(m_stream),
                             origins::make_service_key(m_query.service),
                             m_server_version_key,
                             max_stream_age(*m_route)});
}

void request_handler::watch_caller()
{
    m_exchange.on_caller_gone(
        [this]
        {
            m_caller_gone = true;
            m_canceller.cancel();
            if (m_open_response != nullptr)
            {
                m_open_response->cancel();
            }
            if (m_sent_handover != nullptr)
            {
                m_sent_handover->cancel();
            }
        });
}

bool request_handler::is_deadline_near() const
{
    return time_left() <= response_margin;
}

duration request_handler::time_left() const
{
    return m_deadline - monotonic_clock::now();
}

duration request_handler::time_for_response() const
{
    const duration left = time_left() - response_margin;
    // The rest is for another router.
    return m_is_trial && may_hand_over() ? left / 2 : left;
}

net::awaitable<std::variant<chosen_server, refusal_cause>>
request_handler::find_server()
{
    const time_point wait_started_at = monotonic_clock::now();
    const time_point until =
        std::min(m_arrived_at + m_route->objective / objective_wait_divisor,
                 m_deadline - response_margin);
    for (;;)
    {
        if (m_is_ending)
        {
            co_return refusal_cause::shutting_down;
        }
        const time_point now = monotonic_clock::now();
        const auto choice = m_state.pool.choose(m_query, now);
        if (const auto* server = std::get_if<chosen_server>(&choice))
        {
            m_wait_time += now - wait_started_at;
            co_return *server;
        }
        const auto failure = std::get<selection_failure>(choice);
        const bool is_limited = failure == selection_failure::limited;
        const bool is_closed = failure == selection_failure::closed;
        if ((is_limited && !m_caller_gone && co_await wait_for_limit(until)) ||
            (is_closed && !m_caller_gone && co_await wait_for_opening(until)))
        {
            continue;
        }
        if (m_caller_gone || is_limited || is_closed || now >= until ||
            (failure == selection_failure::no_server &&
             !is_in_startup_period()))
        {
            m_wait_time += now - wait_started_at;
            co_return to_refusal_cause(failure);
        }
        co_await wait_in_queue(until - now);
    }
}

net::awaitable<void> request_handler::wait_in_queue(duration timeout)
{
    // A named variable, since GCC 12 destroys a temporary aggregate in an
    // awaited expression twice.
    waiting_request request{
        m_query.service,
        m_rank,
        m_tenant == nullptr ? std::string() : m_tenant->name,
        1 + m_query.prompt_tokens / prefill_tokens_per_cost};
    co_await m_state.queue.wait(std::move(request), timeout);
}

net::awaitable<bool> request_handler::wait_for_limit(time_point until)
{
    const time_point now = monotonic_clock::now();
    const limit_forecast forecast = m_state.pool.forecast_limits(m_query, now);
    if (!forecast.next || forecast.next->at >= until)
    {
        const duration earliest =
            forecast.next ? forecast.next->at - now : duration::zero();
        m_pool_retry_after = m_state.limit_returns[m_query.service].next(
            forecast.mean_rate, earliest, now);
        co_return false;
    }
    m_state.pool.reserve(*forecast.next);
    m_query.reserved = forecast.next->server;
    co_await sleep_for(forecast.next->at - now);
    co_return true;
}

net::awaitable<bool> request_handler::wait_for_opening(time_point until)
{
    const time_point now = monotonic_clock::now();
    const duration opens_in =
        m_state.pool.time_to_opening(m_query, now).value_or(duration::zero());
    if (now + opens_in < until)
    {
        // Of a server that is open, the answer to a trial is due.
        co_await wait_in_queue(opens_in > duration::zero() ? opens_in
                                                           : until - now);
        co_return true;
    }
    const double rate = m_state.pool.rate_after_opening(m_query, now);
    m_pool_retry_after = std::max(
        opens_in,
        m_state.limit_returns[m_query.service].next(rate, opens_in, now));
    co_return false;
}

net::awaitable<void> request_handler::sleep_for(duration span)
{
    net::steady_timer timer(co_await net::this_coro::executor);
    timer.expires_after(span);
    m_sleep = &timer;
    boost::system::error_code ignored;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
    m_sleep = nullptr;
}

net::awaitable<refusal_cause> request_handler::run_attempts()
{
    refusal_cause cause = refusal_cause::not_run;
    for (;;)
    {
        auto found = co_await find_server_if_admitted();
        if (const auto* refused = std::get_if<refusal_cause>(&found))
        {
            cut_off_stream();
            // The result of an earlier attempt takes precedence.
            co_return cause == refusal_cause::not_run ? *refused : cause;
        }
        const auto& server = std::get<chosen_server>(found);
        const attempt_result result = co_await attempt(server);
        if (result == attempt_result::finished || m_caller_gone)
        {
            co_return cause;
        }
        if (result == attempt_result::failed ||
            result == attempt_result::interrupted)
        {
            cause = is_deadline_near() ? refusal_cause::timed_out
                                       : refusal_cause::failed;
        }
        m_query.excluded.push_back(server.id);
        m_query.reserved.reset();
        if (!may_retry(result))
        {
            cut_off_stream();
            co_return cause;
        }
    }
}

void request_handler::cut_off_stream()
{
    if (m_stream_begun)
    {
        m_exchange.cut_off();
        m_caller_gone = true;
    }
}

bool request_handler::may_retry(attempt_result last)
{
    if (is_deadline_near() || m_has_unnumbered_events || m_lacks_memory)
    {
        return false;
    }
    const bool is_left_to_others =
        may_hand_over() && m_state.reach.is_cut_off(m_query.service);
    if (last == attempt_result::not_sent)
    {
        return ++m_unreached_attempts < max_unreached_attempts &&
               !is_left_to_others;
    }
    if (last == attempt_result::failed && is_left_to_others)
    {
        return false;
    }
    const bool has_run =
        last == attempt_result::failed || last == attempt_result::interrupted;
    // The router that handed the request over may have made the others.
    const unsigned attempts = m_handed_over_until ? 1 : m_route->attempts;
    if ((has_run && !directory::may_repeat(m_route->kind)) ||
        m_reached_attempts >= attempts)
    {
        return false;
    }
    return m_state.retry_budget_for(m_query.service).try_retry();
}

void request_handler::finish_attempt(const chosen_server& server,
                                     attempt_outcome outcome)
{
    m_open_response = nullptr;
    m_state.pool.on_end(server.id, outcome, monotonic_clock::now());
    record_reach(server, outcome);
    report_outcome(server, outcome);
    m_state.queue.wake(m_query.service);
    m_state.metrics.record_attempt(m_query.service, to_string(outcome));
    if (outcome != attempt_outcome::answered)
    {
        log_event(log_level::info,
                  "try.ended",
                  {{"request", m_call.id.get()},
                   {"engine", server.id.get()},
                   {"how", to_string(outcome)},
                   {"reason", m_last_failure},
                   {"parts", to_log_text(m_query.parts)},
                   {"request_key", m_quarantine_keys.front().get()},
                   {"begun", m_stream_begun},
                   {"tries", m_reached_attempts + m_unreached_attempts}});
    }
}

void request_handler::report_outcome(const chosen_server& server,
                                     attempt_outcome outcome)
{
    // The server gives this status when the caller's deadline has passed.
    constexpr unsigned gateway_timeout = 504;
    const unsigned status =
        m_server_failure ? m_server_failure->head.status : m_status;
    const bool has_failed = outcome == attempt_outcome::failed;
    if ((!has_failed && outcome != attempt_outcome::answered) ||
        status == gateway_timeout)
    {
        return;
    }
    m_state.pool.on_outcome(
        server.id,
        {m_route->name,
         has_failed,
         m_attempt_event_at.value_or(monotonic_clock::now()) - m_sent_at,
         m_route->objective},
        m_sent_at);
}

net::awaitable<std::variant<chosen_server, refusal_cause>>
request_handler::find_server_if_admitted()
{
    if (is_refused_by(m_state.quarantine->check(m_quarantine_keys)))
    {
        co_return refusal_cause::quarantined;
    }
    auto found = co_await find_server();
    // The part may have been quarantined while the request waited.
    if (std::holds_alternative<chosen_server>(found) &&
        is_refused_by(m_state.quarantine->admit(m_quarantine_keys)))
    {
        co_return refusal_cause::quarantined;
    }
    co_return found;
}

bool request_handler::is_refused_by(const quarantine::admission& admission)
{
    m_quarantine_retry_after = admission.retry_after;
    return !admission.is_admitted;
}

void request_handler::record_sound()
{
    if (!m_is_attempt_sound)
    {
        m_is_attempt_sound = true;
        m_state.quarantine->on_sound(m_quarantine_keys);
    }
}

void request_handler::record_event()
{
    const time_point now = monotonic_clock::now();
    if (!m_attempt_event_at)
    {
        m_attempt_event_at = now;
    }
    else if (now >= *m_attempt_event_at + survival_time)
    {
        record_sound();
    }
}

void request_handler::record_cut_off()
{
    // A brittle server falls over for the requests that it turns away.
    if (!m_is_attempt_sound &&
        !m_state.pool.is_brittle(m_server, monotonic_clock::now()))
    {
        m_state.quarantine->on_cut_off({m_server_start_key, m_quarantine_keys});
    }
}

net::awaitable<request_handler::attempt_result>
request_handler::attempt(const chosen_server& server)
{
    m_server = server.id;
    m_server_version = server.version;
    m_server_version_key = server.version_key;
    m_server_start_key = server.start_key;
    m_assessment = server.assessment;
    m_reported_load.reset();
    m_is_attempt_sound = false;
    m_is_cut_off = false;
    m_has_response_head = false;
    m_attempt_event_at.reset();
    m_sent_at = monotonic_clock::now();
    m_state.pool.on_begin(server.id, m_query, m_sent_at);
    forward_order order;
    order.server = server.id;
    order.tenant = m_tenant == nullptr ? std::string() : m_tenant->name;
    order.time_left = time_left();
    order.resume_after = resume_after();
    order.copy_from = server.copy_from;
    if (server.tells_slowdown)
    {
        order.priority = server_priority(m_rank, m_call.prompt_tokens);
    }
    m_has_copy_source = server.copy_from.has_value();
    auto sent = co_await m_state.client->send(
        server.address,
        m_state.codec.make_forward(m_exchange.received(), order),
        time_for_response(),
        &m_canceller);
    if (auto* failure = std::get_if<http::request_failure>(&sent))
    {
        m_last_failure = failure->reason.message;
        const bool is_abandoned = m_caller_gone || is_deadline_near();
        if (!failure->may_have_reached_server)
        {
            finish_attempt(server,
                           is_abandoned ? attempt_outcome::abandoned
                                        : attempt_outcome::unreachable);
            co_return attempt_result::not_sent;
        }
        ++m_reached_attempts;
        if (!is_abandoned && is_end_of_connection(failure->reason))
        {
            record_cut_off();
        }
        finish_attempt(server,
                       is_abandoned ? attempt_outcome::abandoned
                       : is_acknowledgement_timeout(failure->reason)
                           ? attempt_outcome::unreachable
                           : attempt_outcome::broken);
        co_return m_stream_begun ? attempt_result::interrupted
                                 : attempt_result::failed;
    }
    ++m_reached_attempts;
    co_return co_await forward_response(
        server,
        std::get<std::unique_ptr<http::response_stream>>(std::move(sent)));
}

net::awaitable<void> request_handler::refuse(refusal_cause cause)
{
    const bool is_left_to_others = cause == refusal_cause::no_plan ||
                                   cause == refusal_cause::shutting_down ||
                                   cause == refusal_cause::no_server ||
                                   cause == refusal_cause::not_run;
    if (m_handed_over_until && is_left_to_others && m_reached_attempts == 0)
    {
        m_is_unserved = true;
        log_end(to_string(cause));
        co_return;
    }
    std::optional<duration> retry_after;
    if (cause == refusal_cause::no_plan)
    {
        const duration age = monotonic_clock::now() - m_state.started_at;
        retry_after = std::max(min_retry_after_no_plan, startup_period - age);
    }
    else if (cause == refusal_cause::quarantined)
    {
        retry_after = m_quarantine_retry_after;
    }
    else if (cause == refusal_cause::limited || cause == refusal_cause::closed)
    {
        retry_after = m_pool_retry_after;
    }
    else if (cause == refusal_cause::shutting_down)
    {
        retry_after = retry_after_shutdown;
    }
    else if (is_not_run(cause))
    {
        retry_after = retry_after_not_run;
    }
    http::response answer =
        m_state.codec.make_refusal(cause, m_call.id, retry_after);
    m_status = answer.head.status;
    co_await m_exchange.respond(std::move(answer));
    log_end(to_string(cause));
}

void request_handler::log_end(std::string_view outcome)
{
    const time_point now = monotonic_clock::now();
    const duration first = m_first_byte_at == time_point{}
                               ? duration::zero()
                               : m_first_byte_at - m_arrived_at;
    const auto& reported = m_reported_load;
    // The router that the caller sent the request to counts it.
    if (!m_handed_over_until)
    {
        m_state.metrics.record(
            {m_query.service,
             m_tenant == nullptr ? std::string() : m_tenant->name,
             outcome,
             m_status,
             m_reached_attempts,
             m_wait_time,
             first,
             now - m_arrived_at});
    }
    log_event(log_level::info,
              "request.end",
              {{"request", m_call.id.get()},
               {"route", m_route == nullptr ? "" : m_route->name},
               {"service", m_query.service},
               {"subject",
                m_query.parts.empty() ? 0 : affinity_part_of(m_query.parts).id},
               {"copied", m_has_copy_source},
               {"tokens", m_query.prompt_tokens},
               {"tenant", m_tenant == nullptr ? "" : m_tenant->name},
               {"outcome", outcome},
               {"status", m_status},
               {"for_another", m_handed_over_until.has_value()},
               {"served_by", m_served_by.get()},
               {"engine", m_server.get()},
               {"engine_version", m_server_version},
               {"resumes", m_call.resumes.get()},
               {"resumed_after", m_call.last_event},
               {"tries", m_reached_attempts},
               {"unreached", m_unreached_attempts},
               {"assumed_load", m_assessment.assumed_load},
               {"own_load", m_assessment.own_requests},
               {"reported_load",
                to_log_text(reported ? std::optional(reported->running +
                                                     reported->waiting)
                                     : std::nullopt)},
               {"load_source", to_string(m_assessment.source)},
               {"load_age_ms", to_milliseconds(m_assessment.age)},
               {"mean_load", m_assessment.mean_load},
               {"load_bound", m_assessment.load_bound},
               {"rank", to_log_text(m_assessment.rank)},
               {"delimiter", m_delimiter ? to_string(*m_delimiter) : "none"},
               {"last_event", m_last_event},
               {"unfinished_bytes", m_unfinished_bytes},
               {"reason", m_last_failure},
               {"waited_ms", to_milliseconds(m_wait_time)},
               {"first_ms", to_milliseconds(first)},
               {"total_ms", to_milliseconds(now - m_arrived_at)},
               {"version", m_plan ? m_plan->document().version.get() : 0}});
}

} // namespace limpet::gateway

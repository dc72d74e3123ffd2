#include "request_run.hpp"

#include <limpet/base/hash.hpp>
#include <limpet/base/log.hpp>

#include <algorithm>

namespace limpet::gateway
{

namespace net = boost::asio;

namespace
{

/// Time after its start in which a gateway learns the configuration and the
/// servers when all machines start at once: an election, and one period of the
/// servers' signs of life. And the shortest time to return that a caller is
/// told before.
constexpr duration learning_time = milliseconds(1200);
constexpr duration come_back_unready = milliseconds(300);
/// Time to return after a refusal by a gateway that ends: another one takes
/// the next connection.
constexpr duration come_back_elsewhere = milliseconds(20);
/// Time to return after a refusal for lack of room: about the time in which
/// a server ends a request.
constexpr duration come_back_full = milliseconds(500);
/// Part of the caller's patience that a request may wait for the
/// configuration; the rest is enough to be served.
constexpr int patience_parts_waited = 4;
/// Part of the route's objective that a request may wait for room. The rest
/// is what a server takes to begin.
constexpr int objective_parts_waited = 2;
/// Prompt tokens whose reading takes a server about as long as the rest of an
/// ordinary request.
constexpr double tokens_per_cost = 4096;
/// Servers that could not be reached before a request is refused.
constexpr unsigned max_unreached = 4;
/// Time before the deadline at which a try is given up, so that the final
/// answer is sent before it.
constexpr duration final_margin = milliseconds(20);

} // namespace

request_run::request_run(gateway_state& shared, http::exchange& caller)
    : m_shared(shared),
      m_caller(caller),
      m_arrived(monotonic_clock::now())
{
}

request_run::~request_run()
{
    m_caller.on_caller_gone(nullptr);
}

net::awaitable<void> request_run::run()
{
    auto unfit = read_call();
    if (!unfit)
    {
        watch_caller();
        co_await wait_for_plan();
        unfit = classify();
    }
    if (unfit && !m_gone)
    {
        co_await refuse(*unfit);
        co_return;
    }
    if (m_gone)
    {
        log_end("caller_gone");
        co_return;
    }
    const refusal_cause cause = co_await serve();
    if (m_status == 0 && !m_gone && m_failure)
    {
        m_status = m_failure->head.status;
        co_await m_caller.respond(std::move(*m_failure));
    }
    else if (m_status == 0 && !m_gone)
    {
        co_await refuse(cause);
        co_return;
    }
    log_end(m_gone ? "caller_gone" : "answered");
}

std::optional<refusal_cause> request_run::read_call()
{
    const auto parsed = m_shared.language.read_call(m_caller.received());
    if (!is_ok(parsed))
    {
        m_last_failure = error_of(parsed).message;
        return refusal_cause::malformed;
    }
    m_call = value_of(parsed);
    return std::nullopt;
}

bool request_run::is_learning() const
{
    return monotonic_clock::now() < m_shared.started_at + learning_time;
}

net::awaitable<void> request_run::wait_for_plan()
{
    const duration patience = m_call.patience.value_or(learning_time);
    const time_point until =
        std::min(m_arrived + patience / patience_parts_waited,
                 m_shared.started_at + learning_time);
    for (time_point now = m_arrived;
         !m_shared.plan && !m_shared.is_ending && !m_gone && now < until;
         now = monotonic_clock::now())
    {
        waiting_request nobody_in_particular;
        co_await m_shared.queue.wait(std::move(nobody_in_particular),
                                     until - now);
    }
    m_plan = m_shared.plan;
    m_waited = monotonic_clock::now() - m_arrived;
}

std::optional<refusal_cause> request_run::classify()
{
    const http::request& message = m_caller.received();
    if (m_shared.is_ending)
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
    const duration patience =
        std::min(m_call.patience.value_or(m_route->timeout), m_route->timeout);
    m_deadline = m_arrived + patience;
    m_query.service =
        directory::pick_service(*m_route, stable_hash(m_call.id.get()));
    m_query.parts = m_call.parts;
    m_query.prompt_tokens = m_call.prompt_tokens;
    m_last_event = m_call.last_event;
    return std::nullopt;
}

void request_run::watch_caller()
{
    m_caller.on_caller_gone(
        [this]
        {
            m_gone = true;
            m_canceller.cancel();
            if (m_open != nullptr)
            {
                m_open->cancel();
            }
        });
}

bool request_run::is_time_up() const
{
    return time_left() <= final_margin;
}

duration request_run::time_left() const
{
    return m_deadline - monotonic_clock::now();
}

net::awaitable<std::variant<chosen_server, refusal_cause>>
request_run::find_server()
{
    const time_point begun = monotonic_clock::now();
    const time_point until =
        std::min(m_arrived + m_route->objective / objective_parts_waited,
                 m_deadline - final_margin);
    for (;;)
    {
        const time_point now = monotonic_clock::now();
        const auto choice = m_shared.pool.choose(m_query, now);
        if (const auto* server = std::get_if<chosen_server>(&choice))
        {
            m_waited += now - begun;
            co_return *server;
        }
        const bool is_full = std::get<no_choice>(choice) == no_choice::no_room;
        if (m_gone || (!is_full && !is_learning()) || now >= until)
        {
            m_waited += now - begun;
            co_return is_full ? refusal_cause::no_room
                              : refusal_cause::no_server;
        }
        // Named, as GCC 12 destroys aggregates within an awaited expression
        // twice.
        waiting_request who{m_query.service,
                            m_rank,
                            m_tenant == nullptr ? std::string()
                                                : m_tenant->name,
                            1 + m_query.prompt_tokens / tokens_per_cost};
        co_await m_shared.queue.wait(std::move(who), until - now);
    }
}

net::awaitable<refusal_cause> request_run::serve()
{
    m_shared.budget_of(m_query.service).on_request();
    refusal_cause cause = refusal_cause::not_run;
    for (;;)
    {
        auto found = co_await find_server();
        if (const auto* refused = std::get_if<refusal_cause>(&found))
        {
            // What happened at earlier servers weighs more.
            co_return cause == refusal_cause::not_run ? *refused : cause;
        }
        const auto& server = std::get<chosen_server>(found);
        const try_result result = co_await try_server(server);
        if (result == try_result::finished || m_gone)
        {
            co_return cause;
        }
        if (result == try_result::failed || result == try_result::interrupted)
        {
            cause =
                is_time_up() ? refusal_cause::timed_out : refusal_cause::failed;
        }
        m_query.excluded.push_back(server.id);
        if (!may_try_again(result))
        {
            if (result == try_result::interrupted)
            {
                m_caller.cut_off();
                m_gone = true;
            }
            co_return cause;
        }
    }
}

bool request_run::may_try_again(try_result last)
{
    if (is_time_up())
    {
        return false;
    }
    if (last == try_result::not_sent)
    {
        return ++m_unreached < max_unreached;
    }
    const bool has_run =
        last == try_result::failed || last == try_result::interrupted;
    if ((has_run && !directory::may_repeat(m_route->kind)) ||
        m_reached >= m_route->attempts)
    {
        return false;
    }
    return m_shared.budget_of(m_query.service).try_retry();
}

void request_run::end_try(const chosen_server& server, request_end how)
{
    m_open = nullptr;
    m_shared.pool.on_end(server.id, how, monotonic_clock::now());
    m_shared.queue.wake(m_query.service);
    m_shared.metrics.record_try(m_query.service, to_string(how));
    if (how != request_end::answered)
    {
        log_event(log_level::info,
                  "try.ended",
                  {{"request", m_call.id.get()},
                   {"engine", server.id.get()},
                   {"how", to_string(how)},
                   {"reason", m_last_failure},
                   {"tries", m_reached + m_unreached}});
    }
}

net::awaitable<request_run::try_result>
request_run::try_server(const chosen_server& server)
{
    m_server = server.id;
    m_shared.pool.on_begin(server.id, m_query, monotonic_clock::now());
    forward_order order;
    order.server = server.id;
    order.tenant = m_tenant == nullptr ? std::string() : m_tenant->name;
    order.time_left = time_left();
    order.last_event = m_last_event;
    order.copy_from = server.copy_from;
    m_is_copied = server.copy_from.has_value();
    auto sent = co_await m_shared.client->send(
        server.address,
        m_shared.language.make_forward(m_caller.received(), order),
        time_left() - final_margin,
        &m_canceller);
    if (auto* failure = std::get_if<http::request_failure>(&sent))
    {
        m_last_failure = failure->reason.message;
        const bool is_abandoned = m_gone || is_time_up();
        if (!failure->may_have_reached_server)
        {
            end_try(server,
                    is_abandoned ? request_end::abandoned
                                 : request_end::unreachable);
            co_return try_result::not_sent;
        }
        ++m_reached;
        end_try(server,
                is_abandoned                 ? request_end::abandoned
                : is_silent(failure->reason) ? request_end::unreachable
                                             : request_end::broken);
        co_return m_stream_begun ? try_result::interrupted : try_result::failed;
    }
    ++m_reached;
    co_return co_await pass_on(
        server,
        std::get<std::unique_ptr<http::response_stream>>(std::move(sent)));
}

net::awaitable<void> request_run::refuse(refusal_cause cause)
{
    std::optional<duration> come_back;
    if (cause == refusal_cause::no_plan)
    {
        const duration age = monotonic_clock::now() - m_shared.started_at;
        come_back = std::max(come_back_unready, learning_time - age);
    }
    else if (cause == refusal_cause::shutting_down)
    {
        come_back = come_back_elsewhere;
    }
    else if (is_not_run(cause))
    {
        come_back = come_back_full;
    }
    http::response answer =
        m_shared.language.make_refusal(cause, m_call.id, come_back);
    m_status = answer.head.status;
    co_await m_caller.respond(std::move(answer));
    log_end(to_string(cause));
}

void request_run::log_end(std::string_view outcome)
{
    const time_point now = monotonic_clock::now();
    const duration first =
        m_first_at == time_point{} ? duration::zero() : m_first_at - m_arrived;
    m_shared.metrics.record(
        {m_query.service,
         m_tenant == nullptr ? std::string() : m_tenant->name,
         outcome,
         m_status,
         m_reached,
         m_waited,
         first,
         now - m_arrived});
    log_event(
        log_level::info,
        "request.end",
        {{"request", m_call.id.get()},
         {"route", m_route == nullptr ? "" : m_route->name},
         {"service", m_query.service},
         {"subject", m_query.parts.empty() ? 0 : subject_of(m_query.parts).id},
         {"copied", m_is_copied},
         {"tokens", m_query.prompt_tokens},
         {"tenant", m_tenant == nullptr ? "" : m_tenant->name},
         {"outcome", outcome},
         {"status", m_status},
         {"engine", m_server.get()},
         {"tries", m_reached},
         {"unreached", m_unreached},
         {"reason", m_last_failure},
         {"waited_ms", to_milliseconds(m_waited)},
         {"first_ms", to_milliseconds(first)},
         {"total_ms", to_milliseconds(now - m_arrived)},
         {"version", m_plan ? m_plan->document().version.get() : 0}});
}

} // namespace limpet::gateway

/// Requests that another router serves for this one.

#include "request_handler.hpp"

#include <limpet/base/log.hpp>

namespace limpet::gateway
{

namespace net = boost::asio;

namespace
{

/// Routers that a request is handed over to, one after the other, until one can
/// serve it.
constexpr std::size_t max_handovers = 3;
/// Time before the deadline at which a response is no longer waited for.
constexpr duration response_margin = milliseconds(20);
/// Bytes that the caller took after which the other router may send as many
/// more.
constexpr std::uint32_t credit_step_bytes = 16 * 1024;

} // namespace

request_handler::relayed_response::relayed_response(
    response_buffer_budget& budget, const vm_id& router)
    : body(budget, engine_id(router.get()))
{
}

void request_handler::record_reach(const chosen_server& server,
                                   attempt_outcome outcome)
{
    switch (outcome)
    {
    case attempt_outcome::answered:
    case attempt_outcome::refused:
    case attempt_outcome::failed:
        m_state.reach.on_reached(m_query.service, server.id, m_sent_at);
        return;
    case attempt_outcome::unreachable:
    case attempt_outcome::broken:
        if (!m_has_response_head)
        {
            record_unreached(server);
        }
        return;
    case attempt_outcome::abandoned:
        if (!m_has_response_head && !m_caller_gone && !m_is_ending)
        {
            record_unreached(server);
        }
        return;
    }
}

void request_handler::record_unreached(const chosen_server& server)
{
    m_state.reach.on_unreached(m_query.service,
                               server.id,
                               monotonic_clock::now(),
                               m_state.pool.is_farther_than_others(server.id));
}

bool request_handler::may_hand_over() const
{
    return m_state.handover && !m_handed_over_until && !m_was_handed_over &&
           !m_stream_begun && !m_caller_gone && !m_is_ending &&
           !is_deadline_near();
}

bool request_handler::may_be_served_elsewhere(refusal_cause cause)
{
    const bool is_unreached = m_unreached_attempts > 0 ||
                              m_state.reach.has_unreached(m_query.service);
    if (m_reached_attempts == 0)
    {
        return is_unreached && (cause == refusal_cause::no_server ||
                                cause == refusal_cause::not_run);
    }
    return cause == refusal_cause::failed &&
           directory::may_repeat(m_route->kind) &&
           m_state.reach.is_cut_off(m_query.service) &&
           m_reached_attempts < m_route->attempts &&
           m_state.retry_budget_for(m_query.service).try_retry();
}

net::awaitable<refusal_cause> request_handler::serve()
{
    const refusal_cause cause = co_await serve_here_or_elsewhere();
    // Another router whose link was lost may have sent it to a server.
    co_return m_may_have_run_elsewhere&& is_not_run(cause)
        ? refusal_cause::failed
        : cause;
}

net::awaitable<refusal_cause> request_handler::serve_here_or_elsewhere()
{
    const auto cause_of = [](handover_result result)
    {
        return result == handover_result::timed_out ? refusal_cause::timed_out
                                                    : refusal_cause::failed;
    };
    if (!m_handed_over_until)
    {
        // The others count at the router that they came from.
        m_state.retry_budget_for(m_query.service).on_request();
    }
    m_is_trial =
        m_state.reach.try_begin_trial(m_query.service,
                                      directory::may_repeat(m_route->kind),
                                      monotonic_clock::now());
    const bool is_cut_off =
        m_state.reach.is_cut_off(m_query.service) && !m_is_trial;
    if (m_handed_over_until && m_state.reach.has_unreached(m_query.service))
    {
        co_return refusal_cause::no_server;
    }
    if (is_cut_off && may_hand_over())
    {
        const handover_result result = co_await hand_over();
        if (result != handover_result::not_served)
        {
            co_return cause_of(result);
        }
    }
    const refusal_cause cause = co_await run_attempts();
    if (m_status == 0 && may_hand_over() && may_be_served_elsewhere(cause))
    {
        const handover_result result = co_await hand_over();
        co_return result == handover_result::not_served ? cause
                                                        : cause_of(result);
    }
    co_return cause;
}

net::awaitable<request_handler::handover_result> request_handler::hand_over()
{
    m_was_handed_over = true;
    std::vector<vm_id> tried;
    while (tried.size() < max_handovers && !is_deadline_near() &&
           !m_caller_gone && !m_is_ending)
    {
        const time_point now = monotonic_clock::now();
        const auto router =
            m_state.handover->choose(m_query.service, tried, now);
        if (!router)
        {
            break;
        }
        tried.push_back(*router);
        sent_handover sent(*m_state.handover, *router);
        relayed_response answer(m_state.response_buffers, *router);
        m_sent_handover = &sent;
        const handover_result result = co_await hand_over_to(sent, answer);
        m_sent_handover = nullptr;
        log_event(log_level::info,
                  "request.handed_over",
                  {{"request", m_call.id.get()},
                   {"service", m_query.service},
                   {"to", router->get()},
                   {"served", result == handover_result::answered},
                   {"reason", m_last_failure}});
        if (result == handover_result::no_room)
        {
            // Says nothing about smaller requests.
            continue;
        }
        if (result != handover_result::not_served)
        {
            m_served_by = *router;
            cut_off_unless_answered(result);
            co_return result;
        }
        m_state.handover->on_not_served(
            *router, m_query.service, monotonic_clock::now());
    }
    co_return handover_result::not_served;
}

void request_handler::cut_off_unless_answered(handover_result result)
{
    if (result != handover_result::answered)
    {
        cut_off_stream();
    }
}

net::awaitable<request_handler::handover_result>
request_handler::hand_over_to(sent_handover& sent, relayed_response& answer)
{
    const status opened =
        sent.open(m_exchange.received(), time_left() - response_margin);
    if (!is_ok(opened))
    {
        m_last_failure = error_of(opened).message;
        co_return error_of(opened).code == error_code::overloaded
            ? handover_result::no_room
            : handover_result::not_served;
    }
    for (;;)
    {
        const auto event = co_await sent.next(m_deadline - response_margin);
        if (m_caller_gone)
        {
            co_return handover_result::answered;
        }
        if (!event || std::holds_alternative<handover_cancelled>(*event))
        {
            m_last_failure = "the other router took too long";
            co_return handover_result::timed_out;
        }
        if (std::holds_alternative<handover_link_lost>(*event))
        {
            m_last_failure = "the link to the other router was lost";
            m_state.handover->on_not_served(
                sent.router(), m_query.service, monotonic_clock::now());
            co_return may_hand_over_again(answer) ? handover_result::not_served
                                                  : handover_result::failed;
        }
        const auto result = co_await relay(
            std::get<pipeline::exchange_content>(*event), sent, answer);
        if (result)
        {
            co_return *result;
        }
    }
}

/// Returns whether a request that the other router may have sent to a server
/// can be served once more.
bool request_handler::may_hand_over_again(const relayed_response& answer)
{
    ++m_reached_attempts;
    m_may_have_run_elsewhere = true;
    return directory::may_repeat(m_route->kind) && !answer.whole &&
           !m_stream_begun && m_reached_attempts < m_route->attempts &&
           m_state.retry_budget_for(m_query.service).try_retry();
}

net::awaitable<std::optional<request_handler::handover_result>>
request_handler::relay(const pipeline::exchange_content& content,
                       sent_handover& sent,
                       relayed_response& answer)
{
    if (const auto* head = std::get_if<pipeline::head_message>(&content))
    {
        co_return co_await relay_head(*head, answer);
    }
    if (const auto* part = std::get_if<pipeline::part_message>(&content))
    {
        co_return co_await relay_part(*part, sent, answer);
    }
    if (const auto* finish = std::get_if<pipeline::finish_message>(&content))
    {
        co_return co_await relay_finish(*finish, answer);
    }
    co_return std::nullopt;
}

net::awaitable<std::optional<request_handler::handover_result>>
request_handler::relay_head(const pipeline::head_message& head,
                            relayed_response& answer)
{
    if (head.sequence != answer.next_sequence++)
    {
        m_last_failure = "a part of the response was lost between routers";
        co_return handover_result::failed;
    }
    if (head.is_whole)
    {
        answer.whole = head.head;
        co_return std::nullopt;
    }
    m_stream_begun = true;
    m_status = head.head.status;
    m_first_byte_at = monotonic_clock::now();
    co_await m_exchange.begin_stream(head.head);
    co_return std::nullopt;
}

net::awaitable<std::optional<request_handler::handover_result>>
request_handler::relay_part(const pipeline::part_message& part,
                            sent_handover& sent,
                            relayed_response& answer)
{
    status taken = success();
    if (part.sequence != answer.next_sequence++)
    {
        taken = error{error_code::io_error,
                      "a part of the response was lost between routers"};
    }
    else if (answer.whole)
    {
        taken = answer.body.append(part.bytes);
    }
    else
    {
        taken = co_await m_exchange.write(part.bytes);
    }
    if (!is_ok(taken))
    {
        m_last_failure = error_of(taken).message;
        co_return handover_result::failed;
    }
    answer.uncredited += static_cast<std::uint32_t>(part.bytes.size());
    if (answer.uncredited >= credit_step_bytes)
    {
        sent.add_credit(std::exchange(answer.uncredited, 0));
    }
    co_return std::nullopt;
}

net::awaitable<std::optional<request_handler::handover_result>>
request_handler::relay_finish(const pipeline::finish_message& finish,
                              relayed_response& answer)
{
    const bool has_begun = answer.whole || m_stream_begun;
    if (finish.result == pipeline::finish_result::not_run && !has_begun)
    {
        m_last_failure = finish.reason.message;
        co_return finish.reason.code == error_code::overloaded
            ? handover_result::no_room
            : handover_result::not_served;
    }
    if (finish.result != pipeline::finish_result::complete || !has_begun ||
        finish.sequence != answer.next_sequence)
    {
        m_last_failure = finish.reason.message;
        co_return handover_result::failed;
    }
    if (!answer.whole)
    {
        co_await m_exchange.end_stream();
        co_return handover_result::answered;
    }
    m_status = answer.whole->status;
    m_first_byte_at = monotonic_clock::now();
    http::response response;
    response.head = std::move(*answer.whole);
    response.body = answer.body.take();
    answer.body.begin_writing(make_writing());
    co_await m_exchange.respond(std::move(response));
    co_return handover_result::answered;
}

} // namespace limpet::gateway

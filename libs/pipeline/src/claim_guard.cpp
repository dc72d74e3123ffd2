#include "claim_guard.hpp"

#include "request_ids.hpp"
#include "wait_for.hpp"

#include <limpet/base/hash.hpp>
#include <limpet/base/log.hpp>

#include <algorithm>

namespace limpet::pipeline
{

namespace net = boost::asio;

namespace
{

/// Longest time that a caller waits for the control group.
constexpr duration claim_patience = seconds(5);
/// Longest time that a caller waits for another request's outcome.
constexpr duration outcome_patience = seconds(5);
/// Time between two questions whether another request has ended.
constexpr duration poll_period = milliseconds(200);
/// Longest time in which an outcome is recorded.
constexpr duration settle_patience = seconds(30);
/// Time after which a caller may try again when the group has no quorum.
constexpr duration no_quorum_retry = seconds(1);
/// Time after which a caller may ask for another request's outcome again.
constexpr duration in_progress_retry = seconds(2);

std::uint64_t fingerprint_of(const http::request& request)
{
    const std::uint64_t head =
        stable_hash(request.method + " " + request.target);
    return combine_hashes(head, stable_hash(request.body));
}

refusal no_quorum(std::string_view reason)
{
    return {{error_code::unavailable,
             "the key cannot be claimed: " + std::string(reason)},
            run_outcome::not_run,
            no_quorum_retry};
}

refusal outcome_lost()
{
    return {{error_code::conflict,
             "a request with this key ran with an unknown outcome"},
            run_outcome::unknown,
            {}};
}

refusal still_running()
{
    return {
        {error_code::conflict, "another request with this key has not ended"},
        run_outcome::not_run,
        in_progress_retry};
}

} // namespace

claim_guard::claim_guard(request_context& context,
                         std::shared_ptr<claims_client> client,
                         std::shared_ptr<fleet> members)
    : m_context(context),
      m_client(std::move(client)),
      m_members(std::move(members)),
      m_holder(context.id)
{
}

net::awaitable<claim_decision> claim_guard::claim()
{
    if (!is_needed())
    {
        co_return may_run{};
    }
    const claims::claim_command command =
        make(claims::claim{fingerprint_of(m_context.forwarded)});
    const time_point last_poll =
        std::min(m_context.deadline, monotonic_clock::now() + outcome_patience);
    for (;;)
    {
        const time_point now = monotonic_clock::now();
        const time_point until =
            std::min(m_context.deadline, now + claim_patience);
        const auto answer = co_await m_client->ask(command, until);
        if (!is_ok(answer))
        {
            // The claim may have been recorded although no answer came.
            m_claimed = true;
            co_return no_quorum(error_of(answer).message);
        }
        const auto* other = std::get_if<claims::in_progress>(&value_of(answer));
        if (other == nullptr)
        {
            m_claimed =
                std::holds_alternative<claims::granted>(value_of(answer));
            co_return decide(value_of(answer));
        }
        if (!is_drawer_alive(other->holder, *m_members->view()))
        {
            co_return outcome_lost();
        }
        if (monotonic_clock::now() + poll_period >= last_poll)
        {
            co_return still_running();
        }
        co_await wait_for(poll_period);
    }
}

net::awaitable<void> claim_guard::settle(claims::settle result)
{
    if (!m_claimed)
    {
        co_return;
    }
    if (m_context.outcome == run_outcome::not_run)
    {
        co_await release();
        co_return;
    }
    if (m_context.outcome == run_outcome::unknown)
    {
        co_return;
    }
    const auto answer = co_await m_client->ask(
        make(std::move(result)), monotonic_clock::now() + settle_patience);
    if (!is_ok(answer))
    {
        log_event(log_level::error,
                  "claim.not_settled",
                  {{"request", m_context.id.get()},
                   {"reason", error_of(answer).message}});
    }
}

bool claim_guard::is_needed() const
{
    return m_context.key && !m_context.repeatable;
}

claims::claim_command claim_guard::make(claims::claim_action action) const
{
    claims::claim_command command;
    command.key = claims::claim_key_of(m_context.team, *m_context.key);
    command.request = m_holder;
    command.action = std::move(action);
    return command;
}

claim_decision claim_guard::decide(const claims::claim_answer& answer) const
{
    if (std::holds_alternative<claims::granted>(answer))
    {
        return may_run{};
    }
    if (const auto* ended = std::get_if<claims::finished>(&answer))
    {
        if (ended->known)
        {
            return recorded_answer{ended->result};
        }
        return outcome_lost();
    }
    if (const auto* no = std::get_if<claims::refused>(&answer))
    {
        return refusal{
            {no->code, no->reason}, run_outcome::not_run, no_quorum_retry};
    }
    return no_quorum("unexpected answer");
}

net::awaitable<void> claim_guard::release()
{
    const auto answer = co_await m_client->ask(
        make(claims::release{}), monotonic_clock::now() + settle_patience);
    if (!is_ok(answer))
    {
        log_event(log_level::error,
                  "claim.not_released",
                  {{"request", m_context.id.get()},
                   {"reason", error_of(answer).message}});
    }
}

} // namespace limpet::pipeline

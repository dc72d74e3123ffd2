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

/// Maximum time to wait for the control group's reply to a claim.
constexpr duration claim_timeout = seconds(5);
/// Maximum time to wait for the outcome of another request with the same key.
constexpr duration outcome_timeout = seconds(5);
/// Interval between checks whether the other request has ended.
constexpr duration poll_period = milliseconds(200);
/// Maximum time for recording an outcome or releasing a claim.
constexpr duration settle_timeout = seconds(30);
/// Retry delay for callers when the control group has no quorum.
constexpr duration no_quorum_retry = seconds(1);
/// Retry delay for callers while another request with the same key is in
/// progress.
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
             "idempotency key cannot be claimed: " + std::string(reason)},
            run_outcome::not_run,
            no_quorum_retry};
}

refusal unknown_outcome()
{
    return {
        {error_code::conflict,
         "an earlier request with this idempotency key has an unknown outcome"},
        run_outcome::unknown,
        {}};
}

refusal still_running()
{
    return {{error_code::conflict,
             "another request with this idempotency key is in progress"},
            run_outcome::not_run,
            in_progress_retry};
}

} // namespace

claim_guard::claim_guard(request_context& context,
                         std::shared_ptr<claims_client> client,
                         std::shared_ptr<membership_service> members)
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
        make_command(claims::claim{fingerprint_of(m_context.forwarded)});
    const time_point last_poll =
        std::min(m_context.deadline, monotonic_clock::now() + outcome_timeout);
    for (;;)
    {
        const time_point now = monotonic_clock::now();
        const time_point until =
            std::min(m_context.deadline, now + claim_timeout);
        const auto answer = co_await m_client->submit(command, until);
        if (!is_ok(answer))
        {
            // The claim may have been applied although no reply arrived, so it
            // must be released.
            m_claimed = true;
            co_return no_quorum(error_of(answer).message);
        }
        const auto* active =
            std::get_if<claims::in_progress>(&value_of(answer));
        if (active == nullptr)
        {
            m_claimed =
                std::holds_alternative<claims::granted>(value_of(answer));
            co_return decide(value_of(answer));
        }
        if (!is_issuer_alive(active->holder, *m_members->view()))
        {
            co_return unknown_outcome();
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
    const auto answer =
        co_await m_client->submit(make_command(std::move(result)),
                                  monotonic_clock::now() + settle_timeout);
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

claims::claim_command
claim_guard::make_command(claims::claim_action action) const
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
    if (const auto* previous = std::get_if<claims::finished>(&answer))
    {
        if (previous->known)
        {
            return recorded_answer{previous->result};
        }
        return unknown_outcome();
    }
    if (const auto* rejection = std::get_if<claims::refused>(&answer))
    {
        return refusal{{rejection->code, rejection->reason},
                       run_outcome::not_run,
                       no_quorum_retry};
    }
    return no_quorum("unexpected reply from the control group");
}

net::awaitable<void> claim_guard::release()
{
    const auto answer =
        co_await m_client->submit(make_command(claims::release{}),
                                  monotonic_clock::now() + settle_timeout);
    if (!is_ok(answer))
    {
        log_event(log_level::error,
                  "claim.not_released",
                  {{"request", m_context.id.get()},
                   {"reason", error_of(answer).message}});
    }
}

} // namespace limpet::pipeline

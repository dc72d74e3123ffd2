/// \file
/// Keeps a request with an idempotency key from running twice.

#pragma once

#include "answer_writer.hpp"
#include "claims_client.hpp"
#include "fleet.hpp"
#include "request_context.hpp"

#include <memory>
#include <variant>

namespace limpet::pipeline
{

/// The request may run, now.
struct may_run
{
};

/// The request has run before; its recorded answer.
struct recorded_answer
{
    claims::settle result;
};

using claim_decision = std::variant<may_run, recorded_answer, refusal>;

/// Claims, settles and releases the key of one request. Requests without a key
/// and repeatable ones need no claim.
class claim_guard
{
public:
    claim_guard(request_context& context,
                std::shared_ptr<claims_client> client,
                std::shared_ptr<fleet> members);

    /// Asks for the right to run. While another request holds the key, waits
    /// a while for its outcome; if that request's router was lost, the outcome
    /// is unknown for good.
    boost::asio::awaitable<claim_decision> claim();

    /// Records the answer of a request that has run, or gives the right up if
    /// it certainly has not run. An unknown outcome stays unknown.
    boost::asio::awaitable<void> settle(claims::settle result);

private:
    bool is_needed() const;
    claims::claim_command make(claims::claim_action action) const;
    claim_decision decide(const claims::claim_answer& answer) const;
    boost::asio::awaitable<void> release();

    request_context& m_context;
    std::shared_ptr<claims_client> m_client;
    std::shared_ptr<fleet> m_members;
    request_id m_holder;
    bool m_claimed = false;
};

} // namespace limpet::pipeline

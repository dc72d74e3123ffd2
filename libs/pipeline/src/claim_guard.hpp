/// \file
/// Prevents duplicate execution of requests with an idempotency key.

#pragma once

#include "answer_writer.hpp"
#include "claims_client.hpp"
#include "membership_service.hpp"
#include "request_context.hpp"

#include <memory>
#include <variant>

namespace limpet::pipeline
{

/// The claim was granted, or none is needed: the request may run.
struct may_run
{
};

/// The request has run before; contains its recorded response.
struct recorded_answer
{
    claims::settle result;
};

using claim_decision = std::variant<may_run, recorded_answer, refusal>;

/// Claims, settles and releases the idempotency key of one request. Requests
/// without a key and repeatable requests need no claim.
class claim_guard
{
public:
    claim_guard(request_context& context,
                std::shared_ptr<claims_client> client,
                std::shared_ptr<membership_service> members);

    /// Claims the key. While another request holds the key, waits for a limited
    /// time for its outcome. If the router of that request is lost, the outcome
    /// stays unknown permanently.
    boost::asio::awaitable<claim_decision> claim();

    /// Records the response of a request that has run, or releases the key if
    /// the request has definitely not run. If the outcome is unknown, the claim
    /// is left as it is.
    boost::asio::awaitable<void> settle(claims::settle result);

private:
    bool is_needed() const;
    claims::claim_command make_command(claims::claim_action action) const;
    claim_decision decide(const claims::claim_answer& answer) const;
    boost::asio::awaitable<void> release();

    request_context& m_context;
    std::shared_ptr<claims_client> m_client;
    std::shared_ptr<membership_service> m_members;
    request_id m_holder;
    bool m_claimed = false;
};

} // namespace limpet::pipeline

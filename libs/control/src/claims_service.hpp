/// \file
/// Handles routers' claims of idempotency keys.

#pragma once

#include <limpet/replica/replica.hpp>
#include <limpet/wire/call_message.hpp>
#include <limpet/wire/link_hub.hpp>

#include <memory>

namespace limpet::control
{

/// Proposes claim commands to the replicated log and replies with the result of
/// applying them. Not thread-safe.
class claims_service
{
public:
    /// The replica must outlive the service.
    claims_service(replica::replica& log, std::shared_ptr<wire::link_hub> hub);

    /// Handles a claim call from a router.
    void receive(const vm_id& from, const wire::call& claim);

private:
    void reply(const vm_id& to, std::uint64_t id, outcome<std::string> result);

    replica::replica& m_log;
    std::shared_ptr<wire::link_hub> m_hub;
};

} // namespace limpet::control

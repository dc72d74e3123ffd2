/// \file
/// Fault injection for connections between processes, used by tests.

#pragma once

#include <limpet/wire/link_hub.hpp>

#include <map>
#include <mutex>

namespace limpet::wire
{

/// Injected faults by peer. A build without LIMPET_FAULT_SWITCH refuses to set
/// any. Thread-safe.
class fault_switch
{
public:
    /// Sets the fault of the connections with the peer. Errors:
    /// invalid_argument in a build without LIMPET_FAULT_SWITCH.
    status set(const vm_id& peer, link_fault fault);

    /// Returns the fault of the connections with the peer.
    link_fault find(const vm_id& peer) const;

private:
    mutable std::mutex m_mutex;
    std::map<vm_id, link_fault> m_faults;
};

} // namespace limpet::wire

/// \file
/// Faults of links that tests switch on.

#pragma once

#include <limpet/wire/link_hub.hpp>

#include <map>
#include <mutex>

namespace limpet::wire
{

/// Faults by peer. Without LIMPET_FAULT_SWITCH there are never any.
/// Thread-safe.
class fault_switch
{
public:
    /// Sets the fault of the links with the peer.
    status set(const vm_id& peer, link_fault fault);

    /// Returns the fault of the links with the peer.
    link_fault find(const vm_id& peer) const;

private:
    mutable std::mutex m_mutex;
    std::map<vm_id, link_fault> m_faults;
};

} // namespace limpet::wire

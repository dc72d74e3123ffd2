/// \file
/// Identifiers that a router generates.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/membership/view.hpp>

#include <atomic>
#include <cstdint>
#include <string>

namespace limpet::pipeline
{

/// Generates request ids that are unique across processes and contain the VM
/// and incarnation of the generating process. Thread-safe.
class request_id_source
{
public:
    request_id_source(const vm_id& self, incarnation started);

    /// Returns a new id.
    request_id next();

private:
    std::string m_prefix;
    std::atomic<std::uint64_t> m_next{1};
};

/// Returns whether the process that generated the id may still be running,
/// according to the list of routers. Ids of other formats are assumed to come
/// from a running process.
bool is_issuer_alive(const request_id& id, const membership::view& routers);

/// Returns an incarnation number for this process, derived from the system
/// clock. It is higher than that of all earlier starts as long as the clock is
/// not set back.
incarnation make_incarnation();

} // namespace limpet::pipeline

/// \file
/// Identifiers that a router draws.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/membership/view.hpp>

#include <atomic>
#include <cstdint>
#include <string>

namespace limpet::pipeline
{

/// Draws request ids that no other process draws, and which tell the process.
/// Thread-safe.
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

/// Returns whether the process that drew the id may still run, by the given
/// list of routers. Ids of other forms are taken to be of a running process.
bool is_drawer_alive(const request_id& id, const membership::view& routers);

/// Returns the number of this start, higher than that of all earlier starts
/// as long as the system's clock is not set back.
incarnation make_incarnation();

} // namespace limpet::pipeline

/// \file
/// Finds the control group where nobody lists its members.

#pragma once

#include "directory_feed.hpp"

#include <limpet/control/control_settings.hpp>
#include <limpet/replica/replica.hpp>
#include <limpet/wire/link_hub.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace limpet::control
{

/// Knows replicas by their IP number, by which they are named there; all use
/// one peers' port. Not thread-safe.
class group_finder
{
public:
    group_finder(std::uint16_t peers_port, std::shared_ptr<wire::link_hub> hub);

    /// Names the VMs that may form the group. Only those that every process is
    /// told at the first start found it; all others join.
    void name_group(const control_settings::discovery& found_by,
                    replica::replica_settings& into);

    /// Makes the replicas reachable.
    void know(const std::vector<vm_id>& replicas);

    /// Lets the replica and the feed ask those at the seeds as well.
    void add_seeds(const std::vector<boost::asio::ip::tcp::endpoint>& seeds,
                   replica::replica& log,
                   directory_feed& feed);

private:
    std::uint16_t m_port;
    std::shared_ptr<wire::link_hub> m_hub;
};

/// Returns the VMs of the group as the replica knows them.
std::vector<vm_id> members_of(const replica::replica& log);

} // namespace limpet::control

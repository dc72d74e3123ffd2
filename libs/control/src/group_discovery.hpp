/// \file
/// Discovery of the control group from seeds.

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

/// Resolves the addresses of replicas if the settings do not list them: each
/// replica's vm_id is its IP address, and all replicas use the same peers'
/// port. Not thread-safe.
class group_discovery
{
public:
    group_discovery(std::uint16_t peers_port,
                    std::shared_ptr<wire::link_hub> hub);

    /// Sets the VMs that may form the group, and its timeouts. Only seeds may
    /// found the group, and only at the first start of the fleet; all other
    /// VMs join.
    void configure_group(const control_settings::discovery_settings& discovery,
                         replica::replica_settings& settings);

    /// Registers the addresses of the replicas with the link hub.
    void add_peers(const std::vector<vm_id>& replicas);

    /// Adds the seeds to the contacts of the replica and of the feed.
    void add_seeds(const std::vector<boost::asio::ip::tcp::endpoint>& seeds,
                   replica::replica& log,
                   directory_feed& feed);

private:
    std::uint16_t m_port;
    std::shared_ptr<wire::link_hub> m_hub;
};

/// Sets the timeouts of a discovered group.
void set_group_timing(consensus::settings& settings);

/// Returns the VMs of the group's members that the replica knows.
std::vector<vm_id> members_of(const replica::replica& log);

} // namespace limpet::control

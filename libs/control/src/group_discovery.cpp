#include "group_discovery.hpp"

#include <algorithm>
#include <utility>

namespace limpet::control
{

namespace net = boost::asio;

namespace
{

/// Time after which an unreachable voter is removed. Longer than a process
/// needs to restart, and short, as the group tolerates one loss less until
/// then.
constexpr duration lost_voter_timeout = seconds(2);

/// Consensus timing of a discovered group. Kept short because routers get all
/// state from the group after a restart and do not serve before a leader holds
/// its lease. The election timeout tolerates a lost packet, which is
/// retransmitted after 200 ms, and late heartbeats.
constexpr duration heartbeat_interval = milliseconds(125);
constexpr duration election_timeout = milliseconds(500);

std::vector<vm_id> vm_ids_of(const std::vector<net::ip::tcp::endpoint>& seeds)
{
    std::vector<vm_id> vm_ids;
    vm_ids.reserve(seeds.size());
    for (const auto& seed : seeds)
    {
        vm_ids.emplace_back(seed.address().to_string());
    }
    return vm_ids;
}

} // namespace

group_discovery::group_discovery(std::uint16_t peers_port,
                                 std::shared_ptr<wire::link_hub> hub)
    : m_port(peers_port),
      m_hub(std::move(hub))
{
}

void group_discovery::configure_group(
    const control_settings::discovery_settings& discovery,
    replica::replica_settings& settings)
{
    settings.group = vm_ids_of(discovery.seeds);
    add_peers(settings.group);
    const bool is_seed = std::find(settings.group.begin(),
                                   settings.group.end(),
                                   settings.self) != settings.group.end();
    settings.may_found = is_seed && discovery.first_start;
    settings.accepts_any_vm = true;
    settings.consensus.min_voters = 2 * discovery.tolerated_losses + 1;
    set_group_timing(settings.consensus);
}

void group_discovery::add_peers(const std::vector<vm_id>& replicas)
{
    for (const vm_id& vm : replicas)
    {
        boost::system::error_code failure;
        const auto ip = net::ip::make_address(vm.get(), failure);
        if (!failure && vm != m_hub->self().vm)
        {
            m_hub->set_peer(vm, {ip, m_port});
        }
    }
}

void group_discovery::add_seeds(
    const std::vector<net::ip::tcp::endpoint>& seeds,
    replica::replica& log,
    directory_feed& feed)
{
    std::vector<vm_id> vm_ids = vm_ids_of(seeds);
    add_peers(vm_ids);
    for (const vm_id& each : vm_ids)
    {
        feed.add_contact(each);
    }
    log.add_contacts(std::move(vm_ids));
}

void set_group_timing(consensus::settings& settings)
{
    settings.lost_voter_timeout = lost_voter_timeout;
    settings.heartbeat_interval = heartbeat_interval;
    settings.election_timeout = election_timeout;
}

std::vector<vm_id> members_of(const replica::replica& log)
{
    std::vector<vm_id> vm_ids;
    for (const replica::member_view& each : log.view().members)
    {
        vm_ids.push_back(each.id.vm);
    }
    return vm_ids;
}

} // namespace limpet::control

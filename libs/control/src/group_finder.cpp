#include "group_finder.hpp"

#include <algorithm>
#include <utility>

namespace limpet::control
{

namespace net = boost::asio;

namespace
{

/// Time after which a lost voter is replaced by a VM that joined. Longer than
/// a process takes to start again and catch up.
constexpr duration lost_voter_timeout = seconds(3);

/// Times of the group where routers learn all from it after a restart: no
/// router serves before a leader is sure of its lead. The election timeout
/// bears a lost packet, whose repeat comes after 200 ms, and late heartbeats.
constexpr duration heartbeat_interval = milliseconds(125);
constexpr duration election_timeout = milliseconds(500);

std::vector<vm_id> names_of(const std::vector<net::ip::tcp::endpoint>& seeds)
{
    std::vector<vm_id> vms;
    vms.reserve(seeds.size());
    for (const auto& seed : seeds)
    {
        vms.emplace_back(seed.address().to_string());
    }
    return vms;
}

} // namespace

group_finder::group_finder(std::uint16_t peers_port,
                           std::shared_ptr<wire::link_hub> hub)
    : m_port(peers_port),
      m_hub(std::move(hub))
{
}

void group_finder::name_group(const control_settings::discovery& found_by,
                              replica::replica_settings& into)
{
    into.group = names_of(found_by.seeds);
    know(into.group);
    const bool is_seed =
        std::find(into.group.begin(), into.group.end(), into.self) !=
        into.group.end();
    into.may_found = is_seed && found_by.first_start;
    into.accepts_any_vm = true;
    into.consensus.lost_voter_timeout = lost_voter_timeout;
    into.consensus.heartbeat_interval = heartbeat_interval;
    into.consensus.election_timeout = election_timeout;
}

void group_finder::know(const std::vector<vm_id>& replicas)
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

void group_finder::add_seeds(const std::vector<net::ip::tcp::endpoint>& seeds,
                             replica::replica& log,
                             directory_feed& feed)
{
    std::vector<vm_id> vms = names_of(seeds);
    know(vms);
    for (const vm_id& each : vms)
    {
        feed.add_contact(each);
    }
    log.learn_contacts(std::move(vms));
}

std::vector<vm_id> members_of(const replica::replica& log)
{
    std::vector<vm_id> vms;
    for (const replica::member_view& each : log.view().members)
    {
        vms.push_back(each.id.vm);
    }
    return vms;
}

} // namespace limpet::control

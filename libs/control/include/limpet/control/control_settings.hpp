/// \file
/// Settings of a control replica.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/log.hpp>
#include <limpet/base/outcome.hpp>
#include <limpet/base/units.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace limpet::control
{

/// Another replica of the control group.
struct replica_peer
{
    vm_id vm;
    boost::asio::ip::tcp::endpoint address;
};

/// Validated settings of a control replica.
struct control_settings
{
    vm_id vm;
    data_centre_id data_centre;
    /// Listen address for operators.
    boost::asio::ip::tcp::endpoint operators;
    /// Listen address for routers and other control replicas.
    boost::asio::ip::tcp::endpoint peers;
    /// Listen address for metrics; metrics are not served if absent.
    std::optional<boost::asio::ip::tcp::endpoint> metrics;
    /// Name of the control group, equal on all its replicas. Routers reject the
    /// configuration of a group with another name.
    std::string group_name = "limpet";
    /// The other replicas of the group.
    std::vector<replica_peer> group;
    /// How this replica discovers the group if the settings do not list its
    /// members. Each replica's vm_id is then its IP address, and all replicas
    /// use the same peers' port.
    struct discovery_settings
    {
        /// Operators' addresses of replicas that may be members of the group.
        std::vector<boost::asio::ip::tcp::endpoint> seeds;
        /// Whether the fleet starts for the first time, so that the seeds may
        /// found a new group.
        bool first_start = false;
        /// Number of replicas whose disks may be lost at once. The group keeps
        /// enough voters that none of its state is lost then.
        std::size_t tolerated_losses = 1;
        /// Interval between two heartbeats of a backend server.
        duration server_heartbeat_period = seconds(1);
    };
    std::optional<discovery_settings> discovery;
    /// Time after its acceptance for which an order for a rollout is taken for
    /// a repetition. Rollouts are not offered if absent.
    std::optional<duration> rollout_repeat_time;
    /// Memory of the VM in bytes. Without it, bodies may take as much as the
    /// HTTP server's defaults allow.
    std::optional<std::uint64_t> memory;
    /// Descriptors that the process may have. Without it, the numbers of
    /// connections are the defaults of HTTP server and links.
    std::optional<std::uint64_t> max_descriptors;
    /// Folder for the log and snapshots.
    std::string data_folder;
    log_level log = log_level::info;
    duration drain_timeout = seconds(10);
};

/// Parses the settings document. Error messages contain the JSON path and the
/// reason.
outcome<control_settings>
parse_control_settings(const boost::json::value& document);

/// Reads the settings from a file. Error messages also contain the file name.
outcome<control_settings> read_control_settings(const std::string& file);

} // namespace limpet::control

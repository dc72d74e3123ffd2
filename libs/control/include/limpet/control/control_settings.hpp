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

/// Settings of a control replica, all values checked.
struct control_settings
{
    vm_id vm;
    data_centre_id data_centre;
    /// Where operators reach the replica.
    boost::asio::ip::tcp::endpoint operators;
    /// Where the project's other processes reach the replica.
    boost::asio::ip::tcp::endpoint peers;
    /// Where metrics are read, if anywhere.
    std::optional<boost::asio::ip::tcp::endpoint> metrics;
    /// Name of the control group, equal on all its replicas. Routers refuse a
    /// configuration of another group.
    std::string group_name = "limpet";
    /// The other replicas of the group.
    std::vector<replica_peer> group;
    /// How this replica finds the group where nobody lists its members. Then
    /// replicas are named by their IP number and all use one peers' port.
    struct discovery
    {
        /// Operators' addresses of replicas that may know the group.
        std::vector<boost::asio::ip::tcp::endpoint> seeds;
        /// Whether the whole fleet starts for the first time.
        bool first_start = false;
        /// Time between two signs of life of a backend server.
        duration sign_of_life_period = seconds(1);
    };
    std::optional<discovery> found_by;
    /// Folder for the log and snapshots.
    std::string data_folder;
    log_level log = log_level::info;
    duration drain_timeout = seconds(10);
};

/// Parses the settings' document. Errors name the path and the reason.
outcome<control_settings>
parse_control_settings(const boost::json::value& document);

/// Reads the settings from a file. Errors name the file too.
outcome<control_settings> read_control_settings(const std::string& file);

} // namespace limpet::control

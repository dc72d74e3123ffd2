/// \file
/// Settings of a router.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/log.hpp>
#include <limpet/base/outcome.hpp>
#include <limpet/base/units.hpp>
#include <limpet/membership/router_record.hpp>
#include <limpet/membership/settings.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace limpet::pipeline
{

/// Address of a replica of the control group.
struct control_peer
{
    vm_id vm;
    boost::asio::ip::tcp::endpoint address;
};

/// Validated settings of a router.
struct router_settings
{
    membership::peer self;
    /// Listen address for callers.
    boost::asio::ip::tcp::endpoint callers;
    /// Listen address for backend servers' announcements, and for metrics and
    /// status.
    boost::asio::ip::tcp::endpoint backends;
    /// Listen address for other limpetpoint processes.
    boost::asio::ip::tcp::endpoint peers;
    std::vector<membership::peer> seeds;
    std::vector<control_peer> control;
    /// Folder in which the configuration in force is stored; empty if it is not
    /// stored.
    std::string data_folder;
    std::size_t threads = 2;
    log_level log = log_level::info;
    std::size_t max_callers = 10000;
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    /// Maximum time that a stopping router waits for requests in progress.
    duration drain_timeout = seconds(120);
    /// Capacity of the chat directory for this router's engines, in chats.
    std::size_t directory_chats = 200'000;
    membership::settings membership;
};

/// Parses the settings document. Error messages contain the path of the setting
/// and the reason.
outcome<router_settings>
parse_router_settings(const boost::json::value& document);

/// Reads the settings from a file. Error messages also contain the file name.
outcome<router_settings> read_router_settings(const std::string& file);

} // namespace limpet::pipeline

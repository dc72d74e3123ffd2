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

/// A control replica that the router talks to.
struct control_peer
{
    vm_id vm;
    boost::asio::ip::tcp::endpoint address;
};

/// Settings of a router, all values checked.
struct router_settings
{
    membership::peer self;
    /// Where callers reach the router.
    boost::asio::ip::tcp::endpoint callers;
    /// Where backend servers announce themselves; also metrics and status.
    boost::asio::ip::tcp::endpoint backends;
    /// Where the project's other processes reach the router.
    boost::asio::ip::tcp::endpoint peers;
    std::vector<membership::peer> seeds;
    std::vector<control_peer> control;
    /// Folder for the configuration in force; empty without a disk.
    std::string data_folder;
    std::size_t threads = 2;
    log_level log = log_level::info;
    std::size_t max_callers = 10000;
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    /// Longest time that a stopping router waits for requests in progress.
    duration drain_timeout = seconds(120);
    /// Chats that the directory of this router's engines remembers.
    std::size_t directory_chats = 200'000;
    membership::settings membership;
};

/// Parses the settings' document. Errors name the path and the reason.
outcome<router_settings>
parse_router_settings(const boost::json::value& document);

/// Reads the settings from a file. Errors name the file too.
outcome<router_settings> read_router_settings(const std::string& file);

} // namespace limpet::pipeline

/// \file
/// Announcements by which backend servers register with the routers.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/settings_reader.hpp>
#include <limpet/base/units.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace limpet::membership
{

/// Kind of a backend server.
enum class server_kind : std::uint8_t
{
    engine, ///< Serves models.
    service ///< Plain service addressed by name; its models are its names.
};

/// Returns the kind's name as used in JSON.
std::string_view to_string(server_kind kind) noexcept;

/// Registration, renewal or deregistration that a backend server sends.
struct announcement
{
    engine_id engine;
    /// Identifies the server's process; a later process has a higher value.
    incarnation started;
    data_centre_id data_centre;
    /// Address that requests are sent to, host:port.
    std::string address;
    /// Models of an engine, or the names of a plain service.
    std::vector<model_id> models;
    server_kind kind = server_kind::engine;
    /// Maximum number of concurrent requests of the server.
    std::uint32_t slots = 1;
    /// Whether the server rejects orders with an outdated fencing number.
    bool checks_fencing = false;
    /// Whether the server is shutting down. Final for its incarnation.
    bool leaving = false;
};

/// Parses an announcement from a JSON object. Returns an error that names the
/// field if a value is missing, unknown or exceeds its bound.
outcome<announcement> parse_announcement(const boost::json::value& object);

/// Response to an accepted announcement.
struct announce_result
{
    /// Time after which the server should renew its announcement.
    duration renew_after{};
    /// Time after which the server is removed if it does not renew.
    duration lease{};
    /// Address of the engine's owner, to which renewals should be sent; empty
    /// if unknown.
    std::string owner_address;
};

} // namespace limpet::membership

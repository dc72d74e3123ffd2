/// \file
/// What backend servers tell the routers of themselves.

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

/// What a backend server does.
enum class server_kind : std::uint8_t
{
    engine, ///< Serves models.
    service ///< Plain service reached by name; its models are its names.
};

/// Returns the kind's name as used in JSON.
std::string_view to_string(server_kind kind) noexcept;

/// A backend server's first, repeated or last message about itself.
struct announcement
{
    engine_id engine;
    /// Start of the server's process.
    incarnation started;
    data_centre_id data_centre;
    /// Address that requests are sent to, host:port.
    std::string address;
    /// Models of an engine, or the names of a plain service.
    std::vector<model_id> models;
    server_kind kind = server_kind::engine;
    /// Highest number of requests that the server can run at once.
    std::uint32_t slots = 1;
    /// Whether the server refuses orders with an old fencing number.
    bool checks_fencing = false;
    /// Whether the server is about to stop. Final for its incarnation.
    bool leaving = false;
};

/// Reads an announcement from a JSON object. Lengths and counts are bounded.
outcome<announcement> parse_announcement(const boost::json::value& object);

/// Answer to an accepted announcement.
struct announce_result
{
    /// Time after which the server has to announce itself again.
    duration renew_after{};
    /// Time after which the server is removed unless it renews.
    duration lease{};
    /// Address of the owner, where renewals should go; empty if unknown.
    std::string owner_address;
};

} // namespace limpet::membership

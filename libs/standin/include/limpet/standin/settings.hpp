/// \file
/// Settings of the fake backend servers.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/log.hpp>
#include <limpet/base/outcome.hpp>
#include <limpet/base/units.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/json/value.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace limpet::standin
{

/// How an engine behaves after a start, until it has completed some work.
struct cold_start
{
    /// Requests that a cold engine bears at once, 0 if it starts warm.
    std::uint32_t slots = 0;
    /// Completed requests that raise the number by one.
    std::uint32_t requests_per_slot = 4;
    /// Multiple of the bearable requests at which the engine falls over, 0
    /// for never. Below it, overload only slows all answers.
    double falls_over_at = 0;
    /// Time that it is down after it fell over; then it is cold again.
    duration down_time = seconds(5);
};

/// How late and incomplete an engine's reports are.
struct report_quality
{
    /// Time between load reports, zero for none.
    duration load_period = milliseconds(500);
    /// Age of the reported load.
    duration load_lag{};
    /// Time between batches of cache events, zero for none.
    duration cache_period = milliseconds(500);
    /// Share of load reports and cache events that are lost.
    double loss = 0;
};

/// One fake model engine.
struct engine_settings
{
    std::vector<std::string> models;
    std::uint32_t slots = 8;
    duration token_delay = milliseconds(10);
    duration prefill_token_delay{};
    /// Tokens of an answer whose request sets no limit.
    std::uint32_t answer_tokens = 32;
    token_count cache_limit{100000};
    cold_start start;
    report_quality reports;
};

/// One fake plain service.
struct service_settings
{
    std::vector<std::string> services;
    std::uint32_t slots = 64;
    duration answer_delay{};
};

/// One backend server: an engine or a plain service.
struct server_settings
{
    engine_id id;
    /// Drawn at the start if not set.
    std::optional<incarnation> run;
    data_centre_id data_centre;
    boost::asio::ip::tcp::endpoint listen;
    bool checks_fencing = false;
    std::variant<engine_settings, service_settings> behaviour;
};

/// All backend servers of one process.
struct standin_settings
{
    std::vector<server_settings> servers;
    /// Routers that take announcements; the next one is tried when one fails.
    std::vector<boost::asio::ip::tcp::endpoint> announce_to;
    /// Time between announcements; a router may ask for a shorter one.
    duration renew_period = seconds(1);
    /// Time that a graceful shutdown may take.
    duration drain_limit = seconds(60);
    std::uint64_t seed = 1;
    std::size_t threads = 1;
    log_level lowest_log_level = log_level::info;
};

/// Parses the settings. Errors name the path of the value.
outcome<standin_settings>
parse_standin_settings(const boost::json::value& document);

/// Reads the settings from a file.
outcome<standin_settings> read_standin_settings(const std::string& file);

} // namespace limpet::standin

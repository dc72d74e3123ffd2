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

/// Reduced capacity of an engine after a start, until it has completed enough
/// requests to be warm.
struct cold_start
{
    /// Concurrency limit of a cold engine, 0 if the engine starts warm.
    std::uint32_t slots = 0;
    /// Number of completed requests that raises the concurrency limit by one.
    std::uint32_t requests_per_slot = 4;
    /// Multiple of the concurrency limit above which the engine crashes, 0 for
    /// never. Below it, overload only slows all answers.
    double falls_over_at = 0;
    /// Time for which the engine is down after a crash; it then restarts cold.
    duration down_time = seconds(5);
};

/// Period, delay and loss of an engine's reports.
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
    /// Number of answer tokens if the request does not set max_tokens.
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
    /// Derived from the clock at the start if not set.
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
    /// Routers to announce to; if one fails, the next one is tried.
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

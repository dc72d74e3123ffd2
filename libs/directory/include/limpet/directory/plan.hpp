/// \file
/// Configuration document of a fleet that is configured as a whole: routes,
/// services, tenants and limits under one rising version.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/base/units.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace limpet::directory
{

/// Version of a document. The highest accepted one is in force.
using document_version =
    strong_type<struct document_version_tag, std::uint64_t>;

/// What a route's requests are and so what may be repeated.
enum class request_kind
{
    repeatable,       ///< May run more than once.
    single,           ///< May run at most once.
    stream,           ///< Events; may run at most once.
    resumable_stream, ///< Events; another run may go on after the last one.
};

/// Returns whether a request of the kind may run more than once.
constexpr bool may_repeat(request_kind kind) noexcept
{
    return kind == request_kind::repeatable ||
           kind == request_kind::resumable_stream;
}

/// Returns whether answers of the kind are streams of events.
constexpr bool is_stream(request_kind kind) noexcept
{
    return kind == request_kind::stream ||
           kind == request_kind::resumable_stream;
}

/// A service and the part of a route's requests that it gets.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;
};

/// Where requests of a host and path go, and what they may cost.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    request_kind kind = request_kind::single;
    /// Longest time that a request is kept without its final answer.
    duration timeout = seconds(10);
    /// Time within which an answer is of full use to the caller.
    duration objective = seconds(1);
    /// Rank; 0 is the most urgent.
    unsigned rank = 0;
    /// Most backend servers to which one request is sent.
    unsigned attempts = 1;
    /// Whether requests need no key.
    bool is_anonymous = false;
    /// Whether requests describe their prompt, so that caches count.
    bool has_prompts = false;
    std::vector<weighted_service> services;
};

/// A group of equal backend servers.
struct service
{
    std::string name;
    /// Connections that one server accepts from all routers together.
    std::size_t max_connections = 100;
    /// Time after a start in which a server bears only cold_rate.
    duration cold_time{};
    /// Requests a second that a cold server bears.
    double cold_rate = 0;
    /// Requests that one server runs at once; 0 if not stated.
    std::size_t slots = 0;
    /// Tokens that one server holds for running requests and its cache; 0 if
    /// it is no model engine.
    std::uint64_t memory_tokens = 0;
};

/// A tenant and its keys. Several tenants never share a key.
struct tenant
{
    std::string name;
    std::vector<std::string> keys;
    /// Takes the place of the rank of the route.
    std::optional<unsigned> rank;
};

/// Bounds on what callers may send.
struct caller_limits
{
    std::size_t header_bytes = 16UL * 1024;
    std::size_t body_bytes = 4UL * 1024 * 1024;
    duration header_timeout = seconds(3);
    duration idle_timeout = seconds(15);
};

/// A whole configuration document.
struct plan
{
    document_version version;
    std::vector<route> routes;
    std::map<std::string, service> services;
    std::vector<tenant> tenants;
    caller_limits limits;
};

/// Returns success if the plan can be put in force. Errors name the route,
/// service or tenant and the reason.
status check(const plan& document);

} // namespace limpet::directory

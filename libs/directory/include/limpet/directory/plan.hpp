/// \file
/// Configuration document of a fleet: routes, services, tenants and limits
/// under one increasing version.

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

/// Version of a document. The accepted document with the highest one is in
/// force.
using document_version =
    strong_type<struct document_version_tag, std::uint64_t>;

/// Response type of a route's requests and whether they may be repeated.
enum class request_kind
{
    repeatable,       ///< May run more than once.
    single,           ///< May run at most once.
    stream,           ///< Event stream; may run at most once.
    resumable_stream, ///< Event stream; may resume after the last event sent.
};

/// Returns whether a request of the kind may run more than once.
constexpr bool may_repeat(request_kind kind) noexcept
{
    return kind == request_kind::repeatable ||
           kind == request_kind::resumable_stream;
}

/// Returns whether responses of the kind are event streams.
constexpr bool is_stream(request_kind kind) noexcept
{
    return kind == request_kind::stream ||
           kind == request_kind::resumable_stream;
}

/// A service and its weight among the services of a route.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;
};

/// Services and limits of the requests for a host and path prefix.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    request_kind kind = request_kind::single;
    /// Longest time until the final response.
    duration timeout = seconds(10);
    /// Latency objective: a response that arrives within this time is of full
    /// use to the caller.
    duration objective = seconds(1);
    /// Priority; 0 is the most urgent.
    unsigned rank = 0;
    /// Most backend servers to which one request is sent.
    unsigned attempts = 1;
    /// Whether requests need no API key.
    bool is_anonymous = false;
    /// Whether requests describe their prompt, so that they can be placed by
    /// the contents of prefix caches.
    bool has_prompts = false;
    std::vector<weighted_service> services;
};

/// A group of interchangeable backend servers.
struct service
{
    std::string name;
    /// Connections that one server accepts from all routers together.
    std::size_t max_connections = 100;
    /// Time after its start in which a server is limited to cold_rate.
    duration cold_time{};
    /// Requests per second that a cold server can take.
    double cold_rate = 0;
    /// Requests that one server runs concurrently; 0 if not configured.
    std::size_t slots = 0;
    /// KV-cache capacity of one server in tokens, for running requests and
    /// cached prefixes; 0 if the server is not a model engine.
    std::uint64_t memory_tokens = 0;
};

/// A tenant and its API keys. No two tenants have a key in common.
struct tenant
{
    std::string name;
    std::vector<std::string> keys;
    /// Overrides the priority of the route.
    std::optional<unsigned> rank;
};

/// Limits on callers' requests and connections.
struct caller_limits
{
    std::size_t header_bytes = 16UL * 1024;
    std::size_t body_bytes = 4UL * 1024 * 1024;
    duration header_timeout = seconds(3);
    duration idle_timeout = seconds(15);
};

/// A configuration document.
struct plan
{
    document_version version;
    std::vector<route> routes;
    std::map<std::string, service> services;
    std::vector<tenant> tenants;
    caller_limits limits;
};

/// Validates the plan. Errors: invalid_argument, with the route or tenants
/// concerned and the reason.
status check(const plan& document);

} // namespace limpet::directory

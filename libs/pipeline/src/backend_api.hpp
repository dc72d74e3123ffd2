/// \file
/// HTTP interface towards backend servers and for metrics and status.

#pragma once

#include "fleet.hpp"
#include "owner_service.hpp"
#include "request_metrics.hpp"
#include "shared_directory.hpp"

#include <limpet/http/server.hpp>

#include <functional>
#include <memory>

namespace limpet::pipeline
{

/// Parts that the interface works with.
struct backend_api_parts
{
    std::shared_ptr<wire::link_hub> hub;
    std::shared_ptr<fleet> members;
    std::shared_ptr<owner_service> owners;
    std::shared_ptr<shared_directory> directory;
    std::shared_ptr<request_metrics> metrics;
    std::function<config::view_ptr()> config;
    /// Returns whether the router takes callers' requests.
    std::function<bool()> ready;
};

/// Takes announcements, load reports and cache events, and shows metrics and
/// status. Thread-safe.
class backend_api
{
public:
    explicit backend_api(backend_api_parts parts);

    /// Answers one request.
    boost::asio::awaitable<void> handle(http::exchange& caller);

    /// Returns the answer to a health check, or nothing for other targets.
    std::optional<http::response> health(const http::request& request) const;

private:
    http::response answer(const http::request& request);
    http::response announce(const http::request& request);
    http::response withdraw(const http::request& request);
    http::response take_report(const http::request& request);
    http::response take_cache_events(const http::request& request);
    http::response set_fault(const http::request& request);
    http::response show_metrics() const;
    http::response show_status() const;

    backend_api_parts m_parts;
};

} // namespace limpet::pipeline

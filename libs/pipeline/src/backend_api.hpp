/// \file
/// HTTP interface for backend servers, metrics and status.

#pragma once

#include "membership_service.hpp"
#include "owner_service.hpp"
#include "request_metrics.hpp"
#include "shared_directory.hpp"

#include <limpet/http/server.hpp>

#include <functional>
#include <memory>

namespace limpet::pipeline
{

/// Components that the interface uses.
struct backend_api_parts
{
    std::shared_ptr<wire::link_hub> hub;
    std::shared_ptr<membership_service> members;
    std::shared_ptr<owner_service> owners;
    std::shared_ptr<shared_directory> directory;
    std::shared_ptr<request_metrics> metrics;
    std::function<config::view_ptr()> config;
    /// Returns whether the router accepts callers' requests.
    std::function<bool()> ready;
};

/// Receives announcements, load reports and cache events, and serves metrics
/// and status. Thread-safe.
class backend_api
{
public:
    explicit backend_api(backend_api_parts parts);

    /// Handles one request.
    boost::asio::awaitable<void> handle(http::exchange& caller);

    /// Returns the response to a health check, or nothing for other targets.
    std::optional<http::response> health(const http::request& request) const;

private:
    http::response answer(const http::request& request);
    http::response handle_announcement(const http::request& request);
    http::response handle_withdrawal(const http::request& request);
    http::response handle_load_report(const http::request& request);
    http::response handle_cache_events(const http::request& request);
    http::response set_fault(const http::request& request);
    http::response show_metrics() const;
    http::response show_status() const;

    backend_api_parts m_parts;
};

} // namespace limpet::pipeline

/// \file
/// Operators' HTTP interface of a control replica.

#pragma once

#include "config_source.hpp"
#include "control_state.hpp"

#include <limpet/config/operator_api.hpp>
#include <limpet/http/server.hpp>
#include <limpet/replica/replica.hpp>

namespace limpet::control
{

/// Serves operators' requests at the leader; other replicas reject them with
/// status 503 and name the leader. Not thread-safe.
class operator_service
{
public:
    /// All arguments must outlive the service.
    operator_service(const control_state& state,
                     const config_source& source,
                     replica::replica& log,
                     wire::link_hub& hub);

    /// Handles one request.
    boost::asio::awaitable<void> handle(http::exchange& exchange);

private:
    boost::asio::awaitable<http::response>
    answer_to(const http::request& request);
    boost::asio::awaitable<http::response> submit(const config::command& order);
    boost::asio::awaitable<http::response>
    answer_group(const http::request& request);
    boost::asio::awaitable<http::response>
    change_group(const http::request& request);
    http::response set_fault(const http::request& request);
    http::response show_group() const;
    http::response unavailable(const error& reason) const;
    bool may_change_group(const http::request& request) const;

    const control_state& m_state;
    const config_source& m_source;
    replica::replica& m_log;
    wire::link_hub& m_hub;
};

} // namespace limpet::control

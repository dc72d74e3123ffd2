/// \file
/// Common base of the fake engines and the fake plain services.

#pragma once

#include "prefix_cache.hpp"

#include <limpet/http/server.hpp>
#include <limpet/standin/fault.hpp>
#include <limpet/standin/run_record.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>

namespace limpet::standin
{

/// Load as reported to a router.
struct load_sample
{
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    token_count cached;
};

/// One fake backend server: its request record, its injected faults and the
/// test interface to them. Thread-safe.
class backend_server
{
public:
    virtual ~backend_server() = default;

    /// Answers one request.
    boost::asio::awaitable<void> handle(http::exchange& call);

    /// Returns the current load.
    virtual load_sample load() const = 0;

    /// Returns the chats added to and evicted from the cache since the last
    /// call.
    virtual cache_changes take_cache_changes() = 0;

    run_record& record() noexcept
    {
        return m_record;
    }

    fault_queue& faults() noexcept
    {
        return m_faults;
    }

protected:
    /// Answers a request that is not for the health check or the test
    /// interface.
    virtual boost::asio::awaitable<void> serve(http::exchange& call) = 0;

    /// Resets the server to its state after a cold start.
    virtual void reset_to_cold() = 0;

private:
    std::optional<http::response>
    handle_test_request(const http::request& call);

    run_record m_record;
    fault_queue m_faults;
};

} // namespace limpet::standin

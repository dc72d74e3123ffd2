/// \file
/// What fake engines and fake plain services have in common.

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

/// One fake backend server. Thread-safe.
class backend
{
public:
    virtual ~backend() = default;

    /// Answers one request.
    boost::asio::awaitable<void> handle(http::exchange& call);

    /// Returns the current load.
    virtual load_sample load() const = 0;

    /// Returns what the cache took in and dropped since the last call.
    virtual cache_changes take_cache_changes() = 0;

    run_record& record() noexcept
    {
        return m_record;
    }

    fault_switches& faults() noexcept
    {
        return m_faults;
    }

protected:
    /// Answers a request that is not for the test switches.
    virtual boost::asio::awaitable<void> serve(http::exchange& call) = 0;

    /// Makes the server as cold as after a start.
    virtual void go_cold() = 0;

private:
    std::optional<http::response> use_switches(const http::request& call);

    run_record m_record;
    fault_switches m_faults;
};

} // namespace limpet::standin

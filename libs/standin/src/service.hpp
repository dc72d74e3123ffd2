/// \file
/// Fake plain service.

#pragma once

#include "backend_server.hpp"

#include <limpet/standin/settings.hpp>

#include <atomic>

namespace limpet::standin
{

/// Echoes each request, with the number of requests that were run under its
/// idempotency key.
class service : public backend_server
{
public:
    explicit service(const service_settings& settings);

    load_sample load() const override;
    cache_changes take_cache_changes() override;

protected:
    boost::asio::awaitable<void> serve(http::exchange& call) override;
    void reset_to_cold() override;

private:
    boost::asio::awaitable<run_outcome>
    answer(http::exchange& call, const std::optional<fault>& failure);
    http::response echo(const http::request& call);

    const service_settings m_settings;
    std::atomic<std::uint32_t> m_in_flight = 0;
};

} // namespace limpet::standin

/// \file
/// Fake plain service.

#pragma once

#include "backend.hpp"

#include <limpet/standin/settings.hpp>

#include <atomic>

namespace limpet::standin
{

/// Answers any request with what it received and how often its idempotency
/// key was run.
class service : public backend
{
public:
    explicit service(const service_settings& settings);

    load_sample load() const override;
    cache_changes take_cache_changes() override;

protected:
    boost::asio::awaitable<void> serve(http::exchange& call) override;
    void go_cold() override;

private:
    boost::asio::awaitable<run_outcome>
    answer(http::exchange& call, const std::optional<fault>& failure);
    http::response echo(const http::request& call);

    const service_settings m_settings;
    std::atomic<std::uint32_t> m_in_flight = 0;
};

} // namespace limpet::standin

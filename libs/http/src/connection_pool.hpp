/// \file
/// Kept connections of a client.

#pragma once

#include <limpet/http/client.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace limpet::http
{

/// Idle connections by server, in shards under a lock each. Thread-safe.
class connection_pool
{
public:
    explicit connection_pool(const client_limits& limits);

    const client_limits& limits() const noexcept
    {
        return m_limits;
    }

    /// Returns a connection that was still open a moment ago, the one used
    /// last first, or nothing.
    std::optional<boost::asio::ip::tcp::socket>
    take(const boost::asio::ip::tcp::endpoint& server);

    /// Keeps the connection, or closes it if there are enough.
    void put(const boost::asio::ip::tcp::endpoint& server,
             boost::asio::ip::tcp::socket socket);

private:
    using clock = monotonic_clock;

    struct idle_connection
    {
        boost::asio::ip::tcp::socket socket;
        clock::time_point since;
    };

    struct shard
    {
        std::mutex mutex;
        std::map<boost::asio::ip::tcp::endpoint, std::vector<idle_connection>>
            idle;
    };

    shard& shard_of(const boost::asio::ip::tcp::endpoint& server);
    void drop_expired(std::vector<idle_connection>& idle) const;

    client_limits m_limits;
    std::array<shard, 16> m_shards;
};

} // namespace limpet::http

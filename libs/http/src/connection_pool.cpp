#include "connection_pool.hpp"

#include "transfer.hpp"

#include <algorithm>

namespace limpet::http
{

connection_pool::connection_pool(const client_limits& limits)
    : m_limits(limits)
{
}

std::optional<boost::asio::ip::tcp::socket>
connection_pool::take(const boost::asio::ip::tcp::endpoint& server)
{
    shard& owner = shard_of(server);
    const std::lock_guard lock(owner.mutex);
    const auto found = owner.idle.find(server);
    if (found == owner.idle.end())
    {
        return std::nullopt;
    }
    std::vector<idle_connection>& idle = found->second;
    drop_expired(idle);
    while (!idle.empty())
    {
        boost::asio::ip::tcp::socket socket = std::move(idle.back().socket);
        idle.pop_back();
        // A server says nothing before it is asked: bytes would belong to an
        // earlier request.
        if (peek(socket) == peek_result::nothing)
        {
            return socket;
        }
    }
    owner.idle.erase(found);
    return std::nullopt;
}

void connection_pool::put(const boost::asio::ip::tcp::endpoint& server,
                          boost::asio::ip::tcp::socket socket)
{
    shard& owner = shard_of(server);
    const std::lock_guard lock(owner.mutex);
    std::vector<idle_connection>& idle = owner.idle[server];
    drop_expired(idle);
    if (idle.size() < m_limits.idle_connections_per_endpoint)
    {
        idle.push_back({std::move(socket), clock::now()});
    }
}

connection_pool::shard&
connection_pool::shard_of(const boost::asio::ip::tcp::endpoint& server)
{
    const std::size_t hash =
        std::hash<boost::asio::ip::tcp::endpoint>{}(server);
    return m_shards[hash % m_shards.size()];
}

void connection_pool::drop_expired(std::vector<idle_connection>& idle) const
{
    const clock::time_point oldest = clock::now() - m_limits.idle_timeout;
    const auto fresh = std::find_if(idle.begin(),
                                    idle.end(),
                                    [oldest](const idle_connection& item)
                                    {
                                        return item.since >= oldest;
                                    });
    idle.erase(idle.begin(), fresh);
}

} // namespace limpet::http

/// \file
/// What the connections of one server share.

#pragma once

#include <limpet/base/receive_budget.hpp>
#include <limpet/http/server.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace limpet::http
{

class connection;

/// Limits, handler and counters of a server. Thread-safe; lives as long as
/// the last connection.
class server_core
{
public:
    server_core(const server_limits& limits,
                server::handler handle,
                server::refusal refuse);

    /// Makes the answer to a request that the handler does not see.
    response make_refusal(unsigned status, std::string_view reason) const;

    /// Adds a connection unless the server stops, or the limit is reached and
    /// no other connection gives up its place.
    bool add(const std::shared_ptr<connection>& item);
    void remove(const connection* item);

    /// Stops the server; connections without a request are closed.
    void stop();

    /// Closes connections without a request.
    void close_idle();

    /// Closes all connections.
    void close_all();

    /// Sets the room that the connection's request takes, if there is so much.
    /// Other connections whose requests have stopped arriving may be ended.
    bool resize_request(receive_budget::message_key item, std::size_t bytes);
    /// Records that the connection's request has arrived.
    void complete_request(receive_budget::message_key item);
    void release_request(receive_budget::message_key item);

    /// Counts a request of so many bytes that did not arrive at this server.
    /// Returns null if there is no room, and otherwise what releases it.
    static std::shared_ptr<void>
    claim_memory(const std::shared_ptr<server_core>& core, std::size_t bytes);

    /// Takes one of the few places for connections that are refused with an
    /// answer.
    bool begin_refusal();
    void end_refusal();

    /// Names the server in its log lines. Call before it is used.
    void set_address(std::string address);

    void record_refused_connection();
    server_counts counts() const;

    server_limits limits() const;
    void set_limits(const server_limits& limits);

    const server::handler handle;
    std::atomic<bool> stopping = false;
    /// Whether each answer ends its connection.
    std::atomic<bool> winding_down = false;
    std::atomic<std::size_t> open_requests = 0;
    std::atomic<std::size_t> connections = 0;

private:
    std::vector<std::shared_ptr<connection>> all() const;
    bool find_place();
    void log_counts();
    void end_receiving(const connection* item);

    const server::refusal m_refuse;
    server_limits m_limits;
    std::mutex m_request_mutex;
    receive_budget m_requests;
    std::atomic<std::size_t> m_refusals = 0;
    const std::size_t m_most_refusals;
    std::string m_address;
    std::atomic<std::uint64_t> m_ended_connections = 0;
    std::atomic<std::uint64_t> m_refused_connections = 0;
    std::atomic<std::uint64_t> m_without_memory = 0;
    std::atomic<time_point> m_next_log = time_point{};
    mutable std::mutex m_mutex;
    std::unordered_map<const connection*, std::weak_ptr<connection>> m_open;
};

} // namespace limpet::http

/// \file
/// Linearizable reads at followers.

#pragma once

#include <limpet/replica/replica.hpp>
#include <limpet/wire/call_message.hpp>
#include <limpet/wire/link_hub.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace limpet::control
{

/// Asks the leader for the index of the newest acknowledged entry and waits
/// until this replica has applied it. Large answers are then sent over the link
/// of the replica that was asked instead of all over the leader's. Not
/// thread-safe.
class follower_reads
{
public:
    using callback = std::function<void(status)>;

    /// The replica must outlive the object. `start_ms` is the Unix time of this
    /// process's start in milliseconds.
    follower_reads(boost::asio::io_context& context,
                   replica::replica& log,
                   std::shared_ptr<wire::link_hub> hub,
                   std::uint64_t start_ms);

    /// Calls back once this replica has applied every entry that was
    /// acknowledged before the call. Errors: unavailable.
    void barrier(callback call);

    /// Answers another replica's request for the newest acknowledged index.
    void receive(const vm_id& from, const wire::call& request);

    /// Handles the leader's answer.
    void receive(const wire::reply& answer);

    /// Completes the reads that waited for entries up to the index.
    void on_applied(std::uint64_t index);

private:
    struct pending_read
    {
        callback call;
        std::unique_ptr<boost::asio::steady_timer> timer;
        /// Index to wait for; nullopt until the leader has answered.
        std::optional<std::uint64_t> index;
    };

    void complete(std::uint64_t id, status result);

    boost::asio::io_context& m_context;
    replica::replica& m_log;
    std::shared_ptr<wire::link_hub> m_hub;
    std::map<std::uint64_t, pending_read> m_pending;
    std::uint64_t m_last_id;
};

} // namespace limpet::control

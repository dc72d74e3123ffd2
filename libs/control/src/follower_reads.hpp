/// \file
/// Lets a replica that follows answer reads with the newest state.

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

/// Asks the leader which entry is the newest acknowledged one, and waits until
/// this replica has applied it. Large answers then leave by the link of the
/// replica that was asked, not all by the leader's. Not thread-safe.
class follower_reads
{
public:
    using callback = std::function<void(status)>;

    /// The replica must outlive the object.
    follower_reads(boost::asio::io_context& context,
                   replica::replica& log,
                   std::shared_ptr<wire::link_hub> hub);

    /// Calls back once this replica's state is at least as new as any that was
    /// acknowledged before the call. Errors: unavailable.
    void barrier(callback call);

    /// Answers another replica's question.
    void receive(const vm_id& from, const wire::call& question);

    /// Takes the leader's answer.
    void receive(const wire::reply& answer);

    /// Notes that the entry of the index was applied.
    void applied(std::uint64_t index);

private:
    struct pending
    {
        callback call;
        std::unique_ptr<boost::asio::steady_timer> limit;
        /// Entry to wait for, once the leader has told it.
        std::optional<std::uint64_t> index;
    };

    void finish(std::uint64_t id, status result);

    boost::asio::io_context& m_context;
    replica::replica& m_log;
    std::shared_ptr<wire::link_hub> m_hub;
    std::map<std::uint64_t, pending> m_pending;
    std::uint64_t m_last_id = 0;
};

} // namespace limpet::control

/// \file
/// One attempt to run a request on one engine.

#pragma once

#include "answer_writer.hpp"
#include "membership_service.hpp"
#include "request_context.hpp"

#include <limpet/pipeline/exchange_message.hpp>
#include <limpet/pipeline/mailbox.hpp>
#include <limpet/wire/link_hub.hpp>

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <variant>

namespace limpet::pipeline
{

/// The link to the owner was lost. Messages may have been lost with it.
struct owner_lost
{
};

/// The caller closed its connection.
struct caller_disconnected
{
};

/// A message from the owner and the incarnation of the process that sent it.
struct owner_message
{
    incarnation from;
    exchange_content content;
};

using attempt_event =
    std::variant<owner_message, owner_lost, caller_disconnected>;
using attempt_mailbox = mailbox<attempt_event>;

/// Registry of the exchanges that this router has opened. Thread-safe.
class attempt_registry
{
public:
    /// Registers the mailbox of a new exchange with the owner and returns the
    /// exchange's id.
    exchange_id add(const vm_id& owner,
                    std::shared_ptr<attempt_mailbox> events);
    void remove(exchange_id id);

    /// Passes a message to the mailbox of its exchange. Messages for ended
    /// exchanges, or from a VM other than the exchange's owner, are dropped.
    void deliver(const wire::link_identity& from,
                 exchange_id id,
                 exchange_content content);

    /// Notifies all exchanges with the owner that messages may have been lost.
    void on_peer_lost(const vm_id& owner);

    std::size_t size() const;

private:
    static constexpr std::size_t shard_count = 16;

    struct entry
    {
        vm_id owner;
        std::shared_ptr<attempt_mailbox> events;
    };

    struct shard
    {
        mutable std::mutex mutex;
        std::unordered_map<exchange_id, entry> exchanges;
    };

    shard& shard_of(exchange_id id);

    std::atomic<std::uint64_t> m_next{1};
    std::array<shard, shard_count> m_shards;
};

/// Result of an attempt.
struct attempt_result
{
    finish_result result = finish_result::broken;
    error reason;
    duration retry_after{};
    std::vector<prefix_holder> holders;
    /// Whether the caller has disconnected or a write to it has failed.
    bool caller_lost = false;
};

/// Engine and owner that an attempt is sent to.
struct attempt_target
{
    engine_id engine;
    vm_id owner;
    incarnation owner_start;
    /// Whether this is the request's first attempt.
    bool is_first = false;
    /// Whether the entry router has another engine to try.
    bool may_go_elsewhere = true;
    /// Maximum wait in the queue of the last engine to try.
    duration longest_wait{};
};

/// Opens an exchange with an engine's owner and relays the response to the
/// caller. Runs on the caller's executor.
class attempt
{
public:
    attempt(request_context& context,
            answer_writer& writer,
            attempt_registry& registry,
            wire::link_hub& hub,
            attempt_target target,
            std::shared_ptr<attempt_mailbox> events);
    ~attempt();

    attempt(const attempt&) = delete;
    attempt& operator=(const attempt&) = delete;

    /// Runs the attempt until it ends.
    boost::asio::awaitable<attempt_result> run();

private:
    open_message make_open(time_point now) const;
    status send(exchange_content content);
    boost::asio::awaitable<void> handle_message(owner_message message);
    boost::asio::awaitable<void> handle_head(const head_message& message);
    boost::asio::awaitable<void> handle_part(const part_message& message);
    void handle_finish(const finish_message& message);
    void handle_state(const owner_message& message);
    void handle_timeout(time_point now);
    bool check_sequence(std::uint32_t sequence);
    void fail(finish_result result, error reason);
    void handle_caller_lost(error reason);

    request_context& m_context;
    answer_writer& m_writer;
    attempt_registry& m_registry;
    wire::link_hub& m_hub;
    attempt_target m_target;
    std::shared_ptr<attempt_mailbox> m_events;
    exchange_id m_id;
    std::uint32_t m_next_sequence = 0;
    std::uint32_t m_uncredited = 0;
    bool m_queried = false;
    bool m_cancelled = false;
    std::optional<attempt_result> m_result;
};

} // namespace limpet::pipeline

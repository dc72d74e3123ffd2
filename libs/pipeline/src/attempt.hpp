/// \file
/// One try to run a request on one engine.

#pragma once

#include "answer_writer.hpp"
#include "fleet.hpp"
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

/// The connection to the owner was lost, and with it maybe messages.
struct owner_lost
{
};

/// The caller closed its connection.
struct caller_gone
{
};

/// A message from the owner and the start of the process that sent it.
struct owner_message
{
    incarnation from;
    exchange_content content;
};

using attempt_event = std::variant<owner_message, owner_lost, caller_gone>;
using attempt_mailbox = mailbox<attempt_event>;

/// Exchanges that this router has opened, by id. Thread-safe.
class attempt_registry
{
public:
    /// Returns an id for a new exchange with the owner and registers its
    /// mailbox.
    exchange_id add(const vm_id& owner, std::shared_ptr<attempt_mailbox> box);
    void remove(exchange_id id);

    /// Hands a message to its exchange. One that has ended gets nothing more.
    void deliver(const wire::link_identity& from,
                 exchange_id id,
                 exchange_content content);

    /// Tells all exchanges with the owner that messages may be lost.
    void on_peer_lost(const vm_id& owner);

    std::size_t size() const;

private:
    static constexpr std::size_t shard_count = 16;

    struct entry
    {
        vm_id owner;
        std::shared_ptr<attempt_mailbox> box;
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

/// How a try ended.
struct attempt_result
{
    finish_result result = finish_result::broken;
    error reason;
    duration retry_after{};
    std::vector<chat_hint> holders;
    /// Whether the caller went away or could not be written to.
    bool caller_lost = false;
};

/// Where a try goes.
struct attempt_target
{
    engine_id engine;
    vm_id owner;
    incarnation owner_start;
    /// Whether this is the request's first try.
    bool is_first = false;
    /// Whether the entry router has another engine to try.
    bool may_go_elsewhere = true;
    /// Longest wait at an engine that is the last to try.
    duration longest_wait{};
};

/// Opens an exchange with an engine's owner and passes the answer on to the
/// caller. Runs on the caller's executor.
class attempt
{
public:
    attempt(request_context& context,
            answer_writer& writer,
            attempt_registry& registry,
            wire::link_hub& hub,
            attempt_target target,
            std::shared_ptr<attempt_mailbox> box);
    ~attempt();

    attempt(const attempt&) = delete;
    attempt& operator=(const attempt&) = delete;

    /// Runs the try to its end.
    boost::asio::awaitable<attempt_result> run();

private:
    open_message make_open(time_point now) const;
    status send(exchange_content content);
    boost::asio::awaitable<void> take(owner_message message);
    boost::asio::awaitable<void> take_head(const head_message& message);
    boost::asio::awaitable<void> take_part(const part_message& message);
    void take_finish(const finish_message& message);
    void take_state(const owner_message& message);
    void take_silence(time_point now);
    bool in_sequence(std::uint32_t sequence);
    void fail(finish_result result, error reason);
    void lose_caller(error reason);

    request_context& m_context;
    answer_writer& m_writer;
    attempt_registry& m_registry;
    wire::link_hub& m_hub;
    attempt_target m_target;
    std::shared_ptr<attempt_mailbox> m_box;
    exchange_id m_id;
    std::uint32_t m_next_sequence = 0;
    std::uint32_t m_uncredited = 0;
    bool m_queried = false;
    bool m_cancelled = false;
    std::optional<attempt_result> m_result;
};

} // namespace limpet::pipeline

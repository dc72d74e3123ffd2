/// \file
/// One exchange at the owner of its engine.

#pragma once

#include <limpet/http/client.hpp>
#include <limpet/http/event_splitter.hpp>
#include <limpet/pipeline/exchange_message.hpp>
#include <limpet/wire/link_hub.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <functional>
#include <memory>
#include <string>

namespace limpet::pipeline
{

/// Where and how a request is sent to its engine.
struct dispatch_target
{
    boost::asio::ip::tcp::endpoint address;
    fencing_number fencing;
    /// Whether the engine refuses a request with an old fencing number.
    bool checks_fencing = false;
    /// Whether the answer must carry the request's id.
    bool must_echo_request = true;
};

/// How a dispatched request ended, for the engine's limits.
struct served_result
{
    /// Output tokens relayed.
    std::uint64_t events = 0;
    bool failed = false;
};

/// Runs one request on an engine and relays the answer to the entry router,
/// no faster than the entry router takes it. All members but the constructor
/// and the post_ functions run on the exchange's strand.
class served_exchange : public std::enable_shared_from_this<served_exchange>
{
public:
    served_exchange(boost::asio::io_context& context,
                    std::shared_ptr<wire::link_hub> hub,
                    std::shared_ptr<http::client> client,
                    wire::link_identity entry,
                    exchange_id id,
                    open_message open);

    const wire::link_identity& entry() const noexcept
    {
        return m_entry;
    }

    const open_message& open() const noexcept
    {
        return m_open;
    }

    /// Returns the id under which the engine's dispatcher knows the exchange.
    const request_id& key() const noexcept
    {
        return m_key;
    }

    /// Runs the request and calls on_first_token once, before the first part
    /// is sent.
    boost::asio::awaitable<served_result>
    run(dispatch_target target, std::function<void()> on_first_token);

    /// Returns the executor of run().
    boost::asio::any_io_executor executor() const
    {
        return m_strand;
    }

    /// Allows further bytes. Thread-safe.
    void post_credit(std::uint32_t bytes);

    /// Ends the request; the entry router has given it up. Thread-safe.
    void post_cancel();

    /// Sends the last message of an exchange that was not dispatched.
    /// Thread-safe.
    void finish_not_run(error reason,
                        duration retry_after,
                        std::vector<chat_hint> holders);

private:
    using strand = boost::asio::strand<boost::asio::io_context::executor_type>;

    http::request make_request(const dispatch_target& target) const;
    status check_head(const dispatch_target& target,
                      const http::response_head& head) const;
    boost::asio::awaitable<finish_message> relay_answer();
    boost::asio::awaitable<finish_message> relay_events();
    boost::asio::awaitable<finish_message> relay_bytes();
    boost::asio::awaitable<status> send_part(part_message part);
    void note_first_token();
    void send(exchange_content content);
    void send_finish(finish_message message);

    strand m_strand;
    std::shared_ptr<wire::link_hub> m_hub;
    std::shared_ptr<http::client> m_client;
    wire::link_identity m_entry;
    exchange_id m_id;
    open_message m_open;
    request_id m_key;
    http::send_canceller m_canceller;
    std::unique_ptr<http::response_stream> m_answer;
    std::function<void()> m_on_first_token;
    boost::asio::steady_timer m_credit_signal;
    std::int64_t m_credit;
    std::uint32_t m_sequence = 0;
    std::uint64_t m_events = 0;
    bool m_cancelled = false;
};

/// Returns the id under which dispatchers know the exchange.
request_id make_exchange_key(const wire::link_identity& entry, exchange_id id);

/// Bytes that an owner may send before the entry router allows more.
inline constexpr std::int64_t initial_credit_bytes = 256 * 1024;

} // namespace limpet::pipeline

/// \file
/// One exchange at the router that owns its engine.

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

/// Address and options for sending a request to its engine.
struct dispatch_target
{
    boost::asio::ip::tcp::endpoint address;
    fencing_number fencing;
    /// Whether the engine rejects requests with an outdated fencing number.
    bool checks_fencing = false;
    /// Whether the response must contain the request's id.
    bool must_echo_request = true;
};

/// Result of a dispatched request, used to adapt the engine's limit.
struct served_result
{
    /// Number of output tokens relayed.
    std::uint64_t events = 0;
    bool failed = false;
};

/// Runs one request on an engine and relays the response to the entry router
/// with credit-based flow control. All members except the constructor, the
/// post_ functions and finish_not_run() must be called on the exchange's
/// strand.
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

    /// Returns the id of the exchange in the engine's dispatcher.
    const request_id& key() const noexcept
    {
        return m_key;
    }

    /// Runs the request. Calls `on_first_token` at most once, before the first
    /// part of the response is sent.
    boost::asio::awaitable<served_result>
    run(dispatch_target target, std::function<void()> on_first_token);

    /// Returns the executor of run().
    boost::asio::any_io_executor executor() const
    {
        return m_strand;
    }

    /// Adds flow-control credit. Thread-safe.
    void post_credit(std::uint32_t bytes);

    /// Cancels the request on behalf of the entry router. Thread-safe.
    void post_cancel();

    /// Sends the finish message of an exchange that was not dispatched.
    /// Thread-safe.
    void finish_not_run(error reason,
                        duration retry_after,
                        std::vector<prefix_holder> holders);

private:
    using strand = boost::asio::strand<boost::asio::io_context::executor_type>;

    http::request make_request(const dispatch_target& target) const;
    /// Returns an error if the response may belong to another request.
    status check_id(const dispatch_target& target,
                    const http::response_head& head) const;
    status check_status(unsigned code) const;
    boost::asio::awaitable<finish_message> relay_answer();
    boost::asio::awaitable<finish_message> relay_events();
    boost::asio::awaitable<finish_message> relay_bytes();
    boost::asio::awaitable<status> send_part(part_message part);
    void notify_first_token();
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

/// Returns the id of an exchange in the dispatchers.
request_id make_exchange_key(const wire::link_identity& entry, exchange_id id);

/// Bytes that an owner may send before it receives the first credit from the
/// entry router.
inline constexpr std::int64_t initial_credit_bytes = 256 * 1024;

} // namespace limpet::pipeline

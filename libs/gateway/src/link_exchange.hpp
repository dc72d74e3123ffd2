/// \file
/// A request of another router's caller, whose response goes over the link.

#pragma once

#include <limpet/http/server.hpp>
#include <limpet/pipeline/exchange_message.hpp>

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace limpet::gateway
{

/// Bytes of a response that may be on their way to the router that handed the
/// request over, before it confirms that its caller took some.
inline constexpr std::int64_t handover_credit_bytes = 64 * 1024;

/// Used on one thread.
class link_exchange final : public http::exchange
{
public:
    /// Sends a message to the router that handed the request over.
    using send_function = std::function<void(pipeline::exchange_content)>;
    /// Counts memory that the request takes. Returns false if there is none.
    using memory_function = std::function<bool(std::size_t bytes)>;

    link_exchange(const boost::asio::any_io_executor& executor,
                  http::request received,
                  send_function send,
                  memory_function add_memory);

    const http::request& received() const override
    {
        return m_received;
    }

    boost::asio::awaitable<status> respond(http::response answer) override;
    boost::asio::awaitable<status>
    begin_stream(http::response_head head) override;
    boost::asio::awaitable<status> write(std::string_view bytes) override;
    boost::asio::awaitable<status> end_stream() override;
    void cut_off() override;
    void on_caller_gone(std::function<void()> call) override;
    bool add_memory(std::size_t bytes) override
    {
        return m_add_memory(bytes);
    }
    std::optional<time_point> blocked_since() const override
    {
        return m_blocked_since;
    }

    /// Allows to send more bytes.
    void add_credit(std::uint32_t bytes);

    /// Handles the end of the request at the other router, or the loss of the
    /// link to it.
    void cancel();

    /// Sends the end of the response.
    void finish();

    /// Sends the end of a request that has not run and will not run.
    void finish_not_run(error reason);

private:
    void send_finish(pipeline::finish_result result, error reason);

    http::request m_received;
    send_function m_send;
    memory_function m_add_memory;
    boost::asio::steady_timer m_credit_signal;
    std::int64_t m_credit = handover_credit_bytes;
    std::uint32_t m_sequence = 0;
    /// Since when it waits to be allowed to send more bytes.
    std::optional<time_point> m_blocked_since;
    pipeline::finish_result m_result = pipeline::finish_result::broken;
    std::function<void()> m_on_caller_gone;
    bool m_is_cancelled = false;
};

} // namespace limpet::gateway

/// \file
/// Client side of one request and its answer.

#pragma once

#include "connection_pool.hpp"
#include "deadline.hpp"
#include "server_check.hpp"
#include "text_body.hpp"
#include "transfer.hpp"

#include <limpet/http/client.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace limpet::http
{

/// Sends one request over one connection and reads its answer. Used on one
/// executor.
class received_response : public response_stream
{
public:
    received_response(std::shared_ptr<connection_pool> pool,
                      const boost::asio::ip::tcp::endpoint& server,
                      boost::asio::ip::tcp::socket socket,
                      const boost::asio::any_io_executor& executor,
                      bool is_first,
                      bool head_only);
    ~received_response() override;

    /// Connects a new socket.
    boost::asio::awaitable<std::optional<request_failure>> connect();

    /// Writes the request and reads the head of its answer.
    boost::asio::awaitable<std::optional<request_failure>>
    send(std::string_view head, std::string_view body, duration head_timeout);

    const response_head& head() const override;
    body_delimiter delimiter() const override;
    bool is_first_on_connection() const override;
    boost::asio::awaitable<outcome<std::optional<std::string>>>
    read_some() override;
    void set_read_timeout(duration timeout) override;
    void cancel() override;

private:
    using parser = boost::beast::http::response_parser<text_body>;

    boost::asio::awaitable<std::optional<error>>
    write_request(std::string_view head, std::string_view body);
    boost::asio::awaitable<std::optional<error>> read_head();
    /// Checks what delimits the body and parses what has arrived of it.
    std::optional<error> begin_body();
    /// Parses what has arrived, or reads more if that is not enough.
    boost::asio::awaitable<std::optional<error>> advance();
    std::optional<error> parse();
    /// Takes the regular end of the connection for that of the body if that
    /// may be.
    boost::asio::awaitable<std::optional<error>> end_of_connection();
    bool is_interim() const;
    bool may_be_followed_by_bytes() const;
    void reset_parser();
    void copy_head();
    /// Returns the connection to the pool, or closes it, if the answer is
    /// whole.
    void release();
    error failed(const boost::system::error_code& failure);

    std::shared_ptr<connection_pool> m_pool;
    boost::asio::ip::tcp::endpoint m_server;
    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<deadline> m_deadline;
    boost::beast::flat_buffer m_buffer;
    std::optional<parser> m_parser;
    response_head m_head;
    body_delimiter m_delimiter = body_delimiter::length;
    duration m_read_timeout;
    std::optional<error> m_error;
    bool m_is_first;
    bool m_head_only;
    bool m_sent = false;
    bool m_has_head = false;
    bool m_released = false;
    /// Whether the server has closed the connection.
    bool m_has_ended = false;
    bool m_cancelled = false;
    /// The check of the server after its answer, while it runs.
    server_check* m_check = nullptr;
};

} // namespace limpet::http

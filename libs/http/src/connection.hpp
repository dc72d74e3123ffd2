/// \file
/// Server side of one connection.

#pragma once

#include "connection_places.hpp"
#include "deadline.hpp"
#include "server_core.hpp"
#include "transfer.hpp"

#include <limpet/http/server.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace limpet::http
{

/// Receives requests one after the other and sends their answers. All calls
/// are made on the socket's executor, a strand.
class connection : public exchange,
                   public std::enable_shared_from_this<connection>
{
public:
    connection(boost::asio::ip::tcp::socket socket,
               std::shared_ptr<server_core> core);
    ~connection() override;

    /// Serves requests until one side ends the connection.
    boost::asio::awaitable<void> run();

    boost::asio::any_io_executor executor()
    {
        return m_socket.get_executor();
    }

    /// Answers that there are too many connections and closes. In place of
    /// run.
    boost::asio::awaitable<void> run_refusal();

    /// Closes the socket. Thread-safe.
    void post_close();

    /// Refuses the request that is being received, as others need the memory
    /// of its body. Thread-safe.
    void post_end_receiving();

    /// Closes the socket unless a request has begun. Thread-safe.
    void post_close_if_idle();

    /// Refuses the request that is being received, or that may be on its way,
    /// and ends the connection, as others need its place. Thread-safe.
    void post_give_up_place();

    /// Returns what the connection is occupied with. Thread-safe.
    connection_activity activity() const
    {
        return m_activity.now();
    }

    const request& received() const override;
    boost::asio::awaitable<status> respond(response answer) override;
    boost::asio::awaitable<status> begin_stream(response_head head) override;
    boost::asio::awaitable<status> write(std::string_view bytes) override;
    boost::asio::awaitable<status> end_stream() override;
    void cut_off() override;
    void on_caller_gone(std::function<void()> call) override;
    bool add_memory(std::size_t bytes) override;
    std::optional<time_point> blocked_since() const override;

private:
    enum class answer_state
    {
        none,
        streaming,
        complete,
    };

    /// Why a request could not be received.
    struct receive_failure
    {
        /// Status to answer with, or 0 to close without an answer.
        unsigned status = 0;
        std::string_view reason;
    };

    void close();
    boost::asio::awaitable<bool> wait_for_request();
    boost::asio::awaitable<std::optional<receive_failure>> receive();
    receive_failure read_failure() const;
    boost::asio::awaitable<void> handle();
    boost::asio::awaitable<void> refuse(receive_failure failure);
    boost::asio::awaitable<void> send_continue();
    boost::asio::awaitable<void> close_after_answer();
    boost::asio::awaitable<status> send(write_parts parts);
    status state_error(std::string_view reason) const;
    std::string head_of(const response& answer) const;
    void append_connection_field(std::string& text) const;
    bool keep_memory(std::size_t request_bytes);
    void drop_request();
    void give_up_place();
    void release_spare_memory();
    void watch_caller();
    void on_readable();
    void take_early_bytes();
    void caller_gone();

    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<server_core> m_core;
    std::shared_ptr<deadline> m_deadline;
    boost::beast::flat_buffer m_buffer;
    activity_monitor m_activity;
    request m_request;
    /// Memory that m_request takes, and what the handler keeps for it.
    std::size_t m_request_bytes = 0;
    std::function<void()> m_on_gone;
    answer_state m_answer = answer_state::none;
    /// Whether the server's budget holds the request.
    bool m_has_memory = false;
    bool m_idle = true;
    bool m_is_receiving = false;
    /// Whether the request has to yield its memory.
    bool m_is_evicted = false;
    /// Whether the connection ends as others need its place.
    bool m_gives_up_place = false;
    bool m_keep_alive = true;
    bool m_chunked = true;
    bool m_head_only = false;
    bool m_watching = false;
    bool m_gone = false;
};

} // namespace limpet::http

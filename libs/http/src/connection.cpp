#include "connection.hpp"

#include "head_text.hpp"
#include "request_parser.hpp"

#include <limpet/base/log.hpp>

#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>

#include <exception>

namespace limpet::http
{

namespace
{

constexpr std::size_t read_bytes = 4096;
/// A caller that sends further requests early waits once they fill this much.
constexpr std::size_t early_bytes = 16UL * 1024;
/// Most bytes taken from a caller that still sends after a refusal.
constexpr std::size_t linger_bytes = 16UL * 1024 * 1024;
constexpr duration linger_timeout = seconds(2);
/// Memory of a request that is part of what each connection takes: one read and
/// a head of usual size.
constexpr std::size_t uncounted_bytes = 5UL * 1024;
constexpr std::string_view no_memory = "other requests take all memory";
constexpr std::string_view no_place = "other requests need the connection";

boost::asio::const_buffer to_buffer(std::string_view bytes)
{
    return {bytes.data(), bytes.size()};
}

unsigned status_of(const boost::system::error_code& failure)
{
    using boost::beast::http::error;
    if (failure == error::header_limit || failure == error::buffer_overflow)
    {
        return 431;
    }
    return failure == error::body_limit ? 413 : 400;
}

std::string_view reason_of(unsigned status)
{
    switch (status)
    {
    case 408:
        return "the request took too long to arrive";
    case 413:
        return "the body is too large";
    case 431:
        return "the header fields are too large";
    case 501:
        return "the method or the transfer coding is not supported";
    default:
        return "the request is malformed";
    }
}

} // namespace

connection::connection(boost::asio::ip::tcp::socket socket,
                       std::shared_ptr<server_core> core)
    : m_socket(std::move(socket)),
      m_core(std::move(core)),
      m_deadline(std::make_shared<deadline>(m_socket.get_executor(), m_socket)),
      m_buffer(m_core->limits().header_bytes + early_bytes)
{
}

connection::~connection()
{
    drop_request();
    m_core->remove(this);
}

boost::asio::awaitable<void> connection::run()
{
    prepare(m_socket);
    while (co_await wait_for_request())
    {
        m_is_receiving = true;
        const std::optional<receive_failure> failure = co_await receive();
        m_is_receiving = false;
        if (failure)
        {
            drop_request();
            co_await refuse(*failure);
            break;
        }
        if (m_buffer.size() == 0)
        {
            m_buffer.shrink_to_fit();
        }
        co_await handle();
        if (m_answer != answer_state::complete || !m_keep_alive ||
            m_core->winding_down)
        {
            break;
        }
    }
    if (m_gives_up_place && m_answer == answer_state::none)
    {
        // Answers a request that may be on its way.
        const receive_failure failure{408, no_place};
        co_await refuse(failure);
    }
    if (m_answer == answer_state::complete)
    {
        co_await close_after_answer();
    }
    close();
}

boost::asio::awaitable<void> connection::run_refusal()
{
    prepare(m_socket);
    const receive_failure failure{503, "there are too many connections"};
    co_await refuse(failure);
    co_await close_after_answer();
    close();
    m_core->end_refusal();
}

void connection::post_close()
{
    m_activity.set_closed();
    boost::asio::post(m_socket.get_executor(),
                      [self = shared_from_this()]
                      {
                          self->caller_gone();
                      });
}

void connection::post_end_receiving()
{
    boost::asio::post(m_socket.get_executor(),
                      [self = shared_from_this()]
                      {
                          if (self->m_is_receiving)
                          {
                              self->m_is_evicted = true;
                              boost::system::error_code ignored;
                              self->m_socket.cancel(ignored);
                          }
                      });
}

void connection::post_give_up_place()
{
    m_activity.set_yielding(true);
    boost::asio::post(m_socket.get_executor(),
                      [self = shared_from_this()]
                      {
                          self->give_up_place();
                      });
}

void connection::give_up_place()
{
    boost::system::error_code ignored;
    switch (m_activity.now().phase)
    {
    case connection_phase::waiting:
        if (m_idle && peek(m_socket) != peek_result::data)
        {
            m_gives_up_place = true;
            m_socket.cancel(ignored);
            return;
        }
        break;
    case connection_phase::receiving:
        m_gives_up_place = true;
        m_socket.cancel(ignored);
        return;
    case connection_phase::writing:
        caller_gone();
        return;
    case connection_phase::handling:
    case connection_phase::closing:
        break;
    }
    // It has gone on meanwhile.
    m_activity.set_yielding(false);
}

void connection::post_close_if_idle()
{
    boost::asio::post(m_socket.get_executor(),
                      [self = shared_from_this()]
                      {
                          // Ends the wait for a request, unless one has
                          // arrived, be it in the socket or already read.
                          if (self->m_idle &&
                              peek(self->m_socket) != peek_result::data)
                          {
                              boost::system::error_code ignored;
                              self->m_socket.cancel(ignored);
                          }
                      });
}

void connection::close()
{
    m_deadline->detach();
    boost::system::error_code ignored;
    if (m_answer == answer_state::streaming && !m_chunked)
    {
        // The caller takes a regular end of the connection for the body's.
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    m_socket.close(ignored);
}

boost::asio::awaitable<bool> connection::wait_for_request()
{
    m_idle = true;
    m_gives_up_place = false;
    m_answer = answer_state::none;
    m_activity.begin(connection_phase::waiting);
    if (m_buffer.size() == 0)
    {
        release_spare_memory();
        if (m_core->stopping)
        {
            co_return false;
        }
        // Closing would lose a request that was read at the same moment.
        m_deadline->cancels_after(m_core->limits().idle_timeout);
        const auto failure = co_await read_more(m_socket, m_buffer, read_bytes);
        if (failure)
        {
            co_return false;
        }
    }
    m_idle = false;
    m_gives_up_place = false;
    co_return true;
}

boost::asio::awaitable<std::optional<connection::receive_failure>>
connection::receive()
{
    const server_limits limits = m_core->limits();
    const time_point begun = monotonic_clock::now();
    m_deadline->cancels_after(limits.head_timeout);
    m_activity.begin(connection_phase::receiving);
    m_buffer.max_size(limits.header_bytes + early_bytes);
    request_parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser.body_limit(limits.body_bytes);
    bool has_head = false;
    bool continued = false;
    while (!parser.is_done())
    {
        boost::system::error_code failure;
        const std::size_t used = parser.put(m_buffer.data(), failure);
        m_buffer.consume(used);
        m_activity.add_progress(used);
        if (failure && failure != boost::beast::http::error::need_more)
        {
            const unsigned status = status_of(failure);
            co_return receive_failure{status, reason_of(status)};
        }
        if (!has_head && parser.is_header_done())
        {
            has_head = true;
            const unsigned status = parser.framing_status();
            if (status != 0)
            {
                co_return receive_failure{status, reason_of(status)};
            }
            parser.eager(true);
            const duration used_up = monotonic_clock::now() - begun;
            m_deadline->cancels_after(limits.receive_timeout - used_up);
            if (m_buffer.size() > 0)
            {
                continue;
            }
        }
        release_spare_memory();
        if (!parser.is_done())
        {
            if (m_buffer.size() + read_bytes > m_buffer.max_size())
            {
                co_return receive_failure{431, reason_of(431)};
            }
            // Lets the buffer grow now, so that it counts with its new size.
            m_buffer.prepare(read_bytes);
        }
        if (m_is_evicted || !keep_memory(parser.memory_bytes()))
        {
            co_return receive_failure{503, no_memory};
        }
        if (parser.is_done())
        {
            break;
        }
        if (!continued && parser.is_header_done() && parser.expects_continue())
        {
            continued = true;
            co_await send_continue();
        }
        failure = co_await read_more(m_socket, m_buffer, read_bytes);
        if (failure)
        {
            co_return read_failure();
        }
    }
    m_deadline->expires_never();
    m_keep_alive = parser.keep_alive();
    m_chunked = parser.version() >= 11;
    m_request_bytes = parser.memory_bytes();
    m_request = parser.take();
    m_head_only = m_request.method == "HEAD";
    m_core->complete_request(this);
    co_return std::nullopt;
}

connection::receive_failure connection::read_failure() const
{
    if (m_is_evicted)
    {
        return {503, no_memory};
    }
    if (m_gives_up_place)
    {
        return {503, no_place};
    }
    if (m_deadline->has_cancelled())
    {
        return {408, reason_of(408)};
    }
    return {0, "the connection ended within a request"};
}

boost::asio::awaitable<void> connection::send_continue()
{
    constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
    write_parts parts;
    parts[0] = to_buffer(text);
    const server_limits limits = m_core->limits();
    co_await write_all(m_socket, *m_deadline, limits.write_timeout, parts);
    m_deadline->cancels_after(limits.receive_timeout);
}

boost::asio::awaitable<void> connection::handle()
{
    ++m_core->open_requests;
    m_activity.begin(connection_phase::handling);
    m_gone = false;
    try
    {
        co_await m_core->handle(*this);
    }
    catch (const std::exception& failure)
    {
        log_event(log_level::error,
                  "handler.failed",
                  {{"target", m_request.target}, {"reason", failure.what()}});
    }
    m_on_gone = nullptr;
    if (m_answer == answer_state::none && !m_gone)
    {
        response answer =
            m_core->make_refusal(500, "the request could not be handled");
        co_await respond(std::move(answer));
    }
    --m_core->open_requests;
    drop_request();
}

boost::asio::awaitable<void> connection::refuse(receive_failure failure)
{
    if (failure.status == 0)
    {
        co_return;
    }
    m_keep_alive = false;
    m_head_only = false;
    response answer = m_core->make_refusal(failure.status, failure.reason);
    co_await respond(std::move(answer));
}

boost::asio::awaitable<void> connection::close_after_answer()
{
    // Closing while bytes of the caller are unread would reset the
    // connection, which can destroy the answer on its way.
    m_activity.begin(connection_phase::closing);
    boost::system::error_code failure;
    m_socket.shutdown(boost::asio::socket_base::shutdown_send, failure);
    m_deadline->expires_after(linger_timeout);
    std::size_t taken = 0;
    while (!failure && taken < linger_bytes)
    {
        taken += m_buffer.size();
        m_buffer.clear();
        release_spare_memory();
        failure = co_await read_more(m_socket, m_buffer, read_bytes);
    }
}

const request& connection::received() const
{
    return m_request;
}

boost::asio::awaitable<status> connection::respond(response answer)
{
    if (m_answer != answer_state::none)
    {
        co_return state_error("an answer was begun before");
    }
    const std::string head = head_of(answer);
    write_parts parts;
    parts[0] = to_buffer(head);
    if (!m_head_only)
    {
        parts[1] = to_buffer(answer.body);
    }
    m_answer = answer_state::streaming;
    status result = co_await send(parts);
    if (is_ok(result))
    {
        m_answer = answer_state::complete;
    }
    co_return result;
}

boost::asio::awaitable<status> connection::begin_stream(response_head head)
{
    if (m_answer != answer_state::none)
    {
        co_return state_error("an answer was begun before");
    }
    // Without chunks the end of the connection marks the end of the body.
    m_keep_alive = m_keep_alive && m_chunked;
    std::string text = status_text(head);
    append_connection_field(text);
    if (m_chunked)
    {
        append_field(text, "Transfer-Encoding", "chunked");
    }
    text += "\r\n";
    write_parts parts;
    parts[0] = to_buffer(text);
    m_answer = answer_state::streaming;
    status result = co_await send(parts);
    co_return result;
}

boost::asio::awaitable<status> connection::write(std::string_view bytes)
{
    if (m_answer != answer_state::streaming)
    {
        co_return state_error("no stream is open");
    }
    if (bytes.empty() || m_head_only)
    {
        co_return success();
    }
    const std::string line = m_chunked ? chunk_line(bytes.size()) : "";
    write_parts parts;
    parts[0] = to_buffer(line);
    parts[1] = to_buffer(bytes);
    if (m_chunked)
    {
        parts[2] = to_buffer("\r\n");
    }
    status result = co_await send(parts);
    co_return result;
}

boost::asio::awaitable<status> connection::end_stream()
{
    if (m_answer != answer_state::streaming)
    {
        co_return state_error("no stream is open");
    }
    write_parts parts;
    if (m_chunked && !m_head_only)
    {
        parts[0] = to_buffer("0\r\n\r\n");
    }
    status result = co_await send(parts);
    if (is_ok(result))
    {
        m_answer = answer_state::complete;
    }
    co_return result;
}

void connection::cut_off()
{
    m_on_gone = nullptr;
    caller_gone();
}

void connection::on_caller_gone(std::function<void()> call)
{
    m_on_gone = std::move(call);
    if (m_on_gone && m_gone)
    {
        caller_gone();
        return;
    }
    if (m_on_gone)
    {
        watch_caller();
    }
}

boost::asio::awaitable<status> connection::send(write_parts parts)
{
    if (m_gone)
    {
        co_return error{error_code::cancelled, "the caller has gone"};
    }
    m_activity.begin(connection_phase::writing);
    const write_result result =
        co_await write_all(m_socket,
                           *m_deadline,
                           m_core->limits().write_timeout,
                           parts,
                           [this](std::size_t count)
                           {
                               m_activity.add_progress(count);
                           });
    m_activity.begin(connection_phase::handling);
    if (!result.failure)
    {
        co_return success();
    }
    const error reason = transfer_error(result.failure, *m_deadline);
    caller_gone();
    co_return reason;
}

status connection::state_error(std::string_view reason) const
{
    return error{error_code::internal, std::string(reason)};
}

std::string connection::head_of(const response& answer) const
{
    std::string text = status_text(answer.head);
    append_connection_field(text);
    append_field(text, "Content-Length", std::to_string(answer.body.size()));
    text += "\r\n";
    return text;
}

void connection::append_connection_field(std::string& text) const
{
    if (!m_keep_alive || m_core->winding_down)
    {
        append_field(text, "Connection", "close");
    }
    else if (!m_chunked)
    {
        append_field(text, "Connection", "keep-alive");
    }
}

bool connection::add_memory(std::size_t bytes)
{
    const bool has_room = keep_memory(m_request_bytes + bytes);
    m_request_bytes += has_room ? bytes : 0;
    return has_room;
}

std::optional<time_point> connection::blocked_since() const
{
    const connection_activity activity = m_activity.now();
    return activity.phase == connection_phase::writing
               ? std::optional(activity.progressed)
               : std::nullopt;
}

/// Records that the request takes so many bytes besides those that are not
/// parsed yet. Returns false if there is no room for them.
bool connection::keep_memory(std::size_t request_bytes)
{
    const std::size_t bytes = request_bytes + m_buffer.capacity();
    if (bytes <= uncounted_bytes && !m_has_memory)
    {
        return true;
    }
    m_has_memory = true;
    return m_core->resize_request(this, bytes);
}

void connection::drop_request()
{
    m_request = {};
    m_request_bytes = 0;
    if (std::exchange(m_has_memory, false))
    {
        m_core->release_request(this);
    }
}

void connection::release_spare_memory()
{
    if (m_buffer.size() == 0 && m_buffer.capacity() > read_bytes)
    {
        m_buffer.shrink_to_fit();
    }
}

void connection::watch_caller()
{
    if (m_watching)
    {
        return;
    }
    m_watching = true;
    m_socket.async_wait(
        boost::asio::socket_base::wait_read,
        [self = shared_from_this()](const boost::system::error_code& failure)
        {
            self->m_watching = false;
            if (!failure)
            {
                self->on_readable();
            }
        });
}

void connection::on_readable()
{
    if (!m_on_gone)
    {
        return;
    }
    switch (peek(m_socket))
    {
    case peek_result::closed:
        caller_gone();
        return;
    case peek_result::nothing:
        watch_caller();
        return;
    case peek_result::data:
        take_early_bytes();
        return;
    }
}

void connection::take_early_bytes()
{
    const std::size_t room = m_buffer.max_size() - m_buffer.size();
    if (room < read_bytes)
    {
        return;
    }
    const auto space = m_buffer.prepare(read_bytes);
    if (!keep_memory(m_request_bytes))
    {
        // The bytes stay in the socket.
        m_buffer.shrink_to_fit();
        return;
    }
    boost::system::error_code failure;
    m_buffer.commit(m_socket.read_some(space, failure));
    watch_caller();
}

void connection::caller_gone()
{
    m_gone = true;
    m_keep_alive = false;
    close();
    // The call may replace itself.
    const std::function<void()> call = std::exchange(m_on_gone, nullptr);
    if (call)
    {
        call();
    }
}

} // namespace limpet::http

#include "received_response.hpp"

#include "framing.hpp"
#include "head_text.hpp"

#include <limpet/http/silence.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace limpet::http
{

namespace
{

constexpr auto as_result = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr std::size_t read_bytes = 4096;
constexpr unsigned max_interim_answers = 8;
/// Any other status is none: the parser takes three digits of any value.
constexpr unsigned lowest_status = 100;
constexpr unsigned highest_status = 599;
constexpr unsigned switching_protocols = 101;
constexpr unsigned no_content = 204;
/// The first version of HTTP with transfer codings.
constexpr unsigned version_with_codings = 11;

boost::asio::const_buffer to_buffer(std::string_view bytes)
{
    return {bytes.data(), bytes.size()};
}

} // namespace

received_response::received_response(
    std::shared_ptr<connection_pool> pool,
    const boost::asio::ip::tcp::endpoint& server,
    boost::asio::ip::tcp::socket socket,
    const boost::asio::any_io_executor& executor,
    bool is_first,
    bool head_only)
    : m_pool(std::move(pool)),
      m_server(server),
      m_socket(std::move(socket)),
      m_deadline(std::make_shared<deadline>(executor, m_socket)),
      m_buffer(m_pool->limits().header_bytes + read_bytes),
      m_read_timeout(m_pool->limits().read_timeout),
      m_is_first(is_first),
      m_head_only(head_only)
{
}

received_response::~received_response()
{
    release();
    m_deadline->detach();
}

boost::asio::awaitable<std::optional<request_failure>>
received_response::connect()
{
    m_deadline->expires_after(m_pool->limits().connect_timeout);
    const auto [failure] = co_await m_socket.async_connect(m_server, as_result);
    m_deadline->expires_never();
    if (failure || m_deadline->passed())
    {
        co_return request_failure{failed(failure), false};
    }
    prepare(m_socket);
    if (m_pool->limits().silence_timeout > duration::zero())
    {
        end_when_silent(m_socket, m_pool->limits().silence_timeout);
    }
    co_return std::nullopt;
}

boost::asio::awaitable<std::optional<request_failure>> received_response::send(
    std::string_view head, std::string_view body, duration head_timeout)
{
    std::optional<error> failure = co_await write_request(head, body);
    if (!failure)
    {
        m_deadline->expires_after(head_timeout);
        failure = co_await read_head();
    }
    if (failure)
    {
        co_return request_failure{std::move(*failure), m_sent};
    }
    m_deadline->expires_never();
    co_return std::nullopt;
}

const response_head& received_response::head() const
{
    return m_head;
}

body_delimiter received_response::delimiter() const
{
    return m_delimiter;
}

bool received_response::is_first_on_connection() const
{
    return m_is_first;
}

boost::asio::awaitable<outcome<std::optional<std::string>>>
received_response::read_some()
{
    std::string& arrived = m_parser->get().body();
    if (arrived.empty() && !m_parser->is_done())
    {
        // Once for the part, as bytes outside of the body may come for ever.
        m_deadline->expires_after(m_read_timeout);
    }
    while (arrived.empty() && !m_parser->is_done())
    {
        std::optional<error> failure = co_await advance();
        if (failure)
        {
            co_return std::move(*failure);
        }
    }
    if (m_parser->is_done())
    {
        m_deadline->expires_never();
    }
    if (arrived.empty())
    {
        release();
        co_return std::optional<std::string>();
    }
    co_return std::optional<std::string>(std::exchange(arrived, {}));
}

void received_response::set_read_timeout(duration timeout)
{
    m_read_timeout = timeout;
}

void received_response::cancel()
{
    m_cancelled = true;
    if (m_check != nullptr)
    {
        m_check->cancel();
    }
    if (!m_released)
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }
}

boost::asio::awaitable<std::optional<error>>
received_response::write_request(std::string_view head, std::string_view body)
{
    write_parts parts;
    parts[0] = to_buffer(head);
    parts[1] = to_buffer(body);
    const write_result result =
        co_await write_all(m_socket, *m_deadline, m_read_timeout, parts);
    m_sent = result.written > 0;
    if (result.failure)
    {
        co_return failed(result.failure);
    }
    co_return std::nullopt;
}

boost::asio::awaitable<std::optional<error>> received_response::read_head()
{
    reset_parser();
    unsigned interim = 0;
    while (!m_parser->is_header_done())
    {
        std::optional<error> failure = co_await advance();
        if (failure)
        {
            co_return failure;
        }
        if (m_parser->is_header_done() && is_interim())
        {
            if (++interim > max_interim_answers)
            {
                co_return error{error_code::malformed,
                                "too many interim answers"};
            }
            reset_parser();
        }
    }
    co_return begin_body();
}

std::optional<error> received_response::begin_body()
{
    const auto& message = m_parser->get();
    if (message.result_int() < lowest_status ||
        message.result_int() > highest_status)
    {
        return error{error_code::malformed,
                     "malformed answer: its status is " +
                         std::to_string(message.result_int())};
    }
    const transfer_coding coding = transfer_coding_of(message);
    if (message.result_int() == switching_protocols ||
        (coding != transfer_coding::none &&
         (coding != transfer_coding::chunked ||
          message.version() < version_with_codings)))
    {
        return error{error_code::malformed,
                     "malformed answer: the end of its body is not certain"};
    }
    // Before the parser adds the fields of a trailer.
    copy_head();
    m_has_head = true;
    m_parser->eager(true);
    if (!m_parser->is_done() && m_buffer.size() > 0)
    {
        m_error = parse();
    }
    return m_error;
}

boost::asio::awaitable<std::optional<error>> received_response::advance()
{
    if (m_error)
    {
        co_return m_error;
    }
    const std::size_t before = m_buffer.size();
    if (before > 0)
    {
        m_error = parse();
        if (m_error || m_buffer.size() < before)
        {
            co_return m_error;
        }
    }
    if (m_buffer.size() + read_bytes > m_buffer.max_size())
    {
        m_error =
            error{error_code::malformed, "the answer's head is too large"};
        co_return m_error;
    }
    const auto failure = co_await read_more(m_socket, m_buffer, read_bytes);
    if (failure == boost::asio::error::eof && !m_deadline->passed())
    {
        m_error = co_await end_of_connection();
        co_return m_error;
    }
    if (failure)
    {
        m_error = failed(failure);
        co_return m_error;
    }
    m_error = parse();
    co_return m_error;
}

std::optional<error> received_response::parse()
{
    boost::system::error_code failure;
    const std::size_t used = m_parser->put(m_buffer.data(), failure);
    m_buffer.consume(used);
    if (failure && failure != boost::beast::http::error::need_more)
    {
        return error{error_code::malformed,
                     "malformed answer: " + failure.message()};
    }
    return std::nullopt;
}

boost::asio::awaitable<std::optional<error>>
received_response::end_of_connection()
{
    m_has_ended = true;
    boost::system::error_code cut;
    if (m_parser->got_some())
    {
        m_parser->put_eof(cut);
    }
    if (cut || !m_parser->is_done())
    {
        co_return error{error_code::io_error, "the answer was cut off"};
    }
    if (m_delimiter != body_delimiter::connection)
    {
        co_return std::nullopt;
    }
    server_check check(m_server, m_pool->limits(), m_read_timeout);
    m_check = &check;
    const server_state state = co_await check.run();
    m_check = nullptr;
    if (m_cancelled)
    {
        co_return error{error_code::cancelled, "the answer was cancelled"};
    }
    switch (state)
    {
    case server_state::alive:
        co_return std::nullopt;
    case server_state::gone:
        co_return error{error_code::io_error,
                        "the server ended before or with its answer"};
    case server_state::closing:
        co_return error{error_code::io_error,
                        "the server ends connections after its answer"};
    case server_state::unknown:
        break;
    }
    // Nothing speaks against the server: it may have ended its answer.
    co_return error{error_code::unavailable,
                    "the answer's end cannot be confirmed"};
}

bool received_response::is_interim() const
{
    const unsigned status = m_parser->get().result_int();
    return status >= 100 && status < 200 && status != switching_protocols;
}

bool received_response::may_be_followed_by_bytes() const
{
    using boost::beast::http::field;
    const auto& message = m_parser->get();
    const auto length = message.find(field::content_length);
    const bool announces_body =
        message.count(field::transfer_encoding) > 0 ||
        (length != message.end() && length->value() != "0");
    return m_buffer.size() > 0 ||
           (message.result_int() == no_content && announces_body);
}

void received_response::reset_parser()
{
    m_parser.emplace();
    m_parser->skip(m_head_only);
    m_parser->header_limit(
        static_cast<std::uint32_t>(m_pool->limits().header_bytes));
    m_parser->body_limit(boost::none);
}

void received_response::copy_head()
{
    m_head.status = m_parser->get().result_int();
    m_head.headers = to_header_list(m_parser->get());
    m_delimiter = m_parser->chunked()    ? body_delimiter::chunks
                  : m_parser->need_eof() ? body_delimiter::connection
                                         : body_delimiter::length;
}

void received_response::release()
{
    const bool is_whole = m_has_head && m_parser->is_done() && !m_error;
    if (m_released || !is_whole)
    {
        return;
    }
    m_released = true;
    m_deadline->detach();
    // Bytes beyond the answer belong to no request.
    if (m_parser->keep_alive() && !m_has_ended && !m_cancelled &&
        !may_be_followed_by_bytes())
    {
        m_pool->put(m_server, std::move(m_socket));
    }
    else
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }
}

error received_response::failed(const boost::system::error_code& failure)
{
    const error reason = transfer_error(failure, *m_deadline);
    return m_cancelled ? error{error_code::cancelled, reason.message} : reason;
}

} // namespace limpet::http

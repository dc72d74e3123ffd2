#include "connection_pool.hpp"
#include "head_text.hpp"
#include "received_response.hpp"

#include <limpet/http/client.hpp>
#include <limpet/http/endpoint.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace limpet::http
{

namespace
{

constexpr auto as_result = boost::asio::as_tuple(boost::asio::use_awaitable);

using boost::asio::ip::tcp;
using send_result =
    std::variant<std::unique_ptr<response_stream>, request_failure>;

std::string head_of(const request& message, const tcp::endpoint& server)
{
    std::string text = request_text(message);
    if (!message.headers.find("Host"))
    {
        append_field(text, "Host", http::to_string(server));
    }
    const bool bare = message.method == "GET" || message.method == "HEAD";
    if (!bare || !message.payload().empty())
    {
        append_field(
            text, "Content-Length", std::to_string(message.payload().size()));
    }
    text += "\r\n";
    return text;
}

} // namespace

/// Connects a canceller to the answer that is being waited for.
class cancel_scope
{
public:
    explicit cancel_scope(send_canceller* canceller)
        : m_canceller(canceller)
    {
    }

    cancel_scope(const cancel_scope&) = delete;
    cancel_scope& operator=(const cancel_scope&) = delete;

    ~cancel_scope()
    {
        set(nullptr);
    }

    void set(received_response* stream)
    {
        if (m_canceller == nullptr)
        {
            return;
        }
        m_canceller->m_call = nullptr;
        if (stream != nullptr)
        {
            m_canceller->m_call = [stream]
            {
                stream->cancel();
            };
        }
    }

    bool is_cancelled() const
    {
        return m_canceller != nullptr && m_canceller->m_cancelled;
    }

private:
    send_canceller* m_canceller;
};

std::string_view to_string(body_delimiter delimiter) noexcept
{
    switch (delimiter)
    {
    case body_delimiter::length:
        return "length";
    case body_delimiter::chunks:
        return "chunks";
    case body_delimiter::connection:
        return "connection";
    }
    return "unknown";
}

void send_canceller::cancel()
{
    m_cancelled = true;
    if (m_call)
    {
        m_call();
    }
}

namespace
{

class pooling_client : public client
{
public:
    explicit pooling_client(const client_limits& limits)
        : m_pool(std::make_shared<connection_pool>(limits))
    {
    }

    boost::asio::awaitable<send_result> send(tcp::endpoint server,
                                             request message,
                                             duration head_timeout,
                                             send_canceller* canceller) override
    {
        const std::string head = head_of(message, server);
        message.headers = {};
        const bool head_only = message.method == "HEAD";
        const auto executor = co_await boost::asio::this_coro::executor;
        cancel_scope scope(canceller);
        std::optional<tcp::socket> kept = m_pool->take(server);
        for (;;)
        {
            if (scope.is_cancelled())
            {
                co_return request_failure{
                    {error_code::cancelled, "the send was cancelled"}, false};
            }
            const bool is_new = !kept;
            tcp::socket socket =
                kept ? std::move(*kept) : tcp::socket(executor);
            auto stream = std::make_unique<received_response>(
                m_pool, server, std::move(socket), executor, is_new, head_only);
            scope.set(stream.get());
            std::optional<request_failure> failure;
            if (is_new)
            {
                failure = co_await stream->connect();
            }
            if (!failure)
            {
                failure = co_await stream->send(
                    head, message.payload(), head_timeout);
            }
            scope.set(nullptr);
            if (!failure)
            {
                co_return std::unique_ptr<response_stream>(std::move(stream));
            }
            // A kept connection may have been closed by the server.
            if (is_new || failure->may_have_reached_server)
            {
                co_return std::move(*failure);
            }
            kept = m_pool->take(server);
        }
    }

private:
    std::shared_ptr<connection_pool> m_pool;
};

} // namespace

std::shared_ptr<client> client::create(const client_limits& limits)
{
    return std::make_shared<pooling_client>(limits);
}

boost::asio::awaitable<std::variant<response, request_failure>>
client::fetch(tcp::endpoint server,
              request message,
              duration timeout,
              std::size_t max_body)
{
    const time_point until = monotonic_clock::now() + timeout;
    send_result sent = co_await send(server, std::move(message), timeout);
    if (auto* failure = std::get_if<request_failure>(&sent))
    {
        co_return std::move(*failure);
    }
    const auto stream =
        std::get<std::unique_ptr<response_stream>>(std::move(sent));
    response answer;
    answer.head = stream->head();
    while (true)
    {
        const duration left = until - monotonic_clock::now();
        stream->set_read_timeout(std::max(left, duration::zero()));
        auto part = co_await stream->read_some();
        if (!is_ok(part))
        {
            co_return request_failure{error_of(part), true};
        }
        if (!value_of(part))
        {
            co_return answer;
        }
        answer.body += *value_of(part);
        if (answer.body.size() > max_body)
        {
            co_return request_failure{
                {error_code::malformed, "the answer is too large"}, true};
        }
    }
}

} // namespace limpet::http

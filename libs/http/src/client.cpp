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
    if (message.headers.find("Host") == nullptr)
    {
        append_field(text, "Host", http::to_string(server));
    }
    const bool bare = message.method == "GET" || message.method == "HEAD";
    if (!bare || !message.body.empty())
    {
        append_field(
            text, "Content-Length", std::to_string(message.body.size()));
    }
    text += "\r\n";
    return text;
}

class pooling_client : public client
{
public:
    explicit pooling_client(const client_limits& limits)
        : m_pool(std::make_shared<connection_pool>(limits))
    {
    }

    boost::asio::awaitable<send_result>
    send(tcp::endpoint server, request message, duration head_timeout) override
    {
        const std::string head = head_of(message, server);
        const bool head_only = message.method == "HEAD";
        while (std::optional<tcp::socket> kept = m_pool->take(server))
        {
            auto stream = co_await start(std::move(*kept), server, head_only);
            auto failure =
                co_await stream->send(head, message.body, head_timeout);
            if (!failure)
            {
                co_return std::unique_ptr<response_stream>(std::move(stream));
            }
            if (failure->may_have_reached_server ||
                failure->reason.code == error_code::cancelled)
            {
                co_return std::move(*failure);
            }
        }
        const auto executor = co_await boost::asio::this_coro::executor;
        auto stream = std::make_unique<received_response>(
            m_pool, server, tcp::socket(executor), executor, head_only);
        auto failure = co_await stream->connect();
        if (!failure)
        {
            failure = co_await stream->send(head, message.body, head_timeout);
        }
        if (failure)
        {
            co_return std::move(*failure);
        }
        co_return std::unique_ptr<response_stream>(std::move(stream));
    }

private:
    boost::asio::awaitable<std::unique_ptr<received_response>>
    start(tcp::socket socket, tcp::endpoint server, bool head_only)
    {
        const auto executor = co_await boost::asio::this_coro::executor;
        co_return std::make_unique<received_response>(
            m_pool, server, std::move(socket), executor, head_only);
    }

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

/// \file
/// A server, a client and raw sockets on the loopback interface.

#pragma once

#include <limpet/base/random.hpp>
#include <limpet/http/client.hpp>
#include <limpet/http/server.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace limpet::http
{

/// Runs an io_context on two threads until it is destroyed.
struct loopback
{
    using work_guard = boost::asio::executor_work_guard<
        boost::asio::io_context::executor_type>;

    loopback()
        : work(context.get_executor())
    {
        for (int i = 0; i < 2; ++i)
        {
            threads.emplace_back(
                [this]
                {
                    context.run();
                });
        }
    }

    ~loopback()
    {
        stop();
    }

    /// Ends the threads. A derived fixture whose members the handler uses
    /// calls it in its destructor, before they are destroyed.
    void stop()
    {
        if (listening)
        {
            listening->close();
        }
        work.reset();
        context.stop();
        for (std::thread& thread : threads)
        {
            thread.join();
        }
        threads.clear();
    }

    /// Listens at a free port.
    void serve(server::handler handle, const server_limits& limits = {})
    {
        const boost::asio::ip::tcp::endpoint any(
            boost::asio::ip::address_v4::loopback(), 0);
        auto opened = server::listen(context, any, limits, std::move(handle));
        listening = std::move(std::get<0>(opened));
        endpoint = listening->local_endpoint();
    }

    /// Runs the coroutine on a strand and returns its result.
    template <class T>
    T run(boost::asio::awaitable<T> task)
    {
        return boost::asio::co_spawn(boost::asio::make_strand(context),
                                     std::move(task),
                                     boost::asio::use_future)
            .get();
    }

    /// Sends the bytes over a new connection and returns all that comes back
    /// until the server closes. Sets how the connection ended:
    /// boost::asio::error::eof if regularly.
    std::string exchange_raw(std::string bytes,
                             bool half_close = false,
                             boost::system::error_code* ended = nullptr)
    {
        boost::asio::ip::tcp::socket socket(context);
        socket.connect(endpoint);
        boost::system::error_code failure;
        boost::asio::write(socket, boost::asio::buffer(bytes), failure);
        if (half_close)
        {
            socket.shutdown(boost::asio::socket_base::shutdown_send);
        }
        std::string answer;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), failure);
        if (ended != nullptr)
        {
            *ended = failure;
        }
        return answer;
    }

    std::variant<response, request_failure>
    fetch(request message, duration timeout = seconds(10))
    {
        return run(caller->fetch(
            endpoint, std::move(message), timeout, 16UL * 1024 * 1024));
    }

    boost::asio::io_context context;
    work_guard work;
    std::vector<std::thread> threads;
    std::unique_ptr<server> listening;
    boost::asio::ip::tcp::endpoint endpoint;
    std::shared_ptr<client> caller = client::create({});
};

/// Returns the text with a few bytes changed, removed or repeated, or cut.
inline std::string damaged(std::string text, random_source& random)
{
    for (std::uint64_t changes = 1 + random.below(3); changes > 0; --changes)
    {
        const std::size_t place = random.below(text.size());
        switch (random.below(4))
        {
        case 0:
            text[place] = static_cast<char>(random.below(256));
            break;
        case 1:
            text.erase(place, 1 + random.below(4));
            break;
        case 2:
            text.insert(place, text.substr(place, 1 + random.below(16)));
            break;
        default:
            text.resize(place + 1);
            break;
        }
        text += text.empty() ? "x" : "";
    }
    return text;
}

inline request
make_request(std::string method, std::string target, std::string body = {})
{
    request message;
    message.method = std::move(method);
    message.target = std::move(target);
    message.body = std::move(body);
    return message;
}

} // namespace limpet::http

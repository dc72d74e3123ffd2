#include "connection.hpp"
#include "server_core.hpp"

#include <limpet/base/log.hpp>
#include <limpet/http/endpoint.hpp>
#include <limpet/http/server.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace limpet::http
{

namespace
{

constexpr auto as_result = boost::asio::as_tuple(boost::asio::use_awaitable);
/// Pause after an accept that failed, as when descriptors run out.
constexpr duration accept_retry_delay = milliseconds(50);

/// Accepts connections on a strand of its own.
class listener : public std::enable_shared_from_this<listener>
{
public:
    listener(boost::asio::any_io_executor executor,
             std::shared_ptr<server_core> core)
        : m_executor(std::move(executor)),
          m_core(std::move(core)),
          m_acceptor(boost::asio::make_strand(m_executor)),
          m_retry(m_acceptor.get_executor())
    {
    }

    status open(const boost::asio::ip::tcp::endpoint& endpoint)
    {
        boost::system::error_code failure;
        m_acceptor.open(endpoint.protocol(), failure);
        if (!failure)
        {
            m_acceptor.set_option(boost::asio::socket_base::reuse_address(true),
                                  failure);
            m_acceptor.bind(endpoint, failure);
        }
        if (!failure)
        {
            m_acceptor.listen(boost::asio::socket_base::max_listen_connections,
                              failure);
        }
        if (failure)
        {
            return error{error_code::io_error,
                         "cannot listen at " + to_string(endpoint) + ": " +
                             failure.message()};
        }
        m_endpoint = m_acceptor.local_endpoint(failure);
        m_core->set_address(to_string(m_endpoint));
        return success();
    }

    void start()
    {
        boost::asio::co_spawn(m_acceptor.get_executor(),
                              accept_all(shared_from_this()),
                              boost::asio::detached);
    }

    void post_stop()
    {
        boost::asio::post(m_acceptor.get_executor(),
                          [self = shared_from_this()]
                          {
                              boost::system::error_code ignored;
                              self->m_acceptor.close(ignored);
                              self->m_retry.cancel();
                          });
    }

    const boost::asio::ip::tcp::endpoint& endpoint() const noexcept
    {
        return m_endpoint;
    }

private:
    static boost::asio::awaitable<void>
    accept_all(std::shared_ptr<listener> self)
    {
        while (self->m_acceptor.is_open())
        {
            const boost::asio::any_io_executor strand =
                boost::asio::make_strand(self->m_executor);
            auto [failure, socket] =
                co_await self->m_acceptor.async_accept(strand, as_result);
            if (!failure)
            {
                self->serve(std::move(socket));
                continue;
            }
            self->m_retry.expires_after(accept_retry_delay);
            co_await self->m_retry.async_wait(as_result);
        }
    }

    void serve(boost::asio::ip::tcp::socket socket)
    {
        const auto item =
            std::make_shared<connection>(std::move(socket), m_core);
        if (!m_core->add(item))
        {
            refuse(item);
            return;
        }
        boost::asio::co_spawn(
            item->executor(), run(item), boost::asio::detached);
    }

    void refuse(const std::shared_ptr<connection>& item)
    {
        m_core->record_refused_connection();
        if (m_core->begin_refusal())
        {
            boost::asio::co_spawn(
                item->executor(), run_refusal(item), boost::asio::detached);
        }
    }

    static boost::asio::awaitable<void> run(std::shared_ptr<connection> item)
    {
        co_await item->run();
    }

    static boost::asio::awaitable<void>
    run_refusal(std::shared_ptr<connection> item)
    {
        co_await item->run_refusal();
    }

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<server_core> m_core;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retry;
    boost::asio::ip::tcp::endpoint m_endpoint;
};

class listening_server : public server
{
public:
    listening_server(std::shared_ptr<server_core> core,
                     std::shared_ptr<listener> listening)
        : m_core(std::move(core)),
          m_listener(std::move(listening))
    {
    }

    ~listening_server() override
    {
        shut_down();
    }

    boost::asio::ip::tcp::endpoint local_endpoint() const override
    {
        return m_listener->endpoint();
    }

    void set_limits(const server_limits& limits) override
    {
        m_core->set_limits(limits);
    }

    void wind_down() override
    {
        m_core->winding_down = true;
    }

    void close_idle() override
    {
        m_core->close_idle();
    }

    void stop_accepting() override
    {
        m_listener->post_stop();
        m_core->stop();
    }

    void close() override
    {
        shut_down();
    }

    std::shared_ptr<void> claim_memory(std::size_t bytes) override
    {
        return server_core::claim_memory(m_core, bytes);
    }

    std::size_t connection_count() const override
    {
        return m_core->connections;
    }

    server_counts counts() const override
    {
        return m_core->counts();
    }

    std::size_t open_request_count() const override
    {
        return m_core->open_requests;
    }

private:
    void shut_down()
    {
        m_listener->post_stop();
        m_core->stop();
        m_core->close_all();
    }

    std::shared_ptr<server_core> m_core;
    std::shared_ptr<listener> m_listener;
};

} // namespace

outcome<std::unique_ptr<server>>
server::listen(boost::asio::io_context& context,
               const boost::asio::ip::tcp::endpoint& endpoint,
               const server_limits& limits,
               handler handle,
               refusal refuse)
{
    return listen(boost::asio::any_io_executor(context.get_executor()),
                  endpoint,
                  limits,
                  std::move(handle),
                  std::move(refuse));
}

outcome<std::unique_ptr<server>>
server::listen(const boost::asio::any_io_executor& executor,
               const boost::asio::ip::tcp::endpoint& endpoint,
               const server_limits& limits,
               handler handle,
               refusal refuse)
{
    auto core = std::make_shared<server_core>(
        limits, std::move(handle), std::move(refuse));
    auto listening = std::make_shared<listener>(executor, core);
    const status opened = listening->open(endpoint);
    if (!is_ok(opened))
    {
        return error_of(opened);
    }
    listening->start();
    std::unique_ptr<server> result = std::make_unique<listening_server>(
        std::move(core), std::move(listening));
    return result;
}

} // namespace limpet::http

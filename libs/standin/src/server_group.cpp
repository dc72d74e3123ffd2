#include "announcer.hpp"
#include "engine.hpp"
#include "service.hpp"

#include <limpet/base/log.hpp>
#include <limpet/http/client.hpp>
#include <limpet/http/endpoint.hpp>
#include <limpet/http/server.hpp>
#include <limpet/standin/server_group.hpp>

#include <atomic>
#include <chrono>
#include <map>

namespace limpet::standin
{

namespace
{

/// Returns an incarnation from the system clock, in microseconds, so that a
/// later start gets a higher one.
incarnation make_incarnation()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return incarnation(std::chrono::duration_cast<microseconds>(since).count());
}

std::shared_ptr<backend_server>
make_backend_server(const server_settings& server)
{
    if (const auto* model = std::get_if<engine_settings>(&server.behaviour))
    {
        return std::make_shared<engine>(*model, server.checks_fencing);
    }
    return std::make_shared<service>(
        std::get<service_settings>(server.behaviour));
}

/// One backend server with its HTTP listener and its announcer.
struct running_server
{
    std::shared_ptr<backend_server> handler;
    std::unique_ptr<http::server> listener;
    std::shared_ptr<announcer> announcements;
};

class server_group_impl : public server_group
{
public:
    server_group_impl(boost::asio::io_context& context,
                      const standin_settings& settings)
        : m_context(context),
          m_settings(settings),
          m_client(http::client::create({}))
    {
    }

    ~server_group_impl() override
    {
        close_all();
    }

    status open()
    {
        for (const server_settings& server : m_settings.servers)
        {
            status opened = open_server(server);
            if (!is_ok(opened))
            {
                return opened;
            }
        }
        for (auto& [id, server] : m_servers)
        {
            server.announcements->start();
        }
        return success();
    }

    boost::asio::ip::tcp::endpoint
    address_of(const engine_id& server) const override
    {
        return m_servers.at(server).listener->local_endpoint();
    }

    run_record& record_of(const engine_id& server) override
    {
        return m_servers.at(server).handler->record();
    }

    fault_queue& faults_of(const engine_id& server) override
    {
        return m_servers.at(server).handler->faults();
    }

    void drain(std::function<void()> on_drained) override
    {
        const auto remaining =
            std::make_shared<std::atomic<std::size_t>>(m_servers.size());
        const auto callback =
            std::make_shared<std::function<void()>>(std::move(on_drained));
        for (auto& [id, server] : m_servers)
        {
            server.announcements->drain(
                [remaining, callback]
                {
                    if (--*remaining == 0)
                    {
                        (*callback)();
                    }
                });
        }
    }

    void close() override
    {
        close_all();
    }

private:
    status open_server(server_settings server)
    {
        const auto handler = make_backend_server(server);
        auto opened = http::server::listen(m_context,
                                           server.listen,
                                           {},
                                           [handler](http::exchange& call)
                                           {
                                               return handler->handle(call);
                                           });
        if (!is_ok(opened))
        {
            return error_of(opened);
        }
        server.listen = value_of(opened)->local_endpoint();
        server.run = server.run ? server.run : make_incarnation();
        log_event(log_level::info,
                  "standin.listens",
                  {{"server", server.id.get()},
                   {"incarnation", server.run->get()},
                   {"address", http::to_string(server.listen)}});
        auto announcements = std::make_shared<announcer>(
            m_context, m_client, handler, server, m_settings);
        m_servers.emplace(server.id,
                          running_server{handler,
                                         std::move(value_of(opened)),
                                         std::move(announcements)});
        return success();
    }

    void close_all()
    {
        for (auto& [id, server] : m_servers)
        {
            server.announcements->stop();
            server.listener->close();
        }
    }

    boost::asio::io_context& m_context;
    const standin_settings m_settings;
    std::shared_ptr<http::client> m_client;
    std::map<engine_id, running_server> m_servers;
};

} // namespace

outcome<std::unique_ptr<server_group>>
server_group::create(boost::asio::io_context& context,
                     const standin_settings& settings)
{
    auto created = std::make_unique<server_group_impl>(context, settings);
    const status opened = created->open();
    if (!is_ok(opened))
    {
        return error_of(opened);
    }
    return std::unique_ptr<server_group>(std::move(created));
}

} // namespace limpet::standin

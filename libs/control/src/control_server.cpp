#include "claims_service.hpp"
#include "config_source.hpp"
#include "control_state.hpp"
#include "operator_service.hpp"
#include "wall_clock.hpp"

#include <limpet/base/hash.hpp>
#include <limpet/base/log.hpp>
#include <limpet/control/control_server.hpp>
#include <limpet/http/endpoint.hpp>
#include <limpet/http/server.hpp>
#include <limpet/replica/replica.hpp>
#include <limpet/wire/link_hub.hpp>

namespace limpet::control
{

namespace net = boost::asio;

namespace
{

class running_server final : public control_server
{
public:
    running_server(net::io_context& context,
                   control_settings settings,
                   std::function<void()> on_failed)
        : m_context(context),
          m_settings(std::move(settings)),
          m_on_failed(std::move(on_failed)),
          m_state(stable_hash(m_settings.group_name))
    {
    }

    status start()
    {
        status opened = open_links();
        if (!is_ok(opened))
        {
            return opened;
        }
        opened = open_replica();
        if (!is_ok(opened))
        {
            return opened;
        }
        m_source = std::make_unique<config_source>(m_state, m_hub);
        m_claims = std::make_unique<claims_service>(*m_replica, m_hub);
        m_operators = std::make_unique<operator_service>(
            m_state, *m_source, *m_replica, *m_hub);
        opened = open_server();
        if (!is_ok(opened))
        {
            return opened;
        }
        m_replica->start();
        log_event(
            log_level::info,
            "control.start",
            {{"vm", m_settings.vm.get()},
             {"operators", http::to_string(operators())},
             {"revision", m_state.config().view()->where().number.get()}});
        return success();
    }

    void drain(std::function<void()> on_drained) override
    {
        m_server->stop_accepting();
        m_draining = true;
        m_replica->stop(
            [call = std::move(on_drained)](const status&)
            {
                call();
            });
    }

    void close() override
    {
        m_server->close();
        m_hub->close();
    }

    net::ip::tcp::endpoint operators() const override
    {
        return m_server->local_endpoint();
    }

private:
    status open_links()
    {
        wire::link_handlers handlers;
        handlers.on_frame = [this](const wire::link_identity& from,
                                   wire::channel kind,
                                   const std::string& payload)
        {
            take_frame(from, kind, payload);
        };
        handlers.on_lost = [](const vm_id&) {};
        const wire::link_identity self{m_settings.vm,
                                       m_settings.data_centre,
                                       incarnation(unix_ms()),
                                       http::to_string(m_settings.peers)};
        auto hub = wire::link_hub::listen(
            m_context, m_settings.peers, self, {}, std::move(handlers));
        if (!is_ok(hub))
        {
            return error_of(hub);
        }
        m_hub = std::move(value_of(hub));
        for (const replica_peer& peer : m_settings.group)
        {
            m_hub->set_peer(peer.vm, peer.address);
        }
        return success();
    }

    status open_replica()
    {
        replica::replica_settings settings;
        settings.self = m_settings.vm;
        settings.group.push_back(m_settings.vm);
        for (const replica_peer& peer : m_settings.group)
        {
            settings.group.push_back(peer.vm);
        }
        settings.folder = m_settings.data_folder;
        auto opened = replica::replica::open(
            m_context, std::move(settings), make_callbacks());
        if (!is_ok(opened))
        {
            return error_of(opened);
        }
        m_replica = std::move(value_of(opened));
        return success();
    }

    replica::replica_callbacks make_callbacks()
    {
        replica::replica_callbacks callbacks;
        callbacks.apply =
            [this](replica::log_index index, std::string_view entry)
        {
            std::string answer = m_state.apply(index.get(), entry);
            publish();
            return answer;
        };
        callbacks.save = [this]
        {
            return m_state.snapshot();
        };
        callbacks.restore = [this](std::string_view bytes)
        {
            restore(bytes);
        };
        callbacks.send =
            [this](const vm_id& to, const std::vector<std::uint8_t>& bytes)
        {
            m_hub->send(to,
                        wire::channel::consensus,
                        std::string(bytes.begin(), bytes.end()));
        };
        callbacks.failed = [this](const error& reason)
        {
            fail(reason);
        };
        return callbacks;
    }

    status open_server()
    {
        auto server =
            http::server::listen(m_context,
                                 m_settings.operators,
                                 {},
                                 [this](http::exchange& caller)
                                 {
                                     return m_operators->handle(caller);
                                 });
        if (!is_ok(server))
        {
            return error_of(server);
        }
        m_server = std::move(value_of(server));
        return success();
    }

    void take_frame(const wire::link_identity& from,
                    wire::channel kind,
                    const std::string& payload)
    {
        const auto address = http::parse_endpoint(from.address);
        if (!m_operators || m_draining || !is_ok(address))
        {
            return;
        }
        m_hub->set_peer(from.vm, value_of(address));
        if (kind == wire::channel::consensus)
        {
            m_replica->receive(from.vm, {payload.begin(), payload.end()});
        }
        else if (kind == wire::channel::config)
        {
            m_source->receive(from.vm, payload, monotonic_clock::now());
        }
        else if (kind == wire::channel::control)
        {
            m_claims->receive(from.vm, payload);
        }
    }

    void publish()
    {
        if (m_source)
        {
            m_source->publish(monotonic_clock::now());
        }
    }

    void restore(std::string_view bytes)
    {
        const status restored = m_state.restore(bytes);
        if (!is_ok(restored))
        {
            fail(error_of(restored));
            return;
        }
        publish();
    }

    void fail(const error& reason)
    {
        log_event(
            log_level::error, "storage.failed", {{"reason", reason.message}});
        m_on_failed();
    }

    net::io_context& m_context;
    control_settings m_settings;
    std::function<void()> m_on_failed;
    control_state m_state;
    std::shared_ptr<wire::link_hub> m_hub;
    std::unique_ptr<replica::replica> m_replica;
    std::unique_ptr<config_source> m_source;
    std::unique_ptr<claims_service> m_claims;
    std::unique_ptr<operator_service> m_operators;
    std::unique_ptr<http::server> m_server;
    bool m_draining = false;
};

} // namespace

outcome<std::unique_ptr<control_server>>
control_server::create(net::io_context& context,
                       const control_settings& settings,
                       std::function<void()> on_failed)
{
    auto made = std::make_unique<running_server>(
        context, settings, std::move(on_failed));
    const status started = made->start();
    if (!is_ok(started))
    {
        return error_of(started);
    }
    return std::unique_ptr<control_server>(std::move(made));
}

} // namespace limpet::control

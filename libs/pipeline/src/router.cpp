#include "answers.hpp"
#include "backend_api.hpp"
#include "config_store.hpp"
#include "entry_service.hpp"
#include "membership_service.hpp"
#include "owner_service.hpp"
#include "request_ids.hpp"
#include "routing_table.hpp"

#include <limpet/base/log.hpp>
#include <limpet/base/timer_service.hpp>
#include <limpet/http/endpoint.hpp>
#include <limpet/pipeline/router.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>

namespace limpet::pipeline
{

namespace net = boost::asio;

namespace
{

constexpr duration tick_period = milliseconds(50);
constexpr duration drain_check_period = milliseconds(50);
/// Time for which a leaving router continues to announce that it is leaving.
constexpr duration leave_announcement_time = seconds(1);
constexpr duration directory_retention = std::chrono::hours(4);
constexpr std::size_t max_metric_teams = 500;

class running_router final : public router
{
public:
    running_router(net::io_context& context,
                   router_settings settings,
                   std::function<void()> on_stop)
        : m_context(context),
          m_settings(std::move(settings)),
          m_on_stop(std::move(on_stop)),
          m_strand(net::make_strand(context)),
          m_timers(monotonic_clock::now()),
          m_wakeup(m_strand),
          m_incarnation(make_incarnation())
    {
    }

    status start()
    {
        const time_point now = monotonic_clock::now();
        status opened = open_links();
        if (!is_ok(opened))
        {
            return opened;
        }
        m_membership = std::make_shared<membership_service>(
            m_settings, m_incarnation, m_incarnation.get(), now);
        m_config = std::make_shared<config_store>(m_settings,
                                                  m_incarnation.get(),
                                                  m_hub,
                                                  [this]
                                                  {
                                                      update_routes();
                                                  });
        m_directory = std::make_shared<shared_directory>(
            m_settings.directory_chats, directory_retention);
        m_routes = std::make_shared<routing_table>(now);
        m_metrics = std::make_shared<request_metrics>(max_metric_teams);
        std::vector<vm_id> controls;
        for (const control_peer& peer : m_settings.control)
        {
            controls.push_back(peer.vm);
        }
        m_claims = std::make_shared<claims_client>(m_hub, std::move(controls));
        m_client = http::client::create({});
        m_owners = std::make_shared<owner_service>(
            m_context, m_hub, m_client, m_membership, m_directory);
        m_entry = std::make_unique<entry_service>(make_entry_parts());
        m_backend_api = std::make_unique<backend_api>(make_api_parts());
        connect_membership();
        opened = open_servers();
        if (!is_ok(opened))
        {
            return opened;
        }
        m_links_ready = true;
        subscribe_timers();
        log_event(log_level::info,
                  "router.start",
                  {{"vm", m_settings.self.vm.get()},
                   {"data_centre", m_settings.self.data_centre.get()},
                   {"incarnation", m_incarnation.get()},
                   {"callers", http::to_string(callers())},
                   {"backends", http::to_string(backends())}});
        return success();
    }

    void drain(std::function<void()> on_drained) override
    {
        net::post(m_strand,
                  [this, call = std::move(on_drained)]() mutable
                  {
                      begin_drain(std::move(call));
                  });
    }

    void close() override
    {
        m_closed = true;
        m_caller_server->close();
        m_backend_server->close();
        m_hub->close();
        net::post(m_strand,
                  [this]
                  {
                      m_wakeup.cancel();
                  });
    }

    net::ip::tcp::endpoint callers() const override
    {
        return m_caller_server->local_endpoint();
    }

    net::ip::tcp::endpoint backends() const override
    {
        return m_backend_server->local_endpoint();
    }

private:
    status open_links()
    {
        wire::link_handlers handlers;
        handlers.on_frame = [this](const wire::link_identity& from,
                                   wire::channel kind,
                                   const std::string& payload)
        {
            handle_frame(from, kind, payload);
        };
        handlers.on_lost = [this](const vm_id& peer)
        {
            if (m_links_ready)
            {
                m_entry->on_peer_lost(peer);
                m_owners->on_peer_lost(peer);
            }
        };
        const wire::link_identity self{m_settings.self.vm,
                                       m_settings.self.data_centre,
                                       m_incarnation,
                                       m_settings.self.address};
        auto hub = wire::link_hub::listen(
            m_context, m_settings.peers, self, {}, std::move(handlers));
        if (!is_ok(hub))
        {
            return error_of(hub);
        }
        m_hub = std::move(value_of(hub));
        m_settings.self.address = m_hub->self().address;
        for (const control_peer& peer : m_settings.control)
        {
            m_hub->set_peer(peer.vm, peer.address);
        }
        return success();
    }

    status open_servers()
    {
        http::server_limits limits;
        limits.connections = m_settings.max_callers;
        limits.body_bytes = m_settings.max_body_bytes;
        auto callers_server = http::server::listen(
            m_context,
            m_settings.callers,
            limits,
            [this](http::exchange& exchange)
            {
                return answer_caller(exchange);
            },
            &make_server_refusal);
        if (!is_ok(callers_server))
        {
            return error_of(callers_server);
        }
        m_caller_server = std::move(value_of(callers_server));
        auto backends_server = http::server::listen(
            m_context,
            m_settings.backends,
            {},
            [this](http::exchange& exchange)
            {
                return m_backend_api->handle(exchange);
            },
            &make_server_refusal);
        if (!is_ok(backends_server))
        {
            return error_of(backends_server);
        }
        m_backend_server = std::move(value_of(backends_server));
        return success();
    }

    entry_parts make_entry_parts()
    {
        return {m_hub,
                m_membership,
                m_routes,
                m_metrics,
                m_claims,
                [this]
                {
                    return m_config->get();
                }};
    }

    backend_api_parts make_api_parts()
    {
        return {m_hub,
                m_membership,
                m_owners,
                m_directory,
                m_metrics,
                [this]
                {
                    return m_config->get();
                },
                [this]
                {
                    return is_ready();
                }};
    }

    void connect_membership()
    {
        membership_service::handlers handlers;
        handlers.on_view = [this](const membership_service::view_ptr& view)
        {
            update_links(view);
            update_routes();
        };
        handlers.on_ownership = [this](const membership::ownership_changed& to)
        {
            m_owners->on_ownership(to);
        };
        handlers.on_superseded = [this]
        {
            m_on_stop();
        };
        m_membership->connect(m_hub, std::move(handlers));
    }

    net::awaitable<void> answer_caller(http::exchange& exchange)
    {
        auto health = m_backend_api->health(exchange.received());
        if (health)
        {
            co_await exchange.respond(std::move(*health));
            co_return;
        }
        co_await m_entry->handle(exchange);
    }

    void handle_frame(const wire::link_identity& from,
                      wire::channel kind,
                      const std::string& payload)
    {
        if (!m_links_ready)
        {
            return;
        }
        switch (kind)
        {
        case wire::channel::membership:
            m_membership->receive(payload, monotonic_clock::now());
            return;
        case wire::channel::exchange:
            handle_exchange(from, payload);
            return;
        case wire::channel::control:
            handle_reply(payload);
            return;
        case wire::channel::config:
            m_config->receive(from.vm, payload, monotonic_clock::now());
            return;
        default:
            log_event(log_level::warn,
                      "frame.unexpected",
                      {{"peer", from.vm.get()}, {"channel", to_string(kind)}});
        }
    }

    void handle_exchange(const wire::link_identity& from,
                         std::string_view payload)
    {
        auto message = decode_exchange_message(payload);
        if (!is_ok(message))
        {
            log_event(log_level::warn,
                      "frame.malformed",
                      {{"peer", from.vm.get()},
                       {"reason", error_of(message).message}});
            return;
        }
        exchange_message& value = value_of(message);
        if (is_for_entry(value.content))
        {
            m_entry->receive(from, std::move(value));
        }
        else
        {
            m_owners->receive(from, std::move(value));
        }
    }

    void handle_reply(std::string_view payload)
    {
        auto message = wire::decode_call_message(payload);
        if (is_ok(message) &&
            std::holds_alternative<wire::reply>(value_of(message)))
        {
            m_claims->receive(
                std::move(std::get<wire::reply>(value_of(message))));
        }
    }

    static bool is_for_entry(const exchange_content& content)
    {
        return std::holds_alternative<head_message>(content) ||
               std::holds_alternative<part_message>(content) ||
               std::holds_alternative<finish_message>(content) ||
               std::holds_alternative<state_message>(content);
    }

    void update_links(const membership_service::view_ptr& view)
    {
        std::vector<vm_id> local_peers;
        for (const membership::router_record& peer : view->routers())
        {
            if (peer.self.vm != m_settings.self.vm &&
                peer.self.data_centre == m_settings.self.data_centre)
            {
                local_peers.push_back(peer.self.vm);
            }
            const auto address = http::parse_endpoint(peer.self.address);
            if (peer.self.vm != m_settings.self.vm && is_ok(address))
            {
                m_hub->set_peer(peer.self.vm, value_of(address));
            }
        }
        m_config->set_peers(std::move(local_peers));
    }

    void update_routes()
    {
        const config::view_ptr config = m_config->get();
        if (!config)
        {
            return;
        }
        const membership_service::view_ptr view = m_membership->view();
        m_routes->update(view, *config, monotonic_clock::now());
        m_owners->update(view, config);
    }

    bool is_ready() const
    {
        return !m_draining && m_membership->joined() &&
               m_config->get() != nullptr;
    }

    void subscribe_timers()
    {
        m_timers.every(tick_period,
                       [this](time_point now)
                       {
                           m_membership->tick(now);
                           m_owners->tick(now);
                           m_config->tick(now);
                       });
        net::post(m_strand,
                  [this]
                  {
                      run_timers();
                  });
    }

    void run_timers()
    {
        m_timers.advance(monotonic_clock::now());
        const auto next = m_timers.next();
        if (m_closed || !next)
        {
            return;
        }
        m_wakeup.expires_after(*next - monotonic_clock::now());
        m_wakeup.async_wait(
            [this](boost::system::error_code cancelled)
            {
                if (!cancelled)
                {
                    run_timers();
                }
            });
    }

    void begin_drain(std::function<void()> on_drained)
    {
        m_draining = true;
        log_event(log_level::info, "router.drain", {});
        m_caller_server->stop_accepting();
        m_membership->leave(monotonic_clock::now());
        const time_point earliest =
            monotonic_clock::now() + leave_announcement_time;
        const auto id = std::make_shared<timer_service::subscription>();
        *id = m_timers.every(
            drain_check_period,
            [this, earliest, id, call = std::move(on_drained)](time_point now)
            {
                const bool idle =
                    m_entry->open_count() == 0 && m_owners->open_count() == 0;
                if (idle && now >= earliest)
                {
                    m_timers.cancel(*id);
                    call();
                }
            });
    }

    net::io_context& m_context;
    router_settings m_settings;
    std::function<void()> m_on_stop;
    net::strand<net::io_context::executor_type> m_strand;
    timer_service m_timers;
    net::steady_timer m_wakeup;
    incarnation m_incarnation;
    std::shared_ptr<config_store> m_config;
    std::shared_ptr<wire::link_hub> m_hub;
    std::shared_ptr<membership_service> m_membership;
    std::shared_ptr<shared_directory> m_directory;
    std::shared_ptr<routing_table> m_routes;
    std::shared_ptr<request_metrics> m_metrics;
    std::shared_ptr<claims_client> m_claims;
    std::shared_ptr<http::client> m_client;
    std::shared_ptr<owner_service> m_owners;
    std::unique_ptr<entry_service> m_entry;
    std::unique_ptr<backend_api> m_backend_api;
    std::unique_ptr<http::server> m_caller_server;
    std::unique_ptr<http::server> m_backend_server;
    /// Frames received before all components exist are dropped.
    std::atomic<bool> m_links_ready{false};
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_closed{false};
};

} // namespace

outcome<std::unique_ptr<router>> router::create(net::io_context& context,
                                                const router_settings& settings,
                                                std::function<void()> on_stop)
{
    auto instance =
        std::make_unique<running_router>(context, settings, std::move(on_stop));
    const status started = instance->start();
    if (!is_ok(started))
    {
        return error_of(started);
    }
    return std::unique_ptr<router>(std::move(instance));
}

} // namespace limpet::pipeline

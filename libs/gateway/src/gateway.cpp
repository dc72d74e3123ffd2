#include "directory_client.hpp"
#include "gateway_state.hpp"
#include "request_handler.hpp"
#include "server_refusal.hpp"
#include "server_silence.hpp"

#include <limpet/base/hash.hpp>
#include <limpet/base/log.hpp>
#include <limpet/gateway/gateway.hpp>
#include <limpet/http/metrics_server.hpp>
#include <limpet/http/server.hpp>

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <set>
#include <sstream>

namespace limpet::gateway
{

namespace net = boost::asio;

namespace
{

/// Time for which new requests are still served after readiness was withdrawn.
/// The load balancer probes once a second and removes the gateway after the
/// second failed probe.
constexpr duration readiness_propagation_delay = milliseconds(2600);
/// Time before the drain timeout at which requests in progress are ended, so
/// that their callers have the final responses before the process exits.
constexpr duration final_response_time = milliseconds(300);
/// Interval between checks for open connections while draining.
constexpr duration drain_poll_interval = milliseconds(50);
/// Timeout of connecting to a server. Covers several round trips between data
/// centres and is shorter than any route's latency objective.
constexpr duration connect_timeout = milliseconds(250);
/// Time after which an idle connection to a server is closed.
constexpr duration server_idle_timeout = seconds(4);

/// Fraction of the VM's memory that callers' requests may take, and a
/// fraction (1/n) for responses. The links have theirs; the rest is for
/// connections and the program itself.
constexpr double request_memory_fraction = 0.375;
constexpr std::uint64_t response_memory_divisor = 5;
/// Fraction (1/n) of the VM's memory for callers' connections, each of which
/// takes about so many bytes besides what counts of its request.
constexpr std::uint64_t connection_memory_divisor = 8;
constexpr std::uint64_t connection_bytes = 8UL * 1024;
/// Fractions (1/n) of the descriptors for callers' connections and for those of
/// readiness probes. The others are for connections to servers, replicas and
/// routers.
constexpr std::size_t caller_descriptors_divisor = 2;
constexpr std::size_t probe_descriptors_divisor = 16;

/// Limits of a listener that gets requests without bodies from one peer.
http::server_limits probe_limits(const gateway_settings& settings)
{
    constexpr std::size_t most_connections = 1000;
    http::server_limits limits;
    limits.body_bytes = 1024;
    limits.total_request_bytes = 256UL * 1024;
    limits.connections = most_connections;
    if (settings.max_descriptors)
    {
        limits.connections = std::min<std::size_t>(
            most_connections,
            *settings.max_descriptors / probe_descriptors_divisor);
    }
    return limits;
}

http::server_limits initial_caller_limits(const gateway_settings& settings)
{
    http::server_limits limits;
    if (settings.memory)
    {
        limits.total_request_bytes = static_cast<std::size_t>(
            static_cast<double>(*settings.memory) * request_memory_fraction);
    }
    if (settings.max_descriptors)
    {
        limits.connections =
            *settings.max_descriptors / caller_descriptors_divisor;
    }
    if (settings.memory)
    {
        limits.connections = std::min<std::size_t>(
            limits.connections,
            *settings.memory / connection_memory_divisor / connection_bytes);
    }
    return limits;
}

response_buffer_budget make_response_budget(const gateway_settings& settings)
{
    return response_buffer_budget(
        settings.memory ? *settings.memory / response_memory_divisor
                        : response_buffer_budget::default_bytes);
}

http::server_limits to_server_limits(const directory::caller_limits& from)
{
    http::server_limits limits;
    limits.header_bytes = from.header_bytes;
    limits.body_bytes = from.body_bytes;
    limits.head_timeout = from.header_timeout;
    limits.receive_timeout =
        std::max(limits.receive_timeout, from.header_timeout);
    limits.idle_timeout = from.idle_timeout;
    return limits;
}

/// Names this start of the router in its reports.
rollout::reporter_key make_reporter_key(const vm_id& vm)
{
    const auto started_at = monotonic_clock::now().time_since_epoch().count();
    return rollout::reporter_key(combine_hashes(
        stable_hash(vm.get()), static_cast<std::uint64_t>(started_at)));
}

class running_gateway final : public gateway
{
public:
    running_gateway(net::io_context& context,
                    const gateway_settings& settings,
                    const protocol& codec)
        : m_context(context),
          m_settings(settings),
          m_state{codec,
                  server_pool(settings.data_centre),
                  {},
                  make_client(),
                  nullptr,
                  settings.retry_ratio,
                  monotonic_clock::now(),
                  {},
                  {},
                  make_response_budget(settings),
                  false,
                  make_origins(),
                  make_quarantine()},
          m_drain_timer(context),
          m_end_timer(context)
    {
        m_state.handover = make_handover();
        if (settings.rollout_exposure_share)
        {
            m_state.pool.enable_rollouts(*settings.rollout_exposure_share,
                                         make_reporter_key(settings.vm));
        }
    }

    status start()
    {
        status opened = open_directory();
        if (is_ok(opened))
        {
            opened = open_readiness();
        }
        if (is_ok(opened) && m_settings.metrics)
        {
            opened = open_metrics();
        }
        if (is_ok(opened))
        {
            opened = open_callers();
        }
        if (is_ok(opened))
        {
            log_event(log_level::info,
                      "gateway.start",
                      {{"vm", m_settings.vm.get()},
                       {"data_centre", m_settings.data_centre.get()},
                       {"seeds", m_settings.seeds.size()}});
        }
        return opened;
    }

    void reload(const gateway_settings& settings) override
    {
        const bool needs_restart = settings.vm != m_settings.vm ||
                                   settings.callers != m_settings.callers ||
                                   settings.readiness != m_settings.readiness ||
                                   settings.peers != m_settings.peers ||
                                   settings.metrics != m_settings.metrics;
        log_event(needs_restart ? log_level::warn : log_level::info,
                  "settings.reloaded",
                  {{"seeds", settings.seeds.size()},
                   {"needs_restart", needs_restart}});
        m_directory_client->add_seeds(settings.seeds);
    }

    void drain(std::function<void()> on_drained) override
    {
        m_draining = true;
        m_on_drained = std::move(on_drained);
        log_event(log_level::info,
                  "gateway.drain",
                  {{"requests", m_caller_server->open_request_count()}});
        m_caller_server->wind_down();
        const duration time_to_end = std::max(
            duration::zero(), m_settings.drain_timeout - final_response_time);
        end_requests_after(time_to_end);
        m_drain_timer.expires_after(
            std::min(readiness_propagation_delay, time_to_end));
        m_drain_timer.async_wait(
            [this](boost::system::error_code cancelled)
            {
                if (!cancelled)
                {
                    // The gateway accepts connections until it exits, since a
                    // connection in the accept backlog may already carry a
                    // request. New requests are refused from now on: they
                    // might not end before the drain timeout.
                    m_state.is_shutting_down = true;
                    m_caller_server->close_idle();
                    poll_until_drained();
                }
            });
    }

    void close() override
    {
        m_end_timer.cancel();
        m_caller_server->close();
        m_readiness_server->close();
        if (m_metrics_server)
        {
            m_metrics_server->close();
        }
        m_state.quarantine->close();
        m_directory_client->close();
        m_state.queue.wake_all();
    }

private:
    static std::shared_ptr<http::client> make_client()
    {
        http::client_limits limits;
        limits.connect_timeout = connect_timeout;
        limits.silence_timeout = server_silence_timeout;
        limits.idle_timeout = server_idle_timeout;
        return http::client::create(limits);
    }

    std::unique_ptr<origin_service> make_origins()
    {
        origin_callbacks callbacks;
        callbacks.send = [this](const vm_id& router, std::string payload)
        {
            m_directory_client->send_to_router(
                router, wire::channel::origins, std::move(payload));
        };
        callbacks.only_version =
            [this](origins::service_key service, duration max_age)
        {
            const time_point now = monotonic_clock::now();
            return knows_versions_since(service, now - max_age) &&
                           m_directory_client->has_orders_until(
                               now - origins::certainty_time)
                       ? m_state.pool.only_version(service, now - max_age)
                       : std::nullopt;
        };
        callbacks.shared_services = [this]
        {
            const time_point since = monotonic_clock::now() - m_max_stream_age;
            std::set<origins::service_key> result = m_state.pool.services();
            std::erase_if(result,
                          [this, since](origins::service_key each)
                          {
                              return knows_versions_since(each, since) &&
                                     m_state.pool.only_version(each, since);
                          });
            return result;
        };
        return std::make_unique<origin_service>(
            m_settings.vm, m_settings.data_centre, std::move(callbacks));
    }

    std::unique_ptr<handover_service> make_handover()
    {
        handover_callbacks callbacks;
        callbacks.send = [this](const vm_id& router, std::string payload)
        {
            return m_directory_client->send_to_router(
                router, wire::channel::exchange, std::move(payload));
        };
        callbacks.serve = [this](http::exchange& caller,
                                 duration time_left) -> net::awaitable<bool>
        {
            request_handler request(m_state, caller, time_left);
            co_await request.run();
            co_return !request.is_unserved();
        };
        callbacks.claim_memory = [this](std::size_t bytes)
        {
            return m_caller_server ? m_caller_server->claim_memory(bytes)
                                   : nullptr;
        };
        return std::make_unique<handover_service>(m_context,
                                                  m_settings.vm,
                                                  m_settings.data_centre,
                                                  std::move(callbacks));
    }

    std::unique_ptr<quarantine_service> make_quarantine()
    {
        return std::make_unique<quarantine_service>(
            m_context,
            m_settings.vm,
            [this](const vm_id& router, std::string payload)
            {
                m_directory_client->send_to_router(
                    router, wire::channel::quarantine, std::move(payload));
            });
    }

    /// Returns whether this router knows of each version that the service's
    /// servers have had since then: it was told of all servers, or only one
    /// version was ever recorded.
    bool knows_versions_since(origins::service_key service,
                              time_point since) const
    {
        if (!m_directory_client || !m_directory_client->is_in_touch())
        {
            return false;
        }
        const auto begins_at = m_directory_client->history_begins_at();
        return m_single_version_services.contains(service) ||
               (begins_at && *begins_at <= since);
    }

    void set_router_callbacks(directory_callbacks& callbacks)
    {
        callbacks.on_router_map = [this](const origins::router_map& routers)
        {
            m_state.origins->set_routers(routers);
            origins::router_map others = routers;
            others.erase(m_settings.vm);
            m_state.handover->set_routers(std::move(others));
            std::set<vm_id> names;
            for (const auto& [vm, data_centre] : routers)
            {
                names.insert(vm);
            }
            m_state.pool.set_router_names(m_settings.vm, names);
            m_state.quarantine->set_routers(std::move(names));
        };
        callbacks.on_quarantine_frame =
            [this](const vm_id& from, const std::string& payload)
        {
            m_state.quarantine->receive(from, payload);
        };
        callbacks.on_exchange_frame =
            [this](const vm_id& from, const std::string& payload)
        {
            m_state.handover->receive(from, payload);
        };
        callbacks.on_router_frame =
            [this](const vm_id& from, const std::string& payload)
        {
            m_state.origins->receive(from, payload);
        };
        callbacks.on_router_lost = [this](const vm_id& router)
        {
            m_state.origins->on_lost(router);
            m_state.quarantine->on_lost(router);
            m_state.handover->on_lost(router);
        };
        callbacks.on_replicas_checked =
            [this](const std::set<vm_id>& known, const std::set<vm_id>& live)
        {
            m_state.origins->set_replicas(known, live);
            m_state.origins->update_sharing();
        };
    }

    status open_directory()
    {
        directory_callbacks callbacks;
        callbacks.on_orders = [this](const fleet_orders& orders)
        {
            apply_orders(orders);
        };
        callbacks.on_registration =
            [this](const directory::registration& registration)
        {
            m_state.pool.apply(registration, monotonic_clock::now());
        };
        callbacks.on_servers_changed = [this]
        {
            m_state.queue.wake_all();
            m_state.origins->update_sharing();
        };
        set_router_callbacks(callbacks);
        callbacks.on_routers = [this](std::uint32_t count)
        {
            m_state.pool.set_routers(count);
        };
        callbacks.take_load_update = [this]
        {
            return m_state.pool.take_load_update(monotonic_clock::now());
        };
        callbacks.on_load_update = [this](const directory::load_update& update)
        {
            m_state.pool.on_load_update(update, monotonic_clock::now());
            // Requests of other routers may have ended.
            m_state.queue.wake_all();
        };
        callbacks.on_load_peer_lost = [this]
        {
            m_state.pool.on_load_peer_lost();
        };
        callbacks.on_load_peer_replaced = [this]
        {
            m_state.pool.on_load_peer_replaced();
        };
        auto opened = directory_client::listen(
            m_context, m_settings, std::move(callbacks));
        if (!is_ok(opened))
        {
            return error_of(opened);
        }
        m_directory_client = value_of(std::move(opened));
        return success();
    }

    void apply_orders(const fleet_orders& orders)
    {
        m_state.pool.set_taken_out(orders.taken_out);
        m_single_version_services.clear();
        origins::version_sets recorded;
        for (const auto& [service, versions] : orders.versions)
        {
            const auto key = origins::make_service_key(service);
            if (versions.size() == 1)
            {
                m_single_version_services.insert(key);
            }
            for (const std::string& each : versions)
            {
                recorded[key].insert(origins::make_version_key(service, each));
            }
        }
        m_state.pool.set_recorded_versions(recorded, monotonic_clock::now());
        m_state.pool.set_rollouts(orders.rollouts, monotonic_clock::now());
        if (orders.document.empty())
        {
            return;
        }
        auto plan = m_state.codec.read_document(orders.document);
        if (!is_ok(plan))
        {
            log_event(log_level::error,
                      "document.unreadable",
                      {{"reason", error_of(plan).message}});
            return;
        }
        m_state.plan = std::make_shared<const directory::route_table>(
            value_of(std::move(plan)));
        m_state.pool.set_plan(m_state.plan);
        m_max_stream_age = duration::zero();
        for (const directory::route& each : m_state.plan->document().routes)
        {
            m_max_stream_age = std::max(m_max_stream_age, max_stream_age(each));
        }
        m_caller_server->set_limits(
            to_server_limits(m_state.plan->document().limits));
        m_state.queue.wake_all();
        log_event(log_level::info,
                  "document.in_force",
                  {{"version", m_state.plan->document().version.get()},
                   {"index", orders.index},
                   {"routes", m_state.plan->document().routes.size()},
                   {"taken_out", orders.taken_out.size()}});
    }

    status open_readiness()
    {
        auto opened = http::server::listen(m_context,
                                           m_settings.readiness,
                                           probe_limits(m_settings),
                                           [this](http::exchange& caller)
                                           {
                                               return answer_readiness(caller);
                                           });
        if (!is_ok(opened))
        {
            return error_of(opened);
        }
        m_readiness_server = value_of(std::move(opened));
        return success();
    }

    net::awaitable<void> answer_readiness(http::exchange& caller)
    {
        http::response answer;
        const bool is_ready =
            m_state.plan && m_state.pool.size() > 0 && !m_draining;
        answer.head.status = !m_state.codec.asks_readiness(caller.received())
                                 ? 404
                             : is_ready ? 200
                                        : 503;
        co_await caller.respond(std::move(answer));
    }

    status open_metrics()
    {
        auto opened = http::listen_for_metrics(m_context,
                                               *m_settings.metrics,
                                               [this]
                                               {
                                                   return metrics_text();
                                               });
        if (!is_ok(opened))
        {
            return error_of(opened);
        }
        m_metrics_server = value_of(std::move(opened));
        return success();
    }

    std::string metrics_text() const
    {
        std::ostringstream out;
        const http::server_counts counts = m_caller_server->counts();
        out << m_state.metrics.to_text() << "limpet_gateway_waiting "
            << m_state.queue.size() << "\nlimpet_gateway_open_requests "
            << m_caller_server->open_request_count()
            << "\nlimpet_gateway_connections "
            << m_caller_server->connection_count()
            << "\nlimpet_gateway_connections_ended_total "
            << counts.ended_connections
            << "\nlimpet_gateway_connections_refused_total "
            << counts.refused_connections
            << "\nlimpet_gateway_requests_without_memory_total "
            << counts.without_memory << "\nlimpet_gateway_response_bytes "
            << m_state.response_buffers.used_bytes()
            << "\nlimpet_gateway_servers " << m_state.pool.size()
            << "\nlimpet_gateway_limited_servers "
            << m_state.pool.limited_servers()
            << "\nlimpet_gateway_leaving_servers "
            << m_state.pool.leaving_servers()
            << "\nlimpet_gateway_closed_servers "
            << m_state.pool.closed_servers(monotonic_clock::now())
            << "\nlimpet_gateway_handed_over_requests "
            << m_state.handover->sent_count()
            << "\nlimpet_gateway_requests_for_others "
            << m_state.handover->served_count()
            << "\nlimpet_gateway_quarantined_parts "
            << m_state.quarantine->size()
            << "\nlimpet_gateway_replicas_in_touch "
            << m_directory_client->live_replica_count()
            << "\nlimpet_gateway_document_version "
            << (m_state.plan ? m_state.plan->document().version.get() : 0)
            << "\n"
            << rollout_metrics_text() << "limpet_log_lines_total "
            << log_lines_written() << "\n";
        return out.str();
    }

    std::string rollout_metrics_text() const
    {
        const rollout_tracker* rollouts = m_state.pool.rollouts();
        if (rollouts == nullptr)
        {
            return {};
        }
        std::ostringstream out;
        const auto write =
            [&out](std::string_view side, const rollout::outcome_counts& counts)
        {
            const auto line =
                [&out, side](std::string_view outcome, std::uint32_t count)
            {
                out << "limpet_gateway_rollout_answers{side=\"" << side
                    << "\",outcome=\"" << outcome << "\"} " << count << "\n";
            };
            line("served", counts.served);
            line("failed", counts.failed);
            line("slow", counts.slow);
        };
        write("target", rollouts->target_outcomes());
        write("other", rollouts->other_outcomes());
        return out.str();
    }

    status open_callers()
    {
        auto opened = http::server::listen(
            m_context,
            m_settings.callers,
            initial_caller_limits(m_settings),
            [this](http::exchange& caller) -> net::awaitable<void>
            {
                request_handler request(m_state, caller);
                co_await request.run();
            },
            [this](unsigned status, std::string_view reason)
            {
                return make_server_refusal(m_state.codec, status, reason);
            });
        if (!is_ok(opened))
        {
            return error_of(opened);
        }
        m_caller_server = value_of(std::move(opened));
        return success();
    }

    void end_requests_after(duration time_to_end)
    {
        m_state.drain_ends_at = monotonic_clock::now() + time_to_end;
        m_end_timer.expires_after(time_to_end);
        m_end_timer.async_wait(
            [this](boost::system::error_code cancelled)
            {
                if (!cancelled)
                {
                    log_event(
                        log_level::warn,
                        "gateway.drain_ends",
                        {{"requests", m_caller_server->open_request_count()}});
                    m_state.end_requests();
                }
            });
    }

    void poll_until_drained()
    {
        if (m_caller_server->connection_count() == 0 &&
            m_state.handover->served_count() == 0)
        {
            m_on_drained();
            return;
        }
        m_drain_timer.expires_after(drain_poll_interval);
        m_drain_timer.async_wait(
            [this](boost::system::error_code cancelled)
            {
                if (!cancelled)
                {
                    poll_until_drained();
                }
            });
    }

    net::io_context& m_context;
    gateway_settings m_settings;
    gateway_state m_state;
    std::unique_ptr<directory_client> m_directory_client;
    std::unique_ptr<http::server> m_readiness_server;
    std::unique_ptr<http::server> m_metrics_server;
    std::unique_ptr<http::server> m_caller_server;
    /// Services of whose servers only one version was ever recorded.
    std::set<origins::service_key> m_single_version_services;
    /// Of all routes of the configuration.
    duration m_max_stream_age{};
    net::steady_timer m_drain_timer;
    net::steady_timer m_end_timer;
    std::function<void()> m_on_drained;
    bool m_draining = false;
};

} // namespace

outcome<std::unique_ptr<gateway>>
gateway::create(net::io_context& context,
                const gateway_settings& settings,
                const protocol& codec)
{
    auto created = std::make_unique<running_gateway>(context, settings, codec);
    const status started = created->start();
    if (!is_ok(started))
    {
        return error_of(started);
    }
    return std::unique_ptr<gateway>(std::move(created));
}

} // namespace limpet::gateway

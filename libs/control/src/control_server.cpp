#include "await_callback.hpp"
#include "claims_service.hpp"
#include "config_source.hpp"
#include "control_state.hpp"
#include "departure_intake.hpp"
#include "departure_recorder.hpp"
#include "directory_feed.hpp"
#include "follower_reads.hpp"
#include "group_discovery.hpp"
#include "operator_service.hpp"
#include "order_service.hpp"
#include "replica_metrics.hpp"
#include "stream_keeper.hpp"
#include "traffic_meter.hpp"
#include "wall_clock.hpp"
#include "work_meter.hpp"

#include <limpet/base/hash.hpp>
#include <limpet/base/log.hpp>
#include <limpet/control/control_server.hpp>
#include <limpet/http/background_queue.hpp>
#include <limpet/http/endpoint.hpp>
#include <limpet/http/metrics_server.hpp>
#include <limpet/http/server.hpp>
#include <limpet/replica/replica.hpp>
#include <limpet/wire/link_hub.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace limpet::control
{

namespace net = boost::asio;

namespace
{

/// Time without received frames after which a link is reconnected. Several
/// round trips between data centres, but short enough that changes reach
/// routers well within two seconds.
constexpr duration link_timeout = milliseconds(1000);
/// Maximum delay between two attempts to connect to a peer.
constexpr duration link_retry = milliseconds(200);
/// Timeout for connecting to a peer. Several round trips between data centres.
/// Needed because a VM without power does not answer at all.
constexpr duration link_connect_timeout = milliseconds(300);

/// Delay of an event or of an answer from which the replica logs what it
/// worked on: half of a heartbeat interval of the group.
constexpr duration min_logged_delay = milliseconds(60);
/// Shortest interval between two such log lines.
constexpr duration delay_log_interval = milliseconds(250);
/// Interval between the log lines of a replica that knows no leader.
constexpr duration no_leader_log_interval = milliseconds(1000);

/// Fraction (1/n) of the VM's memory for bodies of operators' requests. A
/// document takes several times its size while it is read.
constexpr std::uint64_t body_memory_divisor = 8;
/// Fraction (1/n) of the VM's memory for frames that peers are sending.
constexpr std::uint64_t link_memory_divisor = 8;
/// Fractions (1/n) of the descriptors for operators and backend servers, and
/// for peers. The others are for connections to peers and for files.
constexpr std::uint64_t operator_descriptors_divisor = 3;
constexpr std::uint64_t link_descriptors_divisor = 4;

http::server_limits operator_limits(const control_settings& settings)
{
    http::server_limits limits;
    if (settings.memory)
    {
        limits.total_request_bytes = *settings.memory / body_memory_divisor;
    }
    if (settings.max_descriptors)
    {
        limits.connections =
            *settings.max_descriptors / operator_descriptors_divisor;
    }
    return limits;
}

/// Returns the VMs of the voters or of the learners, separated by commas.
std::string names_of(const std::vector<replica::member_view>& members,
                     bool are_voters)
{
    std::string names;
    for (const replica::member_view& each : members)
    {
        if (each.voter == are_voters)
        {
            names += (names.empty() ? "" : ",") + each.id.vm.get();
        }
    }
    return names;
}

class control_server_impl final : public control_server
{
public:
    control_server_impl(net::io_context& context,
                        control_settings settings,
                        const interface_factory& make_interface)
        : m_context(context),
          m_settings(std::move(settings)),
          m_make_interface(make_interface),
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
        m_reads = std::make_unique<follower_reads>(
            m_context, *m_replica, m_hub, unix_ms());
        m_stream_keeper = std::make_unique<stream_keeper>(m_hub);
        m_operators = std::make_unique<operator_service>(
            m_state, *m_source, *m_replica, *m_hub);
        if (m_settings.discovery)
        {
            make_feed();
            make_recorder();
            m_orders = std::make_unique<order_service>(
                m_state,
                *m_replica,
                *m_feed,
                *m_reads,
                *m_departures,
                vm_ports{m_settings.vm, m_settings.operators.port()},
                m_settings.rollout_repeat_time);
        }
        opened = open_server();
        if (is_ok(opened) && m_settings.metrics)
        {
            opened = open_metrics();
        }
        if (!is_ok(opened))
        {
            return opened;
        }
        if (m_feed)
        {
            m_feed->start();
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

    void reload(const control_settings& settings) override
    {
        const bool needs_restart =
            settings.vm != m_settings.vm ||
            settings.peers != m_settings.peers ||
            settings.operators != m_settings.operators ||
            settings.data_folder != m_settings.data_folder;
        const bool has_seeds = m_feed && settings.discovery;
        log_event(needs_restart ? log_level::warn : log_level::info,
                  "settings.reloaded",
                  {{"seeds", has_seeds ? settings.discovery->seeds.size() : 0},
                   {"needs_restart", needs_restart}});
        if (has_seeds)
        {
            m_discovery->add_seeds(
                settings.discovery->seeds, *m_replica, *m_feed);
        }
    }

    void drain(std::function<void()> on_drained) override
    {
        m_server->stop_accepting();
        m_draining = true;
        if (m_feed)
        {
            m_departures->stop();
            m_feed->stop();
        }
        m_replica->stop(
            [call = std::move(on_drained)](const status&)
            {
                call();
            });
    }

    void close() override
    {
        m_server->close();
        if (m_metrics_server)
        {
            m_metrics_server->close();
        }
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
            handle_frame(from, kind, payload);
        };
        handlers.on_lost = [this](const vm_id& peer)
        {
            log_event(log_level::warn, "peer.lost", {{"peer", peer.get()}});
            if (m_feed)
            {
                m_feed->on_lost(peer);
                m_departures->on_lost(peer);
            }
        };
        const wire::link_identity self{m_settings.vm,
                                       m_settings.data_centre,
                                       incarnation(unix_ms()),
                                       http::to_string(m_settings.peers)};
        wire::link_settings links;
        links.connect_timeout = link_connect_timeout;
        links.silence_timeout = link_timeout;
        links.max_reconnect_delay = link_retry;
        if (m_settings.memory)
        {
            links.max_total_received_bytes =
                *m_settings.memory / link_memory_divisor;
        }
        if (m_settings.max_descriptors)
        {
            links.max_incoming = std::min<std::size_t>(
                links.max_incoming,
                *m_settings.max_descriptors / link_descriptors_divisor);
        }
        auto hub = wire::link_hub::listen(
            m_context, m_settings.peers, self, links, std::move(handlers));
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
        if (m_settings.discovery)
        {
            m_discovery.emplace(m_settings.peers.port(), m_hub);
            m_discovery->configure_group(*m_settings.discovery, settings);
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

    void make_feed()
    {
        feed_callbacks callbacks;
        callbacks.orders = [this]() -> const directory::intent&
        {
            return m_state.orders();
        };
        callbacks.has_lease = [this]
        {
            // Without the lease, the orders may be stale: a follower may lag,
            // and every replica lags after a restart.
            return m_replica->view().has_lease;
        };
        callbacks.replicas = [this]
        {
            return members_of(*m_replica);
        };
        callbacks.is_settled = [this]
        {
            const replica::replica_view state = m_replica->view();
            return state.applied == state.last;
        };
        callbacks.on_contacts = [this](std::vector<vm_id> vms)
        {
            m_discovery->add_peers(vms);
            m_replica->add_contacts(std::move(vms));
        };
        callbacks.on_tick = [this]
        {
            log_leader_change();
            log_member_changes();
            log_missing_leader();
            if (m_orders)
            {
                m_orders->record_versions();
                m_orders->update_rollouts(monotonic_clock::now());
                update_departures();
            }
        };
        m_feed = std::make_unique<directory_feed>(
            make_event_loop(m_context),
            m_hub,
            m_settings.discovery->server_heartbeat_period,
            m_meter,
            std::move(callbacks));
        m_discovery->add_seeds(
            m_settings.discovery->seeds, *m_replica, *m_feed);
        const std::vector<vm_id> members = members_of(*m_replica);
        m_discovery->add_peers(members);
        for (const vm_id& each : members)
        {
            m_feed->add_contact(each);
        }
    }

    /// Puts the departures in force that the disk holds, committed or not.
    void restore_departures()
    {
        const auto found = m_intake.start();
        log_event(
            log_level::info, "departure.restored", {{"servers", found.size()}});
        m_feed->take_departures(found);
    }

    log_position position() const
    {
        const replica::replica_view state = m_replica->view();
        const bool is_voter =
            std::any_of(state.members.begin(),
                        state.members.end(),
                        [&state](const replica::member_view& each)
                        {
                            return each.voter && each.id == state.self;
                        });
        return {is_voter, state.committed.get()};
    }

    void update_departures()
    {
        m_feed->take_departures(m_intake.apply(m_state.departures()));
        m_departures->update();
    }

    void make_recorder()
    {
        recorder_callbacks callbacks;
        callbacks.leader = [this]
        {
            const replica::replica_view state = m_replica->view();
            return known_leader{state.leader ? state.leader->vm : vm_id(),
                                state.term,
                                state.is_leader};
        };
        callbacks.propose =
            [this](std::string entry, replica::proposal_callback done)
        {
            m_replica->propose(std::move(entry), std::move(done));
        };
        callbacks.send =
            [this](const vm_id& to, const wire::call_message& message)
        {
            return m_hub->send(
                to, wire::channel::control, wire::encode(message));
        };
        callbacks.recorded = [this]() -> const directory::departure_table&
        {
            return m_state.departures();
        };
        callbacks.servers = [this]() -> const directory::registration_table&
        {
            return m_feed->registrations();
        };
        callbacks.unix_ms = unix_ms;
        m_departures = std::make_unique<departure_recorder>(
            make_event_loop(m_context), std::move(callbacks));
        restore_departures();
    }

    /// Puts the departures of a stored entry in force, after the replica has
    /// handled the message that brought it.
    void take_stored(replica::log_index index, std::string_view entry)
    {
        const auto departed = m_intake.store(index.get(), entry);
        if (departed.empty())
        {
            return;
        }
        const bool is_first = m_stored_departures.empty();
        m_stored_departures.insert(
            m_stored_departures.end(), departed.begin(), departed.end());
        if (is_first)
        {
            net::post(m_context,
                      [this]
                      {
                          m_feed->take_departures(
                              std::exchange(m_stored_departures, {}));
                      });
        }
    }

    void log_leader_change()
    {
        const replica::replica_view state = m_replica->view();
        const vm_id leader = state.leader ? state.leader->vm : vm_id();
        if (leader == m_leader)
        {
            return;
        }
        m_leader = leader;
        log_event(log_level::info,
                  "leader.changed",
                  {{"leader", leader.get()},
                   {"term", state.term.get()},
                   {"committed", state.committed.get()},
                   {"members", state.members.size()}});
    }

    /// Logs from whom a replica without a leader hears, and what it could be
    /// elected with.
    void log_missing_leader()
    {
        const time_point now = monotonic_clock::now();
        if (m_leader != vm_id() || now < m_next_no_leader_log)
        {
            return;
        }
        m_next_no_leader_log = now + no_leader_log_interval;
        std::string heard;
        for (const auto& [vm, at] : m_consensus_heard_at)
        {
            const auto age = std::chrono::duration_cast<milliseconds>(now - at);
            heard += (heard.empty() ? "" : ",") + vm.get() + "=" +
                     std::to_string(age.count());
        }
        const replica::replica_view state = m_replica->view();
        std::string incarnations;
        for (const replica::member_view& each : state.members)
        {
            incarnations += (incarnations.empty() ? "" : ",") +
                            each.id.vm.get() + "=" +
                            std::to_string(each.id.storage.get());
        }
        log_event(log_level::warn,
                  "leader.missing",
                  {{"term", state.term.get()},
                   {"last", state.last.get()},
                   {"committed", state.committed.get()},
                   {"incarnation", state.self.storage.get()},
                   {"members", incarnations},
                   {"voters", names_of(state.members, true)},
                   {"learners", names_of(state.members, false)},
                   {"heard_ms_ago", heard},
                   {"writable", state.is_storage_writable}});
    }

    void log_member_changes()
    {
        const replica::replica_view state = m_replica->view();
        const std::string voters = names_of(state.members, true);
        const std::string learners = names_of(state.members, false);
        if (voters == m_voters && learners == m_learners)
        {
            return;
        }
        m_voters = voters;
        m_learners = learners;
        log_event(log_level::info,
                  "members.changed",
                  {{"voters", voters},
                   {"learners", learners},
                   {"last", state.last.get()},
                   {"committed", state.committed.get()}});
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
            return restore(bytes);
        };
        callbacks.stored =
            [this](replica::log_index index, std::string_view entry)
        {
            take_stored(index, entry);
        };
        callbacks.send =
            [this](const vm_id& to, const std::vector<std::uint8_t>& bytes)
        {
            m_hub->send(to,
                        wire::channel::consensus,
                        std::string(bytes.begin(), bytes.end()));
        };
        callbacks.ticked = [this](const replica::tick_delays& delays)
        {
            record_delays(delays);
        };
        return callbacks;
    }

    void record_delays(const replica::tick_delays& delays)
    {
        m_late.add(delays.late);
        if (delays.persist != duration{})
        {
            m_persist.add(delays.persist);
        }
        m_longest.late = std::max(m_longest.late, delays.late);
        m_longest.persist = std::max(m_longest.persist, delays.persist);
        m_longest.round_trip =
            std::max(m_longest.round_trip, delays.round_trip);
        const time_point now = monotonic_clock::now();
        const bool is_delayed =
            std::max(
                {m_longest.late, m_longest.persist, m_longest.round_trip}) >=
            min_logged_delay;
        if (is_delayed && now >= m_next_delay_log)
        {
            m_next_delay_log = now + delay_log_interval;
            log_delays(std::exchange(m_longest, {}));
        }
    }

    void log_delays(const replica::tick_delays& delays)
    {
        const auto ms = [](duration span)
        {
            return std::chrono::duration_cast<milliseconds>(span).count();
        };
        log_event(
            log_level::warn,
            "control.delayed",
            {{"late_ms", ms(delays.late)},
             {"persist_ms", ms(delays.persist)},
             {"round_trip_ms", ms(delays.round_trip)},
             {"traffic", m_traffic.take_summary(m_hub->counters())},
             {"sent", m_feed ? m_feed->sent_content().take_summary() : ""},
             {"work", m_meter.take_summary()}});
    }

    status open_server()
    {
        http::server::handler handle = [this](http::exchange& caller)
        {
            return m_operators->handle(caller);
        };
        if (m_make_interface && m_settings.discovery)
        {
            handle = m_make_interface(*m_orders);
        }
        // Registrations wait for consensus and for what other processes send.
        auto server =
            http::server::listen(http::background_queue::of(m_context),
                                 m_settings.operators,
                                 operator_limits(m_settings),
                                 std::move(handle));
        if (!is_ok(server))
        {
            return error_of(server);
        }
        m_server = std::move(value_of(server));
        return success();
    }

    status open_metrics()
    {
        auto opened = http::listen_for_metrics(m_context,
                                               *m_settings.metrics,
                                               [this]
                                               {
                                                   return to_prometheus_text(
                                                       collect_metrics());
                                               });
        if (!is_ok(opened))
        {
            return error_of(opened);
        }
        m_metrics_server = std::move(value_of(opened));
        return success();
    }

    replica_metrics collect_metrics() const
    {
        replica_metrics result;
        result.state = m_replica->view();
        result.orders_index = m_state.orders().index;
        result.document_version = m_state.orders().version.get();
        if (m_feed)
        {
            result.routers = m_feed->routers();
            result.servers = m_feed->servers();
            result.departures = m_state.departures().size();
            result.departed = m_departures->counts();
            result.sent_content = &m_feed->sent_content();
        }
        result.sent = &m_hub->counters();
        result.work = &m_meter;
        result.late = &m_late;
        result.persist = &m_persist;
        return result;
    }

    void handle_frame(const wire::link_identity& from,
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
            const work_meter::timer work(m_meter, work_kind::consensus);
            m_consensus_heard_at[from.vm] = monotonic_clock::now();
            m_replica->receive(from.vm, {payload.begin(), payload.end()});
        }
        else if (kind == wire::channel::directory && m_feed)
        {
            m_feed->receive(from, payload);
        }
        else if (kind == wire::channel::config)
        {
            m_source->receive(from.vm, payload, monotonic_clock::now());
        }
        else if (kind == wire::channel::origins)
        {
            m_stream_keeper->receive(from.vm, payload, monotonic_clock::now());
        }
        else if (kind == wire::channel::control)
        {
            const work_meter::timer work(m_meter, work_kind::call);
            handle_call(from.vm, payload);
        }
    }

    void handle_call(const vm_id& from, std::string_view payload)
    {
        const auto message = wire::decode_call_message(payload);
        if (!is_ok(message))
        {
            log_event(
                log_level::warn, "frame.malformed", {{"peer", from.get()}});
            return;
        }
        if (const auto* answer = std::get_if<wire::reply>(&value_of(message)))
        {
            m_reads->receive(*answer);
            if (m_departures)
            {
                m_departures->receive(*answer);
            }
            return;
        }
        const auto& call = std::get<wire::call>(value_of(message));
        switch (call.kind)
        {
        case wire::call_kind::claim:
            m_claims->receive(from, call);
            return;
        case wire::call_kind::newest_index:
            m_reads->receive(from, call);
            return;
        case wire::call_kind::record_departures:
            if (m_departures)
            {
                m_departures->receive(from, call);
            }
            return;
        }
    }

    void publish()
    {
        if (m_source)
        {
            m_source->publish(monotonic_clock::now());
        }
        if (m_feed && !std::exchange(m_is_feed_update_posted, true))
        {
            // Entries applied in one iteration of the event loop are sent to
            // subscribers as one state.
            net::post(m_context,
                      [this]
                      {
                          m_is_feed_update_posted = false;
                          m_feed->orders_changed();
                          m_reads->on_applied(m_replica->view().applied.get());
                      });
        }
    }

    status restore(std::string_view bytes)
    {
        status restored = m_state.restore(bytes);
        if (is_ok(restored))
        {
            publish();
            if (!m_feed)
            {
                m_intake.restore(m_state.departures());
            }
        }
        return restored;
    }

    net::io_context& m_context;
    control_settings m_settings;
    interface_factory m_make_interface;
    control_state m_state;
    work_meter m_meter;
    traffic_meter m_traffic;
    /// Lateness of the replica's timer ticks, and times of disk writes.
    histogram m_late;
    histogram m_persist;
    /// Longest delays since the last control.delayed log line, and the time
    /// before which there is no other.
    replica::tick_delays m_longest;
    time_point m_next_delay_log{};
    std::shared_ptr<wire::link_hub> m_hub;
    std::unique_ptr<replica::replica> m_replica;
    std::unique_ptr<config_source> m_source;
    std::unique_ptr<stream_keeper> m_stream_keeper;
    /// Set only if the group is found by discovery.
    std::optional<group_discovery> m_discovery;
    std::unique_ptr<directory_feed> m_feed;
    std::unique_ptr<departure_recorder> m_departures;
    departure_intake m_intake{[this]
                              {
                                  return position();
                              }};
    /// Departures of stored log entries that are not in force yet.
    departure_intake::departures m_stored_departures;
    std::unique_ptr<claims_service> m_claims;
    std::unique_ptr<follower_reads> m_reads;
    std::unique_ptr<order_service> m_orders;
    std::unique_ptr<operator_service> m_operators;
    std::unique_ptr<http::server> m_server;
    std::unique_ptr<http::server> m_metrics_server;
    bool m_draining = false;
    bool m_is_feed_update_posted = false;
    /// Leader of the last leader.changed log line.
    vm_id m_leader;
    time_point m_next_no_leader_log{};
    /// When the last consensus message of each replica arrived.
    std::map<vm_id, time_point> m_consensus_heard_at;
    /// Members of the last members.changed log line.
    std::string m_voters;
    std::string m_learners;
};

} // namespace

outcome<std::unique_ptr<control_server>>
control_server::create(net::io_context& context,
                       const control_settings& settings,
                       const interface_factory& make_interface)
{
    auto server = std::make_unique<control_server_impl>(
        context, settings, make_interface);
    const status start_status = server->start();
    if (!is_ok(start_status))
    {
        return error_of(start_status);
    }
    return std::unique_ptr<control_server>(std::move(server));
}

} // namespace limpet::control

#include "directory_client.hpp"

#include <limpet/base/hash.hpp>
#include <limpet/base/log.hpp>
#include <limpet/http/endpoint.hpp>

#include <algorithm>
#include <chrono>

namespace limpet::gateway
{

namespace
{

/// Interval between subscription frames to a replica. The replica answers each
/// with the changes that the gateway has not confirmed.
constexpr duration subscribe_period = milliseconds(500);
/// Time without a frame after which a replica no longer counts as live.
constexpr duration replica_timeout = milliseconds(1600);
/// Time without data after which a link is replaced. Covers several round trips
/// between data centres; changes must reach the gateway well within 2 s.
constexpr duration link_silence_timeout = milliseconds(1000);
/// Fractions (1/n) of the VM's memory for requests that are handed over to
/// other routers and their responses, and for frames that peers are sending.
constexpr std::uint64_t queue_memory_divisor = 8;
constexpr std::uint64_t frame_memory_divisor = 16;
/// Room for a request of the largest usual size.
constexpr std::uint64_t min_link_memory = 8UL * 1024 * 1024;
/// Fraction (1/n) of the descriptors for connections from peers.
constexpr std::size_t link_descriptors_divisor = 4;
/// Longest delay between two attempts to connect to a replica.
constexpr duration max_link_retry_delay = milliseconds(200);
/// Timeout of connecting to a peer. Covers several round trips between data
/// centres; a VM that is powered off does not answer a connection attempt.
constexpr duration link_connect_timeout = milliseconds(300);

std::uint64_t unix_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(now).count());
}

} // namespace

directory_client::directory_client(boost::asio::io_context& context,
                                   data_centre_id home,
                                   directory_callbacks callbacks)
    : m_timer(context),
      m_load_timer(context),
      m_callbacks(std::move(callbacks)),
      m_home(std::move(home))
{
}

outcome<std::unique_ptr<directory_client>>
directory_client::listen(boost::asio::io_context& context,
                         const gateway_settings& settings,
                         directory_callbacks callbacks)
{
    auto client = std::make_unique<directory_client>(
        context, settings.data_centre, std::move(callbacks));
    directory_client* self = client.get();
    wire::link_handlers handlers;
    handlers.on_frame = [self](const wire::link_identity& from,
                               wire::channel kind,
                               const std::string& payload)
    {
        if (kind == wire::channel::directory)
        {
            self->receive(from, payload);
        }
        else if (kind == wire::channel::origins)
        {
            self->m_callbacks.on_router_frame(from.vm, payload);
        }
        else if (kind == wire::channel::quarantine)
        {
            self->m_callbacks.on_quarantine_frame(from.vm, payload);
        }
        else if (kind == wire::channel::exchange)
        {
            self->m_callbacks.on_exchange_frame(from.vm, payload);
        }
    };
    handlers.on_lost = [self](const vm_id& peer)
    {
        log_event(log_level::warn, "peer.lost", {{"peer", peer.get()}});
        if (peer == self->m_load_relay)
        {
            self->m_callbacks.on_load_peer_lost();
        }
        self->m_callbacks.on_router_lost(peer);
    };
    wire::link_settings links;
    links.connect_timeout = link_connect_timeout;
    links.silence_timeout = link_silence_timeout;
    links.max_reconnect_delay = max_link_retry_delay;
    if (settings.memory)
    {
        links.max_total_queued_bytes =
            std::max(*settings.memory / queue_memory_divisor, min_link_memory);
        links.max_total_received_bytes =
            std::max(*settings.memory / frame_memory_divisor, min_link_memory);
    }
    if (settings.max_descriptors)
    {
        links.max_incoming = std::min<std::size_t>(
            links.max_incoming,
            *settings.max_descriptors / link_descriptors_divisor);
    }
    const wire::link_identity identity{settings.vm,
                                       settings.data_centre,
                                       incarnation(unix_ms()),
                                       http::to_string(settings.peers)};
    auto hub = wire::link_hub::listen(
        context, settings.peers, identity, links, std::move(handlers));
    if (!is_ok(hub))
    {
        return error_of(hub);
    }
    client->m_hub = value_of(std::move(hub));
    client->add_seeds(settings.seeds);
    client->schedule();
    client->schedule_load_exchange();
    return client;
}

void directory_client::add_seeds(
    const std::vector<boost::asio::ip::tcp::endpoint>& seeds)
{
    for (const auto& seed : seeds)
    {
        add_replica(vm_id(seed.address().to_string()));
    }
}

void directory_client::close()
{
    m_closed = true;
    m_timer.cancel();
    m_load_timer.cancel();
    m_hub->close();
}

std::size_t directory_client::live_replica_count() const
{
    return static_cast<std::size_t>(
        std::count_if(m_replicas.begin(),
                      m_replicas.end(),
                      [](const auto& each)
                      {
                          return each.second.is_live;
                      }));
}

bool directory_client::set_peer_address(const vm_id& vm)
{
    boost::system::error_code failure;
    const auto ip = boost::asio::ip::make_address(vm.get(), failure);
    const auto own = http::parse_endpoint(m_hub->self().address);
    if (failure || !is_ok(own))
    {
        return false;
    }
    m_hub->set_peer(vm, {ip, value_of(own).port()});
    return true;
}

void directory_client::add_replica(const vm_id& vm)
{
    if (m_replicas.contains(vm) || !set_peer_address(vm))
    {
        return;
    }
    m_replicas[vm] = {};
    subscribe(vm);
}

status directory_client::send_to_router(const vm_id& router,
                                        wire::channel kind,
                                        std::string payload)
{
    if (!set_peer_address(router))
    {
        return error{error_code::unavailable,
                     "the router's name is no address"};
    }
    status sent = m_hub->send(router, kind, std::move(payload));
    if (!is_ok(sent))
    {
        log_event(log_level::warn,
                  "router_frame.send_failed",
                  {{"peer", router.get()},
                   {"channel", wire::to_string(kind)},
                   {"reason", error_of(sent).message}});
        // A large request without room says nothing about the link, on which
        // others are in progress.
        if (kind != wire::channel::exchange ||
            error_of(sent).code != error_code::overloaded)
        {
            m_callbacks.on_router_lost(router);
        }
    }
    return sent;
}

std::set<vm_id> directory_client::members() const
{
    std::set<vm_id> result;
    for (const auto& [vm, each] : m_replicas)
    {
        if (each.is_live)
        {
            result.insert(vm);
            result.insert(each.members.begin(), each.members.end());
        }
    }
    return result;
}

bool directory_client::is_in_touch() const
{
    return 2 * live_replica_count() > members().size();
}

bool directory_client::has_orders_until(time_point since) const
{
    return are_newest_orders(m_in_force_index, since);
}

bool directory_client::are_newest_orders(std::uint64_t index,
                                         time_point since) const
{
    const std::set<vm_id> all = members();
    std::size_t answered = 0;
    for (const auto& [vm, each] : m_replicas)
    {
        // A replica that names no members has not found its group.
        const bool has_answered = each.answered_subscription >= since &&
                                  !each.members.empty() && each.is_settled &&
                                  each.orders_index <= index;
        answered += has_answered && all.contains(vm) ? 1 : 0;
    }
    return 2 * answered > all.size();
}

std::optional<time_point> directory_client::history_begins_at() const
{
    if (!is_in_touch())
    {
        return std::nullopt;
    }
    std::optional<time_point> earliest;
    for (const auto& [vm, each] : m_replicas)
    {
        if (each.is_live && each.history_begins_at &&
            (!earliest || *each.history_begins_at < *earliest))
        {
            earliest = each.history_begins_at;
        }
    }
    return earliest;
}

void directory_client::merge_routers(replica& from,
                                     const directory::update& update)
{
    if (update.is_complete)
    {
        from.routers.clear();
    }
    for (const directory::router_change& each : update.router_changes)
    {
        if (each.is_gone)
        {
            from.routers.erase(each.vm);
        }
        else
        {
            from.routers[each.vm] = each.data_centre;
        }
    }
    if (update.router_changes.empty() && !update.is_complete)
    {
        return;
    }
    origins::router_map all;
    for (const auto& [vm, each] : m_replicas)
    {
        if (each.is_live)
        {
            all.insert(each.routers.begin(), each.routers.end());
        }
    }
    if (!all.empty())
    {
        // Empty between the lists of a former relay and of the next one.
        m_callbacks.on_router_map(all);
    }
}

void directory_client::subscribe(const vm_id& vm)
{
    directory::update update;
    update.subscribes = true;
    update.is_router = true;
    update.forwards = true;
    update.asked_at = monotonic_clock::now();
    update.intent_index = m_in_force_index;
    update.document_index = m_needs_full_document ? 0 : m_orders.index;
    if (monotonic_clock::now() <
        m_table_changed_at + directory::digest_report_time)
    {
        update.digests = m_table.digests();
    }
    send(vm, update);
}

void directory_client::send(const vm_id& vm, const directory::update& update)
{
    const status sent = m_hub->send(
        vm, wire::channel::directory, encode(update, monotonic_clock::now()));
    if (!is_ok(sent))
    {
        log_event(log_level::warn,
                  "directory.send_failed",
                  {{"peer", vm.get()}, {"reason", error_of(sent).message}});
    }
}

void directory_client::schedule()
{
    m_timer.expires_after(subscribe_period);
    m_timer.async_wait(
        [this](boost::system::error_code cancelled)
        {
            if (!cancelled && !m_closed)
            {
                on_timer();
                schedule();
            }
        });
}

void directory_client::on_timer()
{
    const time_point now = monotonic_clock::now();
    for (auto& [vm, each] : m_replicas)
    {
        subscribe(vm);
        if (each.is_live && each.heard_at + replica_timeout < now)
        {
            each.is_live = false;
            log_event(log_level::warn,
                      "replica.out_of_touch",
                      {{"replica", vm.get()},
                       {"silent_ms", to_milliseconds(now - each.heard_at)}});
        }
    }
    report_replicas();
}

void directory_client::report_replicas()
{
    std::set<vm_id> known;
    std::set<vm_id> live;
    for (const auto& [vm, each] : m_replicas)
    {
        known.insert(vm);
        if (each.is_live)
        {
            live.insert(vm);
        }
    }
    m_callbacks.on_replicas_checked(known, live);
}

void directory_client::schedule_load_exchange()
{
    m_load_timer.expires_after(directory::load_exchange_period);
    m_load_timer.async_wait(
        [this](boost::system::error_code cancelled)
        {
            if (!cancelled && !m_closed)
            {
                send_loads();
                schedule_load_exchange();
            }
        });
}

std::optional<vm_id> directory_client::find_load_relay() const
{
    const std::uint64_t self = stable_hash(m_hub->self().vm.get());
    std::optional<vm_id> best;
    std::pair<bool, std::uint64_t> best_rank;
    for (const auto& [vm, each] : m_replicas)
    {
        const std::pair rank(each.data_centre == m_home,
                             combine_hashes(self, stable_hash(vm.get())));
        if (each.is_live && (!best || rank > best_rank))
        {
            best = vm;
            best_rank = rank;
        }
    }
    return best;
}

void directory_client::set_load_relay(const std::optional<vm_id>& relay)
{
    if (m_load_relay == relay)
    {
        return;
    }
    m_load_relay = relay;
    m_callbacks.on_load_peer_replaced();
    log_event(log_level::info,
              "load_relay.changed",
              {{"replica", relay ? relay->get() : "none"}});
}

void directory_client::send_loads()
{
    set_load_relay(find_load_relay());
    if (!m_load_relay)
    {
        return;
    }
    directory::update update;
    update.is_router = true;
    update.loads = m_callbacks.take_load_update();
    if (update.loads)
    {
        send(*m_load_relay, update);
    }
}

void directory_client::record_sign_of_life(const wire::link_identity& sender,
                                           const directory::update& update)
{
    add_replica(sender.vm);
    replica& known = m_replicas[sender.vm];
    known.data_centre = sender.data_centre;
    known.heard_at = monotonic_clock::now();
    if (!known.is_live)
    {
        known.is_live = true;
        known.history_begins_at.reset();
        log_event(log_level::info,
                  "replica.in_touch",
                  {{"replica", sender.vm.get()},
                   {"orders", update.intent_index},
                   {"servers", update.registrations.size()}});
        report_replicas();
    }
}

void directory_client::receive(const wire::link_identity& sender,
                               std::string_view payload)
{
    const vm_id& from = sender.vm;
    const auto decoded =
        directory::decode_update(payload, monotonic_clock::now());
    if (!is_ok(decoded))
    {
        log_event(log_level::warn, "frame.malformed", {{"peer", from.get()}});
        return;
    }
    const directory::update& update = value_of(decoded);
    if (!update.forwarded_for.get().empty())
    {
        receive_forwarded(from, update, payload.size());
        return;
    }
    record_sign_of_life(sender, update);
    if (update.loads)
    {
        // A former relay sends until it forgets this gateway.
        if (from == m_load_relay)
        {
            m_callbacks.on_load_update(*update.loads);
        }
        return;
    }
    for (const vm_id& each : update.replicas)
    {
        add_replica(each);
    }
    if (update.orders)
    {
        forward_orders(from, update);
        log_orders(from, update, payload.size());
        apply_orders(update);
        // Confirms the orders: the sender waits for the confirmation before it
        // sends newer ones.
        subscribe(from);
    }
    merge_registrations(from, update);
    replica& known = m_replicas[from];
    // A replica that owes registrations, as after a cut, leaves it out.
    known.history_begins_at =
        update.history > duration::zero()
            ? std::optional(known.heard_at - update.history)
            : std::nullopt;
    if (!update.replicas.empty())
    {
        known.members = update.replicas;
    }
    if (update.asked_at >= known.answered_subscription)
    {
        known.answered_subscription = update.asked_at;
        known.orders_index = update.intent_index;
        known.is_settled = update.is_settled;
        put_first_orders_in_force();
    }
    merge_routers(known, update);
    if (update.routers > 0)
    {
        m_callbacks.on_routers(update.routers);
    }
}

void directory_client::merge_registrations(const vm_id& from,
                                           const directory::update& update)
{
    for (const directory::registration& registration : update.registrations)
    {
        if (m_table.merge(registration) == directory::merge_result::changed)
        {
            log_event(log_level::info,
                      "server.changed",
                      {{"engine", registration.id.get()},
                       {"address", registration.address},
                       {"service", registration.service},
                       {"version", registration.version},
                       {"state", to_string(registration.state)},
                       {"sequence", registration.sequence},
                       {"replica", from.get()}});
        }
    }
    const std::uint64_t notified = m_notified_change;
    m_notified_change = m_table.changes_after(
        notified,
        [this](const directory::registration& registration, std::uint64_t)
        {
            m_callbacks.on_registration(registration);
        });
    if (m_notified_change != notified)
    {
        m_table_changed_at = monotonic_clock::now();
        m_callbacks.on_servers_changed();
    }
}

void directory_client::forward_orders(const vm_id& from,
                                      const directory::update& update)
{
    if (update.forward_to.empty())
    {
        return;
    }
    const std::string payload =
        encode(make_forwarded_update(update, from), monotonic_clock::now());
    for (const vm_id& each : update.forward_to)
    {
        send_to_router(each, wire::channel::directory, payload);
    }
}

void directory_client::receive_forwarded(const vm_id& router,
                                         const directory::update& update,
                                         std::size_t bytes)
{
    if (!update.orders)
    {
        return;
    }
    log_orders(router, update, bytes);
    apply_orders(update);
    if (m_replicas.contains(update.forwarded_for))
    {
        subscribe(update.forwarded_for);
    }
}

void directory_client::log_orders(const vm_id& from,
                                  const directory::update& update,
                                  std::size_t bytes) const
{
    if (update.orders->index > m_orders.index)
    {
        log_event(log_level::info,
                  "orders.received",
                  {{"index", update.orders->index},
                   {"from", from.get()},
                   {"bytes", bytes},
                   {"base", update.change ? update.change->base_index : 0},
                   {"held_ms", to_milliseconds(update.held)}});
    }
}

void directory_client::apply_orders(const directory::update& update)
{
    if (!store_if_newer(update))
    {
        return;
    }
    const bool may_be_in_force = update.is_sure || m_in_force_index > 0;
    if (may_be_in_force && m_orders.index > m_in_force_index)
    {
        m_in_force_index = m_orders.index;
        m_callbacks.on_orders(m_orders);
    }
}

void directory_client::put_first_orders_in_force()
{
    if (m_in_force_index == 0 && m_orders.index > 0 &&
        are_newest_orders(m_orders.index, m_started_at))
    {
        m_in_force_index = m_orders.index;
        log_event(log_level::info,
                  "orders.confirmed",
                  {{"index", m_orders.index}, {"by", "most replicas"}});
        m_callbacks.on_orders(m_orders);
    }
}

bool directory_client::store_if_newer(const directory::update& update)
{
    if (update.orders->index <= m_orders.index)
    {
        return true;
    }
    auto document = read_document(update);
    // A change of a document that another replica has replaced meanwhile cannot
    // be applied; the sender then sends the change of the present one.
    const bool has_old_base =
        update.change && update.change->base_index < m_orders.index;
    m_needs_full_document = !is_ok(document) && !has_old_base;
    if (!is_ok(document))
    {
        log_event(has_old_base ? log_level::info : log_level::error,
                  "orders.unreadable",
                  {{"index", update.orders->index},
                   {"held", m_orders.index},
                   {"reason", error_of(document).message}});
        return false;
    }
    m_orders = {update.orders->index,
                std::move(value_of(document)),
                update.orders->taken_out,
                update.orders->versions,
                update.orders->rollouts};
    return true;
}

outcome<std::string>
directory_client::read_document(const directory::update& update) const
{
    if (update.change)
    {
        const auto delta = directory::decode_delta(update.change->delta);
        return is_ok(delta)
                   ? directory::apply_delta(value_of(delta), m_orders.document)
                   : error_of(delta);
    }
    return update.orders->document ? update.orders->document->text()
                                   : std::string();
}

} // namespace limpet::gateway

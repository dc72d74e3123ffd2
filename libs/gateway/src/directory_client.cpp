#include "directory_client.hpp"

#include <limpet/base/log.hpp>
#include <limpet/http/endpoint.hpp>

#include <algorithm>
#include <chrono>

namespace limpet::gateway
{

namespace
{

/// Time between two frames to a replica, which answers what was missed.
constexpr duration subscribe_period = milliseconds(500);
/// A replica that was silent for this long is out of touch.
constexpr duration touch_timeout = milliseconds(1600);
/// Time after which a silent link is replaced. Several round trips between
/// data centres; changes must be known well within two seconds.
constexpr duration link_timeout = milliseconds(1000);
/// Longest pause between two attempts to reach a replica.
constexpr duration link_retry = milliseconds(200);
/// Longest time to connect to a peer. Several round trips between data
/// centres; a machine without power does not answer at all.
constexpr duration link_connect_timeout = milliseconds(300);

std::uint64_t unix_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(now).count());
}

} // namespace

directory_client::directory_client(boost::asio::io_context& context,
                                   directory_callbacks callbacks)
    : m_timer(context),
      m_callbacks(std::move(callbacks))
{
}

outcome<std::unique_ptr<directory_client>>
directory_client::listen(boost::asio::io_context& context,
                         const gateway_settings& settings,
                         directory_callbacks callbacks)
{
    auto made =
        std::make_unique<directory_client>(context, std::move(callbacks));
    directory_client* self = made.get();
    wire::link_handlers handlers;
    handlers.on_frame = [self](const wire::link_identity& from,
                               wire::channel kind,
                               const std::string& payload)
    {
        if (kind == wire::channel::directory)
        {
            self->receive(from.vm, payload);
        }
    };
    handlers.on_lost = [](const vm_id& peer)
    {
        log_event(log_level::warn, "peer.lost", {{"peer", peer.get()}});
    };
    wire::link_settings links;
    links.connect_timeout = link_connect_timeout;
    links.silence_timeout = link_timeout;
    links.max_reconnect_delay = link_retry;
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
    made->m_hub = value_of(std::move(hub));
    made->add_seeds(settings.seeds);
    made->schedule();
    return made;
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
    m_hub->close();
}

std::size_t directory_client::replicas_in_touch() const
{
    return static_cast<std::size_t>(
        std::count_if(m_replicas.begin(),
                      m_replicas.end(),
                      [](const auto& each)
                      {
                          return each.second.is_in_touch;
                      }));
}

/// Replicas are named by their IP number and use the same port as this one.
void directory_client::add_replica(const vm_id& vm)
{
    boost::system::error_code failure;
    const auto ip = boost::asio::ip::make_address(vm.get(), failure);
    if (failure || m_replicas.contains(vm))
    {
        return;
    }
    const auto own = http::parse_endpoint(m_hub->self().address);
    if (!is_ok(own))
    {
        return;
    }
    m_replicas[vm] = {};
    m_hub->set_peer(vm, {ip, value_of(own).port()});
    subscribe(vm);
}

void directory_client::subscribe(const vm_id& vm)
{
    directory::update news;
    news.subscribes = true;
    news.is_router = true;
    news.intent_index = m_in_force;
    news.document_index = m_wants_whole ? 0 : m_orders.index;
    const status sent = m_hub->send(
        vm, wire::channel::directory, encode(news, monotonic_clock::now()));
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
                tick();
                schedule();
            }
        });
}

void directory_client::tick()
{
    const time_point now = monotonic_clock::now();
    for (auto& [vm, each] : m_replicas)
    {
        subscribe(vm);
        if (each.is_in_touch && each.heard_at + touch_timeout < now)
        {
            each.is_in_touch = false;
            log_event(log_level::warn,
                      "replica.out_of_touch",
                      {{"replica", vm.get()},
                       {"silent_ms", to_milliseconds(now - each.heard_at)}});
        }
    }
}

void directory_client::receive(const vm_id& from, std::string_view payload)
{
    const time_point now = monotonic_clock::now();
    const auto decoded = directory::decode_update(payload, now);
    if (!is_ok(decoded))
    {
        log_event(log_level::warn, "frame.malformed", {{"peer", from.get()}});
        return;
    }
    const directory::update& news = value_of(decoded);
    add_replica(from);
    replica& sender = m_replicas[from];
    sender.heard_at = now;
    if (!sender.is_in_touch)
    {
        sender.is_in_touch = true;
        log_event(log_level::info,
                  "replica.in_touch",
                  {{"replica", from.get()},
                   {"orders", news.intent_index},
                   {"servers", news.registrations.size()}});
    }
    for (const vm_id& each : news.replicas)
    {
        add_replica(each);
    }
    if (news.orders)
    {
        take_orders(news);
        // The sender waits for this before it sends newer orders.
        subscribe(from);
    }
    take_registrations(from, news);
    if (news.routers > 0)
    {
        m_callbacks.on_routers(news.routers);
    }
}

void directory_client::take_registrations(const vm_id& from,
                                          const directory::update& news)
{
    for (const directory::registration& row : news.registrations)
    {
        if (m_table.merge(row) == directory::merge_result::changed)
        {
            log_event(log_level::info,
                      "server.changed",
                      {{"engine", row.id.get()},
                       {"address", row.address},
                       {"service", row.service},
                       {"state", to_string(row.state)},
                       {"sequence", row.sequence},
                       {"replica", from.get()}});
        }
    }
    const std::uint64_t passed = m_passed_change;
    m_passed_change =
        m_table.changes_after(passed,
                              [this](const directory::registration& row)
                              {
                                  m_callbacks.on_registration(row);
                              });
    if (m_passed_change != passed)
    {
        m_callbacks.on_servers_changed();
    }
}

void directory_client::take_orders(const directory::update& news)
{
    if (!keep(news))
    {
        return;
    }
    const bool may_be_in_force = news.is_sure || m_in_force > 0;
    if (may_be_in_force && m_orders.index > m_in_force)
    {
        m_in_force = m_orders.index;
        m_callbacks.on_orders(m_orders);
    }
}

bool directory_client::keep(const directory::update& news)
{
    if (news.orders->index <= m_orders.index)
    {
        return true;
    }
    auto document = read_document(news);
    m_wants_whole = !is_ok(document);
    if (m_wants_whole)
    {
        log_event(log_level::error,
                  "orders.unreadable",
                  {{"index", news.orders->index},
                   {"held", m_orders.index},
                   {"reason", error_of(document).message}});
        return false;
    }
    m_orders = {news.orders->index,
                std::move(value_of(document)),
                news.orders->taken_out};
    return true;
}

outcome<std::string>
directory_client::read_document(const directory::update& news) const
{
    if (news.change)
    {
        const auto delta = directory::decode_delta(news.change->delta);
        return is_ok(delta)
                   ? directory::apply_delta(value_of(delta), m_orders.document)
                   : error_of(delta);
    }
    return news.orders->document ? news.orders->document->text()
                                 : std::string();
}

} // namespace limpet::gateway

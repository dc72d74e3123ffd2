#include "origin_service.hpp"

#include <limpet/base/log.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace limpet::gateway
{

namespace net = boost::asio;

namespace
{

/// Longest wait for the other routers' answers. Covers a connect and a round
/// trip between data centres several times; routers that have not answered by
/// then are down or cut off.
constexpr duration answer_timeout = milliseconds(250);

} // namespace

origin_service::origin_service(const vm_id& self,
                               const data_centre_id& home,
                               origin_callbacks callbacks)
    : m_callbacks(std::move(callbacks)),
      m_exchange(self, home, m_callbacks.only_version)
{
}

std::optional<origins::version_key>
origin_service::only_version(origins::service_key service,
                             duration max_age) const
{
    return m_callbacks.only_version(service, max_age);
}

std::optional<origins::origin>
origin_service::known(origins::stream_key stream) const
{
    return m_exchange.find(stream, monotonic_clock::now());
}

void origin_service::record(const origins::origin& begun)
{
    send(m_exchange.record(begun, monotonic_clock::now()));
}

net::awaitable<std::optional<origins::origin>>
origin_service::find(origins::query asked)
{
    if (const auto begun = known(asked.stream))
    {
        co_return begun;
    }
    send(m_exchange.ask(asked));
    if (!is_decided(asked.stream))
    {
        net::steady_timer timer(co_await net::this_coro::executor);
        timer.expires_after(answer_timeout);
        const auto waiting =
            m_waiters.insert(m_waiters.end(), {asked.stream, &timer});
        co_await timer.async_wait(net::as_tuple(net::use_awaitable));
        m_waiters.erase(waiting);
    }
    m_exchange.stop_awaiting(asked.stream);
    co_return m_exchange.find(asked.stream, monotonic_clock::now());
}

void origin_service::set_routers(origins::router_map routers)
{
    send(m_exchange.set_routers(std::move(routers), monotonic_clock::now()));
    wake_waiters();
}

void origin_service::set_replicas(std::set<vm_id> known,
                                  const std::set<vm_id>& live)
{
    send(m_exchange.set_replicas(
        std::move(known), live, monotonic_clock::now()));
}

void origin_service::update_sharing()
{
    send(m_exchange.set_shared_services(m_callbacks.shared_services(),
                                        monotonic_clock::now()));
}

void origin_service::receive(const vm_id& from, std::string_view payload)
{
    const auto received = origins::decode(payload);
    if (!is_ok(received))
    {
        log_event(
            log_level::warn,
            "frame.malformed",
            {{"peer", from.get()}, {"reason", error_of(received).message}});
        return;
    }
    for (const origins::origin& each : value_of(received).origins)
    {
        if (m_exchange.is_awaiting(each.stream))
        {
            log_event(log_level::info,
                      "origin.answered",
                      {{"stream", each.stream.get()},
                       {"version", each.version.get()},
                       {"by", from.get()}});
        }
    }
    send(m_exchange.receive(from, value_of(received), monotonic_clock::now()));
    wake_waiters();
}

void origin_service::on_lost(const vm_id& router)
{
    m_exchange.on_lost(router);
    wake_waiters();
}

void origin_service::send(
    const std::vector<origins::origin_exchange::addressed_message>& sent)
{
    for (const auto& [router, message] : sent)
    {
        m_callbacks.send(router, encode(message));
    }
}

bool origin_service::is_decided(origins::stream_key stream) const
{
    return !m_exchange.is_awaiting(stream) ||
           m_exchange.find(stream, monotonic_clock::now()).has_value();
}

void origin_service::wake_waiters()
{
    for (const waiter& each : m_waiters)
    {
        if (is_decided(each.stream))
        {
            each.timer->cancel();
        }
    }
}

} // namespace limpet::gateway

#include "fault_switch.hpp"
#include "hello.hpp"
#include "incoming_link.hpp"
#include "outgoing_link.hpp"
#include "socket_options.hpp"

#include <limpet/base/log.hpp>
#include <limpet/http/endpoint.hpp>
#include <limpet/wire/link_hub.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace limpet::wire
{

namespace net = boost::asio;

namespace
{

/// Pause after an accept that failed, as when descriptors run out.
constexpr duration accept_retry_delay = milliseconds(50);
/// Fraction (1/n) of the incoming connections that may be without a hello.
constexpr std::size_t silent_divisor = 4;

/// Connections to one peer: one for control traffic, one for data.
struct peer_links
{
    std::shared_ptr<outgoing_link> control;
    std::shared_ptr<outgoing_link> data;
};

class tcp_link_hub final : public link_hub,
                           public std::enable_shared_from_this<tcp_link_hub>
{
public:
    tcp_link_hub(net::io_context& context,
                 net::ip::tcp::acceptor acceptor,
                 link_identity self,
                 const link_settings& settings,
                 link_handlers handlers)
        : m_context(context),
          m_acceptor(std::move(acceptor)),
          m_self_strand(net::make_strand(context)),
          m_self(std::move(self)),
          m_settings(settings),
          m_handlers(std::move(handlers)),
          m_hello_payload(encode_hello(m_self)),
          m_data_budget(
              std::make_shared<queue_budget>(settings.max_total_queued_bytes)),
          m_frame_memory(
              std::make_shared<frame_memory>(settings.max_total_received_bytes))
    {
    }

    void start()
    {
        net::co_spawn(
            m_acceptor.get_executor(),
            [self = shared_from_this()]() -> net::awaitable<void>
            {
                co_await self->accept_peers();
            },
            net::detached);
    }

    const link_identity& self() const override
    {
        return m_self;
    }

    void set_peer(const vm_id& peer,
                  const net::ip::tcp::endpoint& address) override
    {
        const std::lock_guard lock(m_mutex);
        const auto known = m_peers.find(peer);
        if (m_closed || (known != m_peers.end() &&
                         known->second.control->address() == address))
        {
            return;
        }
        if (known != m_peers.end())
        {
            close_links(known->second);
        }
        m_peers[peer] = {make_link(peer, address), make_link(peer, address)};
    }

    void remove_peer(const vm_id& peer) override
    {
        const std::lock_guard lock(m_mutex);
        const auto known = m_peers.find(peer);
        if (known != m_peers.end())
        {
            close_links(known->second);
            m_peers.erase(known);
        }
    }

    status send(const vm_id& peer, channel kind, std::string payload) override
    {
        if (peer == m_self.vm)
        {
            deliver_to_self(kind, std::move(payload));
            return success();
        }
        const link_fault fault = m_faults.find(peer);
        if (fault != link_fault::none)
        {
            report_fault(peer, fault);
            return success();
        }
        std::shared_ptr<outgoing_link> link;
        {
            const std::lock_guard lock(m_mutex);
            const auto known = m_peers.find(peer);
            if (known == m_peers.end())
            {
                return error{error_code::unavailable,
                             "no address known for VM " + peer.get()};
            }
            link = is_data(kind) ? known->second.data : known->second.control;
        }
        return link->send(kind, std::move(payload));
    }

    status set_fault(const vm_id& peer, link_fault fault) override
    {
        return m_faults.set(peer, fault);
    }

    const traffic_counters& counters() const override
    {
        return m_counters;
    }

    void close() override
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
        net::post(m_acceptor.get_executor(),
                  [self = shared_from_this()]
                  {
                      boost::system::error_code ignored;
                      self->m_acceptor.close(ignored);
                  });
        for (auto& [peer, links] : m_peers)
        {
            close_links(links);
        }
        m_peers.clear();
        for (const auto& link : m_incoming)
        {
            net::post(link->executor(),
                      [link]
                      {
                          link->close();
                      });
        }
    }

private:
    net::awaitable<void> accept_peers()
    {
        for (;;)
        {
            boost::system::error_code failure;
            net::ip::tcp::socket socket(net::make_strand(m_context));
            co_await m_acceptor.async_accept(
                socket, net::redirect_error(net::use_awaitable, failure));
            if (failure == net::error::operation_aborted ||
                failure == net::error::bad_descriptor)
            {
                co_return;
            }
            if (!failure)
            {
                start_incoming_link(std::move(socket));
                continue;
            }
            net::steady_timer pause(m_acceptor.get_executor());
            pause.expires_after(accept_retry_delay);
            co_await pause.async_wait(
                net::redirect_error(net::use_awaitable, failure));
        }
    }

    void start_incoming_link(net::ip::tcp::socket socket)
    {
        set_link_options(socket, m_settings.silence_timeout);
        auto link = std::make_shared<incoming_link>(
            std::move(socket),
            m_settings,
            m_counters,
            m_frame_memory,
            [this](const link_identity& from, channel kind, std::string payload)
            {
                if (m_faults.find(from.vm) == link_fault::none)
                {
                    m_handlers.on_frame(from, kind, std::move(payload));
                }
            });
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed || !has_place())
            {
                return;
            }
            m_incoming.insert(link);
        }
        net::co_spawn(
            link->executor(),
            [self = shared_from_this(), link]() -> net::awaitable<void>
            {
                co_await link->run();
                const std::lock_guard lock(self->m_mutex);
                self->m_incoming.erase(link);
            },
            net::detached);
    }

    /// Returns whether one more connection is served; the one that has been
    /// without a hello longest ends for it, if need be. Call with the lock.
    bool has_place()
    {
        std::size_t silent = 0;
        std::shared_ptr<incoming_link> oldest;
        for (const auto& each : m_incoming)
        {
            if (each->has_hello())
            {
                continue;
            }
            ++silent;
            if (!oldest || each->accepted_at() < oldest->accepted_at())
            {
                oldest = each;
            }
        }
        const std::size_t most_silent =
            std::max<std::size_t>(1, m_settings.max_incoming / silent_divisor);
        if (m_incoming.size() < m_settings.max_incoming && silent < most_silent)
        {
            return true;
        }
        if (!oldest)
        {
            return false;
        }
        m_incoming.erase(oldest);
        oldest->post_close();
        return true;
    }

    void report_fault(const vm_id& peer, link_fault fault)
    {
        if (fault == link_fault::cut)
        {
            net::post(m_self_strand,
                      [self = shared_from_this(), peer]
                      {
                          self->m_handlers.on_lost(peer);
                      });
        }
    }

    void deliver_to_self(channel kind, std::string payload)
    {
        net::post(m_self_strand,
                  [self = shared_from_this(),
                   kind,
                   bytes = std::move(payload)]() mutable
                  {
                      self->m_handlers.on_frame(
                          self->m_self, kind, std::move(bytes));
                  });
    }

    std::shared_ptr<outgoing_link>
    make_link(const vm_id& peer, const net::ip::tcp::endpoint& address)
    {
        auto link = std::make_shared<outgoing_link>(m_context,
                                                    peer,
                                                    address,
                                                    m_settings,
                                                    m_hello_payload,
                                                    m_counters,
                                                    m_data_budget,
                                                    m_handlers.on_lost);
        link->start();
        return link;
    }

    static void close_links(peer_links& links)
    {
        links.control->close();
        links.data->close();
    }

    net::io_context& m_context;
    net::ip::tcp::acceptor m_acceptor;
    // Delivers frames that this process sends to itself in order.
    net::strand<net::io_context::executor_type> m_self_strand;
    link_identity m_self;
    link_settings m_settings;
    link_handlers m_handlers;
    std::string m_hello_payload;
    std::shared_ptr<queue_budget> m_data_budget;
    std::shared_ptr<frame_memory> m_frame_memory;
    traffic_counters m_counters;
    fault_switch m_faults;

    std::mutex m_mutex;
    std::map<vm_id, peer_links> m_peers;
    std::set<std::shared_ptr<incoming_link>> m_incoming;
    bool m_closed = false;
};

} // namespace

outcome<std::shared_ptr<link_hub>>
link_hub::listen(net::io_context& context,
                 const net::ip::tcp::endpoint& endpoint,
                 link_identity self,
                 const link_settings& settings,
                 link_handlers handlers)
{
    net::ip::tcp::acceptor acceptor(net::make_strand(context));
    boost::system::error_code failure;
    acceptor.open(endpoint.protocol(), failure);
    if (!failure)
    {
        acceptor.set_option(net::socket_base::reuse_address(true), failure);
        acceptor.bind(endpoint, failure);
    }
    if (!failure)
    {
        acceptor.listen(net::socket_base::max_listen_connections, failure);
    }
    if (failure)
    {
        return error{error_code::io_error,
                     "cannot listen at " + http::to_string(endpoint) + ": " +
                         failure.message()};
    }
    if (endpoint.port() == 0)
    {
        self.address = http::to_string(acceptor.local_endpoint());
    }
    auto hub = std::make_shared<tcp_link_hub>(context,
                                              std::move(acceptor),
                                              std::move(self),
                                              settings,
                                              std::move(handlers));
    hub->start();
    return std::shared_ptr<link_hub>(hub);
}

} // namespace limpet::wire

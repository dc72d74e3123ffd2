#include "handover_service.hpp"

#include <limpet/base/hash.hpp>
#include <limpet/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace limpet::gateway
{

namespace net = boost::asio;

namespace
{

/// Time for which a router that could not serve a request is handed none.
constexpr duration not_serving_time = seconds(1);

/// Returns the first id of this process's exchanges. Higher than those of its
/// former processes, which other routers may still serve.
std::uint64_t first_exchange_id()
{
    constexpr int exchange_bits = 20;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
               std::chrono::duration_cast<milliseconds>(now).count())
           << exchange_bits;
}

} // namespace

sent_handover::sent_handover(handover_service& service, vm_id router)
    : m_service(service),
      m_router(std::move(router)),
      m_id(m_service.m_next_id++),
      m_events(std::make_shared<pipeline::mailbox<handover_event>>(
          m_service.m_context.get_executor()))
{
    m_service.m_sent.emplace(m_id, this);
}

sent_handover::~sent_handover()
{
    if (!m_has_ended)
    {
        send(pipeline::cancel_message{});
    }
    m_service.m_sent.erase(m_id);
}

status sent_handover::open(const http::request& call, duration time_left)
{
    pipeline::hand_over_message message;
    message.time_left = time_left;
    message.call.method = call.method;
    message.call.target = call.target;
    message.call.headers = call.headers;
    message.call.borrowed_body = call.payload();
    status sent = send(std::move(message));
    m_has_ended = !is_ok(sent);
    return sent;
}

net::awaitable<std::optional<handover_event>>
sent_handover::next(time_point until)
{
    auto event = co_await m_events->pop(until);
    if (event && std::holds_alternative<handover_link_lost>(*event))
    {
        m_has_ended = true;
    }
    else if (event)
    {
        const auto* content = std::get_if<pipeline::exchange_content>(&*event);
        m_has_ended =
            content != nullptr &&
            std::holds_alternative<pipeline::finish_message>(*content);
    }
    co_return event;
}

void sent_handover::add_credit(std::uint32_t bytes)
{
    send(pipeline::credit_message{bytes});
}

void sent_handover::cancel()
{
    m_events->push(handover_cancelled{});
}

status sent_handover::send(pipeline::exchange_content content)
{
    return m_service.m_callbacks.send(
        m_router, pipeline::encode({m_id, std::move(content)}));
}

handover_service::handover_service(net::io_context& context,
                                   const vm_id& self,
                                   data_centre_id home,
                                   handover_callbacks callbacks)
    : m_context(context),
      m_home(std::move(home)),
      m_callbacks(std::move(callbacks)),
      m_next_id(first_exchange_id()),
      m_random(static_cast<std::minstd_rand::result_type>(
          stable_hash(self.get()) ^ m_next_id))
{
}

void handover_service::set_routers(origins::router_map routers)
{
    m_routers = std::move(routers);
    std::erase_if(m_not_serving_until,
                  [this](const auto& each)
                  {
                      return !m_routers.contains(each.first.first);
                  });
}

std::optional<vm_id> handover_service::choose(const std::string& service,
                                              const std::vector<vm_id>& tried,
                                              time_point now)
{
    if (m_sent.size() >= max_sent)
    {
        return std::nullopt;
    }
    std::vector<vm_id> near;
    std::vector<vm_id> far;
    for (const auto& [vm, data_centre] : m_routers)
    {
        const auto not_serving = m_not_serving_until.find({vm, service});
        const bool may_serve = not_serving == m_not_serving_until.end() ||
                               not_serving->second <= now;
        if (may_serve &&
            std::find(tried.begin(), tried.end(), vm) == tried.end())
        {
            (data_centre == m_home ? near : far).push_back(vm);
        }
    }
    const bool takes_near = !near.empty() && (tried.empty() || far.empty());
    const std::vector<vm_id>& from = takes_near ? near : far;
    if (from.empty())
    {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> any(0, from.size() - 1);
    return from[any(m_random)];
}

void handover_service::on_not_served(const vm_id& router,
                                     const std::string& service,
                                     time_point now)
{
    m_not_serving_until[{router, service}] = now + not_serving_time;
}

void handover_service::receive(const vm_id& from, std::string_view payload)
{
    auto decoded = pipeline::decode_exchange_message(payload);
    if (!is_ok(decoded))
    {
        log_event(
            log_level::warn,
            "frame.malformed",
            {{"peer", from.get()}, {"reason", error_of(decoded).message}});
        return;
    }
    auto& [id, content] = value_of(decoded);
    if (auto* opened = std::get_if<pipeline::hand_over_message>(&content))
    {
        net::co_spawn(
            m_context, serve({from, id}, std::move(*opened)), net::detached);
        return;
    }
    const auto served = m_served.find({from, id});
    if (const auto* credit = std::get_if<pipeline::credit_message>(&content))
    {
        if (served != m_served.end())
        {
            served->second->add_credit(credit->bytes);
        }
        return;
    }
    if (std::holds_alternative<pipeline::cancel_message>(content))
    {
        if (served != m_served.end())
        {
            served->second->cancel();
        }
        return;
    }
    const auto sent = m_sent.find(id);
    if (sent != m_sent.end() && sent->second->router() == from)
    {
        sent->second->m_events->push(std::move(content));
    }
}

void handover_service::on_lost(const vm_id& router)
{
    for (const auto& [id, each] : m_sent)
    {
        if (each->router() == router)
        {
            each->m_events->push(handover_link_lost{});
        }
    }
    std::vector<link_exchange*> ended;
    for (const auto& [key, each] : m_served)
    {
        if (key.first == router)
        {
            ended.push_back(each);
        }
    }
    for (link_exchange* each : ended)
    {
        each->cancel();
    }
}

net::awaitable<void> handover_service::serve(served_key key,
                                             pipeline::hand_over_message opened)
{
    std::vector<std::shared_ptr<void>> claims;
    const auto add_memory = [this, &claims](std::size_t bytes)
    {
        claims.push_back(m_callbacks.claim_memory(bytes));
        return claims.back() != nullptr;
    };
    const bool has_memory = add_memory(opened.call.headers.memory_bytes() +
                                       opened.call.body.capacity());
    link_exchange caller(
        m_context.get_executor(),
        std::move(opened.call),
        [this, key](pipeline::exchange_content content)
        {
            send(key.first, key.second, std::move(content));
        },
        add_memory);
    if (!has_memory || m_served.size() >= max_served)
    {
        caller.finish_not_run(
            {error_code::overloaded, "too many requests of other routers"});
        co_return;
    }
    if (!m_served.emplace(key, &caller).second)
    {
        co_return;
    }
    const bool is_served = co_await m_callbacks.serve(caller, opened.time_left);
    if (is_served)
    {
        caller.finish();
    }
    else
    {
        caller.finish_not_run(
            {error_code::unavailable, "the router cannot serve it either"});
    }
    m_served.erase(key);
}

void handover_service::send(const vm_id& to,
                            pipeline::exchange_id id,
                            pipeline::exchange_content content)
{
    const status sent =
        m_callbacks.send(to, pipeline::encode({id, std::move(content)}));
    if (!is_ok(sent))
    {
        // The other router misses a message, or the end.
        log_event(log_level::warn,
                  "handover.send_failed",
                  {{"peer", to.get()}, {"reason", error_of(sent).message}});
    }
}

} // namespace limpet::gateway

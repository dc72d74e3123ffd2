#include "claims_client.hpp"

#include <boost/asio/this_coro.hpp>

#include <algorithm>

namespace limpet::pipeline
{

namespace net = boost::asio;

namespace
{

/// Time to wait for a reply before another replica is tried.
constexpr duration reply_timeout = milliseconds(500);
/// Delay before the next try when a replica reports no leader.
constexpr duration election_wait = milliseconds(100);

} // namespace

claims_client::claims_client(std::shared_ptr<wire::link_hub> hub,
                             std::vector<vm_id> controls)
    : m_hub(std::move(hub)),
      m_controls(std::move(controls))
{
}

net::awaitable<outcome<claims::claim_answer>>
claims_client::submit(claims::claim_command command, time_point until)
{
    const auto replies =
        std::make_shared<reply_mailbox>(co_await net::this_coro::executor);
    const std::uint64_t id = add(replies);
    error last_error{error_code::unavailable,
                     "the control group did not reply in time"};
    while (monotonic_clock::now() < until && !m_controls.empty())
    {
        const vm_id replica = target();
        wire::call call{id, wire::call_kind::claim, encode(command)};
        m_hub->send(replica,
                    wire::channel::control,
                    wire::encode(wire::call_message(std::move(call))));
        const time_point reply_deadline =
            std::min(until, monotonic_clock::now() + reply_timeout);
        std::optional<wire::reply> answer =
            co_await replies->pop(reply_deadline);
        if (!answer)
        {
            advance_target(replica);
            continue;
        }
        if (is_ok(answer->result))
        {
            remove(id);
            co_return claims::decode_answer(value_of(answer->result));
        }
        last_error = error_of(answer->result);
        if (answer->leader.get().empty() || answer->leader == replica)
        {
            advance_target(replica);
            co_await replies->pop(monotonic_clock::now() + election_wait);
        }
        else
        {
            set_target(answer->leader);
        }
    }
    remove(id);
    co_return error{error_code::unavailable, last_error.message};
}

void claims_client::receive(wire::reply answer)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_pending_calls.find(answer.id);
    if (found != m_pending_calls.end())
    {
        found->second->push(std::move(answer));
    }
}

vm_id claims_client::target()
{
    const std::lock_guard lock(m_mutex);
    return m_controls[m_target];
}

void claims_client::advance_target(const vm_id& unresponsive)
{
    const std::lock_guard lock(m_mutex);
    if (m_controls[m_target] == unresponsive)
    {
        m_target = (m_target + 1) % m_controls.size();
    }
}

void claims_client::set_target(const vm_id& leader)
{
    const std::lock_guard lock(m_mutex);
    const auto found = std::find(m_controls.begin(), m_controls.end(), leader);
    if (found != m_controls.end())
    {
        m_target = static_cast<std::size_t>(found - m_controls.begin());
    }
}

std::uint64_t claims_client::add(std::shared_ptr<reply_mailbox> replies)
{
    const std::lock_guard lock(m_mutex);
    const std::uint64_t id = m_next_id++;
    m_pending_calls.emplace(id, std::move(replies));
    return id;
}

void claims_client::remove(std::uint64_t id)
{
    const std::lock_guard lock(m_mutex);
    m_pending_calls.erase(id);
}

} // namespace limpet::pipeline

#include "claims_client.hpp"

#include <boost/asio/this_coro.hpp>

#include <algorithm>

namespace limpet::pipeline
{

namespace net = boost::asio;

namespace
{

/// Time after which another replica is asked.
constexpr duration reply_timeout = milliseconds(500);
/// Time before a replica that knows no leader is asked again.
constexpr duration election_wait = milliseconds(100);

} // namespace

claims_client::claims_client(std::shared_ptr<wire::link_hub> hub,
                             std::vector<vm_id> controls)
    : m_hub(std::move(hub)),
      m_controls(std::move(controls))
{
}

net::awaitable<outcome<claims::claim_answer>>
claims_client::ask(claims::claim_command command, time_point until)
{
    const auto box =
        std::make_shared<reply_mailbox>(co_await net::this_coro::executor);
    const std::uint64_t id = add(box);
    error last{error_code::unavailable, "the control group did not answer"};
    while (monotonic_clock::now() < until && !m_controls.empty())
    {
        const vm_id replica = target();
        wire::call call{id, wire::call_kind::claim, encode(command)};
        m_hub->send(replica,
                    wire::channel::control,
                    wire::encode(wire::call_message(std::move(call))));
        const time_point patience =
            std::min(until, monotonic_clock::now() + reply_timeout);
        std::optional<wire::reply> answer = co_await box->pop(patience);
        if (!answer)
        {
            turn_from(replica);
            continue;
        }
        if (is_ok(answer->result))
        {
            remove(id);
            co_return claims::decode_answer(value_of(answer->result));
        }
        last = error_of(answer->result);
        if (answer->leader.get().empty() || answer->leader == replica)
        {
            turn_from(replica);
            co_await box->pop(monotonic_clock::now() + election_wait);
        }
        else
        {
            turn_to(answer->leader);
        }
    }
    remove(id);
    co_return error{error_code::unavailable, last.message};
}

void claims_client::receive(wire::reply answer)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_calls.find(answer.id);
    if (found != m_calls.end())
    {
        found->second->push(std::move(answer));
    }
}

vm_id claims_client::target()
{
    const std::lock_guard lock(m_mutex);
    return m_controls[m_target];
}

void claims_client::turn_from(const vm_id& silent)
{
    const std::lock_guard lock(m_mutex);
    if (m_controls[m_target] == silent)
    {
        m_target = (m_target + 1) % m_controls.size();
    }
}

void claims_client::turn_to(const vm_id& leader)
{
    const std::lock_guard lock(m_mutex);
    const auto found = std::find(m_controls.begin(), m_controls.end(), leader);
    if (found != m_controls.end())
    {
        m_target = static_cast<std::size_t>(found - m_controls.begin());
    }
}

std::uint64_t claims_client::add(std::shared_ptr<reply_mailbox> box)
{
    const std::lock_guard lock(m_mutex);
    const std::uint64_t id = m_next_id++;
    m_calls.emplace(id, std::move(box));
    return id;
}

void claims_client::remove(std::uint64_t id)
{
    const std::lock_guard lock(m_mutex);
    m_calls.erase(id);
}

} // namespace limpet::pipeline

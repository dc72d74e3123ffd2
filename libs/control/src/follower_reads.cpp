#include "follower_reads.hpp"

#include "call_ids.hpp"

#include <limpet/base/log.hpp>

#include <charconv>
#include <string>
#include <utility>
#include <vector>

namespace limpet::control
{

namespace
{

/// Timeout for the leader's answer and for applying the entries. Shorter than
/// the second after which a reader tries another replica.
constexpr duration read_timeout = milliseconds(800);

error unavailable(std::string reason)
{
    return {error_code::unavailable, std::move(reason)};
}

} // namespace

follower_reads::follower_reads(boost::asio::io_context& context,
                               replica::replica& log,
                               std::shared_ptr<wire::link_hub> hub,
                               std::uint64_t start_ms)
    : m_context(context),
      m_log(log),
      m_hub(std::move(hub)),
      m_last_id(call_id_before_first(call_sender::reads, start_ms))
{
}

void follower_reads::barrier(callback call)
{
    const auto leader = m_log.view().leader;
    if (!leader)
    {
        call(unavailable("read failed: no leader is known"));
        return;
    }
    const std::uint64_t id = ++m_last_id;
    pending_read& read = m_pending[id];
    read.call = std::move(call);
    read.timer = std::make_unique<boost::asio::steady_timer>(m_context);
    read.timer->expires_after(read_timeout);
    read.timer->async_wait(
        [this, id](boost::system::error_code cancelled)
        {
            if (!cancelled)
            {
                complete(
                    id,
                    unavailable("read timed out: the leader's answer or its "
                                "log entries did not arrive in time"));
            }
        });
    const status sent =
        m_hub->send(leader->vm,
                    wire::channel::control,
                    wire::encode(wire::call_message(
                        wire::call{id, wire::call_kind::newest_index, {}})));
    if (!is_ok(sent))
    {
        complete(id, sent);
    }
}

void follower_reads::receive(const vm_id& from, const wire::call& request)
{
    m_log.read_barrier(
        [this, from, id = request.id](const status& known)
        {
            wire::reply answer;
            answer.id = id;
            answer.result =
                is_ok(known) ? outcome<std::string>(
                                   std::to_string(m_log.view().applied.get()))
                             : outcome<std::string>(error_of(known));
            const status sent =
                m_hub->send(from,
                            wire::channel::control,
                            wire::encode(wire::call_message(answer)));
            if (!is_ok(sent))
            {
                log_event(
                    log_level::warn,
                    "read.answer_lost",
                    {{"peer", from.get()}, {"reason", error_of(sent).message}});
            }
        });
}

void follower_reads::receive(const wire::reply& answer)
{
    const auto found = m_pending.find(answer.id);
    if (found == m_pending.end())
    {
        return;
    }
    if (!is_ok(answer.result))
    {
        complete(answer.id, unavailable(error_of(answer.result).message));
        return;
    }
    const std::string& text = value_of(answer.result);
    std::uint64_t index = 0;
    const auto read =
        std::from_chars(text.data(), text.data() + text.size(), index);
    if (read.ec != std::errc{})
    {
        complete(
            answer.id,
            unavailable("read failed: the leader's answer is not a log index"));
        return;
    }
    found->second.index = index;
    on_applied(m_log.view().applied.get());
}

void follower_reads::on_applied(std::uint64_t index)
{
    std::vector<std::uint64_t> done;
    for (const auto& [id, each] : m_pending)
    {
        if (each.index && *each.index <= index)
        {
            done.push_back(id);
        }
    }
    for (const std::uint64_t id : done)
    {
        complete(id, success());
    }
}

void follower_reads::complete(std::uint64_t id, status result)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
    {
        return;
    }
    const pending_read ended = std::move(found->second);
    m_pending.erase(found);
    ended.call(std::move(result));
}

} // namespace limpet::control

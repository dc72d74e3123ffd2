#include "quarantine_service.hpp"

#include <limpet/base/hash.hpp>
#include <limpet/base/log.hpp>

namespace limpet::gateway
{

std::vector<quarantine::part_key>
shared_part_keys(std::string_view service,
                 const std::vector<prompt_part>& parts)
{
    std::vector<quarantine::part_key> result;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
    {
        result.push_back(quarantine::make_shared_part_key(
            combine_hashes(stable_hash(service), parts[i].id)));
    }
    return result;
}

std::vector<quarantine::part_key> request_keys(std::string_view service,
                                               const http::request& message,
                                               const call& fields)
{
    std::uint64_t hash = stable_hash(service);
    for (const std::string_view each : {std::string_view(message.method),
                                        std::string_view(fields.host),
                                        std::string_view(message.target),
                                        std::string_view(fields.key),
                                        std::string_view(message.body)})
    {
        hash = combine_hashes(hash, stable_hash(each));
    }
    std::vector<quarantine::part_key> result{
        quarantine::make_request_key(hash)};
    if (!fields.parts.empty())
    {
        for (const prompt_part& each : fields.parts)
        {
            hash = combine_hashes(hash, each.id);
        }
        result.push_back(quarantine::make_request_key(hash));
    }
    return result;
}

quarantine_service::quarantine_service(boost::asio::io_context& context,
                                       const vm_id& self,
                                       send_function send)
    : m_quarantine(self),
      m_send(std::move(send)),
      m_timer(context)
{
}

quarantine::admission
quarantine_service::check(const std::vector<quarantine::part_key>& parts) const
{
    return m_quarantine.check(parts, monotonic_clock::now());
}

quarantine::admission
quarantine_service::admit(const std::vector<quarantine::part_key>& parts)
{
    return m_quarantine.admit(parts, monotonic_clock::now());
}

void quarantine_service::on_cut_off(const quarantine::cut_off_request& request)
{
    m_quarantine.on_cut_off(request, monotonic_clock::now());
    schedule();
}

void quarantine_service::on_sound(
    const std::vector<quarantine::part_key>& parts)
{
    m_quarantine.on_sound(parts, monotonic_clock::now());
    schedule();
}

void quarantine_service::on_answer(quarantine::server_key server)
{
    // Called for each event of each stream, hence without reading the clock.
    if (!m_quarantine.is_suspected(server))
    {
        return;
    }
    m_quarantine.on_answer(server, monotonic_clock::now());
    schedule();
}

void quarantine_service::set_routers(std::set<vm_id> routers)
{
    m_quarantine.set_routers(std::move(routers));
}

void quarantine_service::on_lost(const vm_id& router)
{
    m_quarantine.on_lost(router);
}

void quarantine_service::receive(const vm_id& from, std::string_view payload)
{
    const auto received = quarantine::decode(payload);
    if (!is_ok(received))
    {
        log_event(
            log_level::warn,
            "frame.malformed",
            {{"peer", from.get()}, {"reason", error_of(received).message}});
        return;
    }
    m_quarantine.receive(from, value_of(received), monotonic_clock::now());
    schedule();
}

void quarantine_service::close()
{
    m_is_closed = true;
    m_timer.cancel();
}

void quarantine_service::update()
{
    for (const auto& sent : m_quarantine.update(monotonic_clock::now()))
    {
        const std::string payload = encode(sent.content);
        for (const vm_id& router : sent.to)
        {
            m_send(router, payload);
        }
    }
    log_changes();
    schedule();
}

/// Sets the timer to the next update, unless it is set to an earlier time.
void quarantine_service::schedule()
{
    const time_point now = monotonic_clock::now();
    const auto delay = m_quarantine.next_update(now);
    if (m_is_closed || !delay || (m_due_at && *m_due_at <= now + *delay))
    {
        return;
    }
    m_due_at = now + *delay;
    m_timer.expires_after(*delay);
    m_timer.async_wait(
        [this](boost::system::error_code cancelled)
        {
            if (!cancelled && !m_is_closed)
            {
                m_due_at.reset();
                update();
            }
        });
}

void quarantine_service::log_changes()
{
    for (const auto& [entry, is_own] : m_quarantine.take_changes())
    {
        log_event(
            log_level::warn,
            "quarantine.changed",
            {{"part", entry.part.get()},
             {"kind",
              quarantine::is_request_key(entry.part) ? "request" : "part"},
             {"state", entry.is_released ? "released" : "quarantined"},
             {"revision", entry.revision},
             {"failed_trials", entry.failed_trials},
             {"remaining_ms", to_milliseconds(entry.remaining)},
             {"concluded_by", is_own ? "this router" : "another"}});
    }
}

} // namespace limpet::gateway

#include "stream_keeper.hpp"

#include <limpet/base/log.hpp>

namespace limpet::control
{

stream_keeper::stream_keeper(std::shared_ptr<wire::link_hub> hub)
    : m_hub(std::move(hub)),
      m_exchange(m_hub->self().vm,
                 m_hub->self().data_centre,
                 [](origins::service_key, duration)
                 {
                     return std::nullopt;
                 })
{
}

void stream_keeper::receive(const vm_id& from,
                            std::string_view payload,
                            time_point now)
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
    for (const auto& [router, answer] :
         m_exchange.receive(from, value_of(received), now))
    {
        const status sent = m_hub->send(
            router, wire::channel::origins, origins::encode(answer));
        if (!is_ok(sent))
        {
            log_event(
                log_level::warn,
                "origin_answer.send_failed",
                {{"peer", router.get()}, {"reason", error_of(sent).message}});
        }
    }
}

} // namespace limpet::control

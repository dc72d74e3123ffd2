#include "claims_service.hpp"

#include "control_state.hpp"
#include "wall_clock.hpp"

namespace limpet::control
{

claims_service::claims_service(replica::replica& log,
                               std::shared_ptr<wire::link_hub> hub)
    : m_log(log),
      m_hub(std::move(hub))
{
}

void claims_service::receive(const vm_id& from, const wire::call& claim)
{
    auto command = claims::decode_command(claim.payload);
    if (!is_ok(command))
    {
        reply(from, claim.id, error_of(command));
        return;
    }
    value_of(command).at_ms = unix_ms();
    m_log.propose(
        make_entry(value_of(command)),
        [this, from, id = claim.id](outcome<replica::proposal_result> result)
        {
            if (is_ok(result))
            {
                reply(from, id, std::move(value_of(result).answer));
            }
            else
            {
                reply(from, id, error_of(result));
            }
        });
}

void claims_service::reply(const vm_id& to,
                           std::uint64_t id,
                           outcome<std::string> result)
{
    const auto leader = m_log.view().leader;
    wire::reply message{id, std::move(result), leader ? leader->vm : vm_id()};
    m_hub->send(to,
                wire::channel::control,
                wire::encode(wire::call_message(std::move(message))));
}

} // namespace limpet::control

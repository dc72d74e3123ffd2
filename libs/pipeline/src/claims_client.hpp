/// \file
/// Asks the control group for claims of idempotency keys.

#pragma once

#include <limpet/claims/claim_command.hpp>
#include <limpet/pipeline/mailbox.hpp>
#include <limpet/wire/call_message.hpp>
#include <limpet/wire/link_hub.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace limpet::pipeline
{

/// Sends claims commands to the leader of the control group and sends them
/// again until there is an answer. A command may be sent more than once, which
/// has no further effect. Thread-safe.
class claims_client
{
public:
    claims_client(std::shared_ptr<wire::link_hub> hub,
                  std::vector<vm_id> controls);

    /// Returns the group's answer, or unavailable when there was none in time;
    /// the command may then have taken effect.
    boost::asio::awaitable<outcome<claims::claim_answer>>
    ask(claims::claim_command command, time_point until);

    /// Takes a reply of a control replica.
    void receive(wire::reply answer);

private:
    using reply_mailbox = mailbox<wire::reply>;

    vm_id target();
    void turn_from(const vm_id& silent);
    void turn_to(const vm_id& leader);
    std::uint64_t add(std::shared_ptr<reply_mailbox> box);
    void remove(std::uint64_t id);

    std::shared_ptr<wire::link_hub> m_hub;
    std::vector<vm_id> m_controls;
    std::mutex m_mutex;
    std::size_t m_target = 0;
    std::uint64_t m_next_id = 1;
    std::unordered_map<std::uint64_t, std::shared_ptr<reply_mailbox>> m_calls;
};

} // namespace limpet::pipeline

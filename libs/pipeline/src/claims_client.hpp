/// \file
/// Client of the control group for claims of idempotency keys.

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

/// Sends claims commands to the leader of the control group and resends them
/// until a reply arrives. A command may be sent more than once; repeated
/// commands have no further effect. Thread-safe.
class claims_client
{
public:
    claims_client(std::shared_ptr<wire::link_hub> hub,
                  std::vector<vm_id> controls);

    /// Submits the command and returns the group's reply, or unavailable if
    /// there was none before `until`; the command may then have been applied.
    boost::asio::awaitable<outcome<claims::claim_answer>>
    submit(claims::claim_command command, time_point until);

    /// Processes a reply from a control replica.
    void receive(wire::reply answer);

private:
    using reply_mailbox = mailbox<wire::reply>;

    vm_id target();
    void advance_target(const vm_id& unresponsive);
    void set_target(const vm_id& leader);
    std::uint64_t add(std::shared_ptr<reply_mailbox> replies);
    void remove(std::uint64_t id);

    std::shared_ptr<wire::link_hub> m_hub;
    std::vector<vm_id> m_controls;
    std::mutex m_mutex;
    std::size_t m_target = 0;
    std::uint64_t m_next_id = 1;
    std::unordered_map<std::uint64_t, std::shared_ptr<reply_mailbox>>
        m_pending_calls;
};

} // namespace limpet::pipeline

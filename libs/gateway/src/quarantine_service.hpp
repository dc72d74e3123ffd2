/// \file
/// Refuses requests whose prompts crash servers, together with the other
/// routers.

#pragma once

#include <limpet/gateway/protocol.hpp>
#include <limpet/quarantine/part_quarantine.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace limpet::gateway
{

/// Returns the keys of the parts that other requests to the service may have
/// too: all but the last.
std::vector<quarantine::part_key>
shared_part_keys(std::string_view service,
                 const std::vector<prompt_part>& parts);

/// Returns the keys by which a request is recognised if it is sent again with
/// the same path, caller and body: without the prompt that its headers name,
/// and with it if there is one.
std::vector<quarantine::part_key> request_keys(std::string_view service,
                                               const http::request& message,
                                               const call& fields);

/// Runs a part_quarantine over the links between routers. Used on one thread.
class quarantine_service
{
public:
    /// Sends a frame to a router.
    using send_function =
        std::function<void(const vm_id& router, std::string payload)>;

    quarantine_service(boost::asio::io_context& context,
                       const vm_id& self,
                       send_function send);

    /// See part_quarantine.
    quarantine::admission
    check(const std::vector<quarantine::part_key>& parts) const;
    quarantine::admission admit(const std::vector<quarantine::part_key>& parts);
    void on_cut_off(const quarantine::cut_off_request& request);
    void on_sound(const std::vector<quarantine::part_key>& parts);
    void on_answer(quarantine::server_key server);

    void set_routers(std::set<vm_id> routers);
    void on_lost(const vm_id& router);

    /// Handles a frame of another router.
    void receive(const vm_id& from, std::string_view payload);

    /// Stops the timer.
    void close();

    /// Returns the number of parts that are or were quarantined.
    std::size_t size() const noexcept
    {
        return m_quarantine.size();
    }

private:
    void update();
    void schedule();
    void log_changes();

    quarantine::part_quarantine m_quarantine;
    send_function m_send;
    boost::asio::steady_timer m_timer;
    /// Time of the next update, if the timer is set.
    std::optional<time_point> m_due_at;
    bool m_is_closed = false;
};

} // namespace limpet::gateway

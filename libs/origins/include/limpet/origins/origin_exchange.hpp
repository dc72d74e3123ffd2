/// \file
/// Exchange among routers of what began the streams.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/origins/message.hpp>
#include <limpet/origins/origin_table.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace limpet::origins
{

/// The routers of a fleet and their data centres.
using router_map = std::map<vm_id, data_centre_id>;

/// Tells a caller that reconnects which version began its stream, whichever
/// router it reaches. A router tells a few others, its backups, what began its
/// streams; one that does not know a stream asks all. One backup is a control
/// replica, which outlives a restart of all routers; a replica has an exchange
/// that only stores and answers. Functions return the messages to send. Takes
/// the time as an argument and does no I/O; not thread-safe.
class origin_exchange
{
public:
    using addressed_message = std::pair<vm_id, message>;

    /// Returns the only version of a service that can have begun a stream
    /// within the time, or nothing if this router knows of several or cannot
    /// exclude them.
    using version_function = std::function<std::optional<version_key>(
        service_key service, duration max_age)>;

    /// Backups of a router among the routers: one in its own data centre, which
    /// it reaches while the data centre is cut off, and two in others, which
    /// outlive it.
    static constexpr std::size_t default_backups = 3;

    origin_exchange(vm_id self,
                    data_centre_id home,
                    version_function only_version,
                    std::size_t backup_count = default_backups);

    /// Sets the routers; this one may be among them.
    std::vector<addressed_message> set_routers(router_map routers,
                                               time_point now);

    /// Sets the control replicas: those that are asked, and of these the ones
    /// that are live and may be backups.
    std::vector<addressed_message> set_replicas(std::set<vm_id> known,
                                                const std::set<vm_id>& live,
                                                time_point now);

    /// Sets the services of whose streams the backups are told: those that may
    /// have several versions. Streams of others continue at any server.
    std::vector<addressed_message>
    set_shared_services(std::set<service_key> services, time_point now);

    /// Records what began a stream of this router.
    std::vector<addressed_message> record(const origin& begun, time_point now);

    /// Returns what began the stream, if this router knows it.
    std::optional<origin> find(stream_key stream, time_point now) const;

    /// Begins to ask all other routers.
    std::vector<addressed_message> ask(const query& asked);

    /// Returns whether a router that was asked may still answer.
    bool is_awaiting(stream_key stream) const;

    /// Ends the wait for answers.
    void stop_awaiting(stream_key stream);

    /// Handles a message. Returns the answer to its queries.
    std::vector<addressed_message>
    receive(const vm_id& from, const message& received, time_point now);

    /// Handles the loss of the link to a router: messages may be lost, and it
    /// may have lost its memory.
    void on_lost(const vm_id& router);

    const std::vector<vm_id>& backups() const noexcept
    {
        return m_backups;
    }

private:
    std::vector<vm_id> choose_backups() const;
    /// Returns the names in the rendezvous order of this router.
    std::vector<vm_id> rendezvous_order(const std::set<vm_id>& names) const;
    std::vector<addressed_message> update_backups(time_point now);
    /// Returns this router's streams of the shared services.
    std::vector<origin> shared_streams(time_point now) const;
    message answer(const std::vector<query>& queries, time_point now) const;

    vm_id m_self;
    data_centre_id m_home;
    version_function m_only_version;
    std::size_t m_backup_count;
    router_map m_routers;
    std::set<vm_id> m_replicas;
    std::set<vm_id> m_live_replicas;
    std::vector<vm_id> m_backups;
    std::set<service_key> m_shared_services;
    /// Backups that were told of all streams of the shared services.
    std::set<vm_id> m_complete_backups;
    /// Streams that this router began, and those that others told it of.
    origin_table m_own;
    origin_table m_others;
    /// Routers that have not answered yet, for each stream asked for.
    std::map<stream_key, std::set<vm_id>> m_awaited;
};

} // namespace limpet::origins

/// \file
/// Whether this router reaches the backend servers of a service.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/units.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace limpet::gateway
{

/// Counts the servers of each service that could not be reached one after the
/// other. A router that is cut off from all servers cannot tell this from
/// servers that are gone; other routers can. Takes the time as an argument; not
/// thread-safe.
class reach_tracker
{
public:
    /// Servers unreached in a row after which a service counts as cut off.
    static constexpr std::size_t unreached_servers = 4;
    /// Servers that have to respond before a service that is cut off counts as
    /// reached again: connections of before the cut may live on.
    static constexpr std::size_t reached_servers = 2;
    /// Interval of the requests that try the servers of a service that is cut
    /// off.
    static constexpr duration trial_interval = milliseconds(500);
    /// The same for requests that may run once only, and fail if the connection
    /// ends: they are tried if there are no others.
    static constexpr duration single_trial_interval = seconds(2);

    /// Records that a server of the service responded to a request that was
    /// sent at `sent_at`. Shows nothing of the time before.
    void on_reached(const std::string& service,
                    const engine_id& server,
                    time_point sent_at);

    /// Records that a server of the service could not be reached. One of
    /// another data centre, where this one has servers too, may be behind a cut
    /// between the data centres: such servers alone are no sign that this
    /// router is cut off.
    void on_unreached(const std::string& service,
                      const engine_id& server,
                      time_point now,
                      bool is_of_other_data_centre = false);

    /// Returns whether no server of the service was reached since one could not
    /// be.
    bool has_unreached(const std::string& service) const;

    /// Returns whether the service counts as cut off from this router.
    bool is_cut_off(const std::string& service) const;

    /// Returns whether a request may try the servers of a service that is cut
    /// off: one at a time, in intervals.
    bool try_begin_trial(const std::string& service,
                         bool may_repeat,
                         time_point now);

private:
    struct record
    {
        /// Servers not reached in a row, and the time of the last one.
        std::set<engine_id> unreached;
        time_point unreached_at{};
        /// Whether one of them was not of another data centre.
        bool has_near = false;
        /// While the service is cut off: servers reached since.
        std::set<engine_id> reached;
        time_point last_trial{};
    };

    std::map<std::string, record> m_records;
};

} // namespace limpet::gateway

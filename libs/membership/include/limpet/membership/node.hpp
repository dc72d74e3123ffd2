/// \file
/// Membership protocol of one router.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/membership/action.hpp>
#include <limpet/membership/announcement.hpp>
#include <limpet/membership/load_digest.hpp>
#include <limpet/membership/settings.hpp>
#include <limpet/membership/view.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace limpet::membership
{

/// Discovers the region's routers and engines, detects failures, determines
/// which engines this router owns, and aggregates load. Does no I/O: the caller
/// passes the current time and the received messages, and executes the returned
/// actions. Not thread-safe; the snapshots that snapshot() returns are.
class node
{
public:
    /// Starts with the given incarnation, which must be higher than that of
    /// any earlier process on this VM. The seeds are the routers to contact
    /// first: routers of this region and, if there are several regions, of the
    /// others. Seeds in this router's data centre are quorum voters from the
    /// start, so the list should name all of them if possible. An entry for
    /// this router itself is ignored.
    node(const settings& settings,
         peer self,
         incarnation started,
         const std::vector<peer>& seeds,
         std::uint64_t random_seed,
         time_point now);
    ~node();
    node(node&&) noexcept;
    node& operator=(node&&) noexcept;

    /// Runs the timers that are due. Call at least every 50 ms.
    actions tick(time_point now);

    /// Processes a message from another router. Malformed messages and
    /// messages of an earlier incarnation of the sender are dropped.
    actions receive(std::string_view bytes, time_point now);

    /// Processes an announcement that a backend server sent to this router.
    /// Errors: conflict for an older incarnation or for one that has left;
    /// overloaded for a server that joins and leaves too often, or when
    /// settings::max_engines servers are already registered. The resulting
    /// messages are returned by the next tick, which may be called at once.
    outcome<announce_result> announce(const announcement& server,
                                      time_point now);

    /// Leaves the region: the other routers remove this router from their
    /// members, and its engines are handed over to their new owners. Continue
    /// to call tick() for 1 s afterwards so that all messages are sent.
    actions leave(time_point now);

    /// Sets the load of an engine that this router owns or on which it still
    /// has requests running.
    void set_load(const engine_id& engine, const engine_load& load);

    /// Returns the snapshot of the last tick; never null. A change of an engine
    /// appears in it with a delay of up to 200 ms.
    std::shared_ptr<const view> snapshot() const;

    /// Returns whether, and how far, this router owns the engine.
    ownership ownership_of(const engine_id& engine, time_point now) const;

    /// Returns the load of the model in this region, or nullopt while no load
    /// of it has been received.
    std::optional<load_digest> load_of(const model_id& model,
                                       time_point now) const;

    /// Returns the load of the model in another region, or nullopt while no
    /// load of it has been received.
    std::optional<load_digest> load_of(const region_id& region,
                                       const model_id& model,
                                       time_point now) const;

    /// Returns whether the node has completed its join: another router
    /// answered it, it has no seed in its region, or no router answered within
    /// the join timeout of 5 s.
    bool joined() const noexcept;

    /// Returns the estimated size of the state in bytes, without the
    /// allocator's overhead.
    std::size_t state_bytes() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace limpet::membership

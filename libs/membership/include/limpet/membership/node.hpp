/// \file
/// A router's part in the membership of its region.

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

/// Finds the region's routers and engines, detects failures, decides which
/// engines this router owns, and sums load. Does no I/O: the caller passes
/// the time, hands in received messages and carries out the actions. Not
/// thread-safe; the snapshots that view() returns are.
class node
{
public:
    /// Starts as the given incarnation, which must be higher than that of any
    /// earlier process of this VM. Seeds are other routers to begin with, of
    /// this region and, if there are several, of the others; those of this
    /// router's data centre count as its members from the start, so name all
    /// of them if possible. An entry for this router itself is ignored.
    node(const settings& settings,
         peer self,
         incarnation started,
         const std::vector<peer>& seeds,
         std::uint64_t random_seed,
         time_point now);
    ~node();
    node(node&&) noexcept;
    node& operator=(node&&) noexcept;

    /// Does what is due. Call at least every 50 ms.
    actions tick(time_point now);

    /// Takes a message from another router. Malformed and outdated messages
    /// are dropped.
    actions receive(std::string_view bytes, time_point now);

    /// Takes a backend server's announcement, sent to this router. Errors:
    /// conflict for an older incarnation or one that has left, overloaded for
    /// a server that comes and goes too often or if there are too many.
    /// Messages that follow from it come out of the next tick, which may be
    /// called at once.
    outcome<announce_result> announce(const announcement& server,
                                      time_point now);

    /// Leaves: others stop counting this router as a member, and its engines
    /// are handed over. Keep on ticking for a second.
    actions leave(time_point now);

    /// Sets the load of an engine that this router owns, or on which it still
    /// has requests running.
    void set_load(const engine_id& engine, const engine_load& load);

    /// Returns the snapshot of the last tick, in which changes of engines may
    /// be missing for up to 200 ms; never null.
    std::shared_ptr<const view> snapshot() const;

    /// Returns this router's standing towards the engine.
    ownership ownership_of(const engine_id& engine, time_point now) const;

    /// Returns the load of the model over the region, or nothing while none
    /// is known.
    std::optional<load_digest> load_of(const model_id& model,
                                       time_point now) const;

    /// Returns the load of the model over another region, or nothing.
    std::optional<load_digest> load_of(const region_id& region,
                                       const model_id& model,
                                       time_point now) const;

    /// Returns whether the node has met another router, or has none to meet
    /// or waited long enough to go on alone.
    bool joined() const noexcept;

    /// Returns the number of bytes of state, without the allocator's own.
    std::size_t state_bytes() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace limpet::membership

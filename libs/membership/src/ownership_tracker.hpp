/// \file
/// Engines that a router owns, and how far.

#pragma once

#include "outbox.hpp"
#include "quorum.hpp"

#include <limpet/membership/load_digest.hpp>

#include <map>
#include <memory>
#include <optional>

namespace limpet::membership
{

/// Follows the snapshots and tracks for each engine of this router how the
/// ownership began, the lease of the former owner and the fencing number.
///
/// An ownership begins as limited. It becomes full when the former owner
/// hands over a full one; when the engine is new to a data centre that this
/// router has held a lease in for long; or one lease after a quorum agreed on
/// the change, as by then the former owner's lease has run out. While this
/// router's own lease has lapsed, it owns nothing, unless it hears no router
/// at all but still hears the engine: then the ownership is limited.
class ownership_tracker
{
public:
    ownership_tracker(region_state& state,
                      const quorum& grants,
                      outbox& out,
                      time_point now);

    /// Takes in the current snapshot.
    void refresh(time_point now);

    /// Returns the snapshot taken in last.
    const std::shared_ptr<const view>& current() const noexcept
    {
        return m_view;
    }

    /// Advances all ownerships.
    void tick(time_point now);

    void on_hand_over(key from, const hand_over& items, time_point now);

    /// Records that the engine renewed, here or through another router.
    void on_renewal(const renewal& item, time_point now);

    /// Records that another router was heard.
    void on_message(time_point now) noexcept
    {
        m_last_message_at = now;
    }

    void set_load(key engine, const engine_load& load);

    /// Returns whether an ownership waits for a quorum's answers.
    bool needs_quorum() const noexcept
    {
        return m_needs_quorum;
    }

    ownership ownership_of(key engine, time_point now) const;

    /// Returns this router's part of the region's load.
    load_rows own_rows() const;

    std::size_t state_bytes() const;

private:
    enum class fencing_stage : std::uint8_t
    {
        reading, ///< Asks a quorum for the highest clock.
        writing, ///< Tells a quorum the number drawn.
        known
    };

    struct owned_engine
    {
        incarnation started;
        key former_owner = 0;
        /// Whether the engine's data centre has routers that were removed,
        /// so that they may be cut off rather than down.
        bool remote_takeover = false;
        time_point acquired_at;
        std::optional<time_point> full_at;
        std::optional<time_point> last_renewal;
        std::optional<time_point> first_renewal;
        fencing_stage stage = fencing_stage::reading;
        time_point stage_started_at;
        std::uint64_t clock = 0;
        std::optional<handed_over> inherited;
        time_point inherited_at;
        ownership_mode reported_mode = ownership_mode::none;
    };

    /// An engine whose requests here outlive the ownership.
    struct released_engine
    {
        key new_owner = 0;
        std::uint32_t reported_in_flight = 0;
    };

    struct early_hand_over
    {
        key from = 0;
        hand_over_item item;
        time_point received;
    };

    owned_engine acquire(const engine_entry& entry, time_point now);
    owned_engine retain(owned_engine held, const engine_record& engine) const;
    bool is_own(const view& current, const engine_entry& entry) const;
    void release(key engine, const owned_engine& held, time_point now);
    bool has_stable_lease(time_point now) const;
    bool has_removed_routers(const data_centre_id& data_centre) const;
    void refute_removals(time_point now);
    bool holds_lease(time_point now) const;
    bool is_full(const owned_engine& held, time_point now) const;
    bool is_isolated(time_point now) const;
    void track_lease(time_point now);
    void reacquire(owned_engine& held, time_point now);
    void advance_mode(owned_engine& held, time_point now);
    void advance_fencing(owned_engine& held,
                         std::uint64_t& batch_clock,
                         time_point now);
    void accept_hand_over(key from,
                          owned_engine& held,
                          const hand_over_item& item,
                          time_point now);
    void expire_engines(time_point now);
    void report_modes(time_point now);
    void report_released_loads(time_point now);
    void send_hand_overs();
    ownership_mode mode_of(const owned_engine& held, time_point now) const;
    fencing_number fencing_number_of(const owned_engine& held) const;
    engine_load load_of(key engine) const;

    region_state& m_state;
    const quorum& m_quorum;
    outbox& m_out;
    std::shared_ptr<const view> m_view;
    std::map<key, owned_engine> m_owned;
    std::map<key, engine_load> m_loads;
    std::map<key, released_engine> m_released;
    std::map<key, early_hand_over> m_early_hand_overs;
    std::map<key, hand_over> m_pending_hand_overs;
    time_point m_last_message_at;
    time_point m_next_report;
    time_point m_next_expiry;
    /// Time since which the lease has held without a gap.
    std::optional<time_point> m_lease_since;
    bool m_needs_quorum = false;
};

} // namespace limpet::membership

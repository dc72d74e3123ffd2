/// \file
/// Ownership of engines by this router.

#pragma once

#include "outbox.hpp"
#include "quorum.hpp"

#include <limpet/membership/load_digest.hpp>

#include <map>
#include <memory>
#include <optional>

namespace limpet::membership
{

/// Derives from the snapshots which engines this router owns. Tracks for each
/// of them how the ownership began, the lease of the former owner and the
/// fencing number.
///
/// An ownership begins as limited. It becomes full in one of three cases:
/// - The former owner was the full owner and hands the engine over.
/// - No router has owned the engine before, and this router's lease has been
///   valid for at least one lease duration.
/// - One lease duration has passed since a quorum acknowledged the change. By
///   then the former owner's lease has expired. For a remote takeover, one
///   engine lease must also have passed since the engine first renewed here.
///
/// While this router's own lease has expired, it owns no engine. The exception
/// is an isolated router, which receives no message from any router, but still
/// receives renewals of the engine: its ownership is then limited.
class ownership_tracker
{
public:
    ownership_tracker(region_state& state,
                      const quorum& grants,
                      outbox& out,
                      time_point now);

    /// Updates the owned engines from the current snapshot.
    void refresh(time_point now);

    /// Returns the snapshot of the last refresh.
    const std::shared_ptr<const view>& current() const noexcept
    {
        return m_view;
    }

    /// Advances the state of all ownerships and sends the messages due.
    void tick(time_point now);

    void on_hand_over(key from, const hand_over& items, time_point now);

    /// Records that the engine renewed its lease, at this router or through
    /// another one.
    void on_renewal(const renewal& item, time_point now);

    /// Records that a message from another router arrived.
    void on_message(time_point now) noexcept
    {
        m_last_message_at = now;
    }

    void set_load(key engine, const engine_load& load);

    /// Returns whether an ownership is waiting for answers of a quorum.
    bool needs_quorum() const noexcept
    {
        return m_needs_quorum;
    }

    ownership ownership_of(key engine, time_point now) const;

    /// Returns this router's contribution to the region's load: that of the
    /// engines that it owns and its remaining requests on released engines.
    load_rows own_rows() const;

    std::size_t state_bytes() const;

private:
    enum class fencing_stage : std::uint8_t
    {
        reading, ///< Waits for a quorum, to learn the highest clock.
        writing, ///< Waits for a quorum to receive the new number.
        known    ///< A quorum has received the number.
    };

    struct owned_engine
    {
        incarnation started;
        key former_owner = 0;
        /// Whether the engine is in another data centre, some of whose routers
        /// were removed. They may be partitioned from this router rather than
        /// down, and may still own the engine.
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

    /// An engine that this router no longer owns but on which it may still have
    /// requests running.
    struct released_engine
    {
        key new_owner = 0;
        std::uint32_t reported_in_flight = 0;
    };

    /// A hand-over that arrived before the snapshot made this router the owner.
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
    /// Start of the period in which the lease has been valid without
    /// interruption; unset while the lease has expired.
    std::optional<time_point> m_lease_since;
    bool m_needs_quorum = false;
};

} // namespace limpet::membership

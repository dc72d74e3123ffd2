/// \file
/// Registration of backend servers.

#pragma once

#include "outbox.hpp"
#include "ownership_tracker.hpp"

namespace limpet::membership
{

/// Validates announcements, merges them into the region's records and forwards
/// lease renewals to the engines' owners.
class engine_registry
{
public:
    engine_registry(region_state& state,
                    ownership_tracker& owned,
                    outbox& out,
                    time_point now);

    outcome<announce_result> announce(const announcement& server,
                                      time_point now);

    /// Sends the renewals collected since the last transmission to the owners.
    void tick(time_point now);

private:
    outcome<engine_ptr> make_record(const announcement& server, time_point now);
    std::optional<error>
    rejection_of(const announcement& server, key name, time_point now) const;
    std::shared_ptr<const view> snapshot_with(const engine_id& engine);
    void renew(const engine_record& record, bool changed, time_point now);

    region_state& m_state;
    ownership_tracker& m_owned;
    outbox& m_out;
    time_point m_next_forward;
    std::map<key, renewals> m_renewals;
};

} // namespace limpet::membership

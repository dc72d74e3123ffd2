/// \file
/// Messages between the memberships of routers, decoded.

#pragma once

#include <limpet/base/hash.hpp>
#include <limpet/base/outcome.hpp>
#include <limpet/membership/engine_record.hpp>
#include <limpet/membership/router_record.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace limpet::membership
{

/// Hash of a router's VM or of an engine's id, its name in messages.
using key = std::uint64_t;

inline key key_of(const vm_id& vm) noexcept
{
    return stable_hash(vm.get());
}

inline key key_of(const engine_id& engine) noexcept
{
    return stable_hash(engine.get());
}

/// Hash of a model's name, its name in digests.
using model_key = std::uint32_t;

inline model_key key_of(const model_id& model) noexcept
{
    return static_cast<model_key>(stable_hash(model.get()));
}

/// A change of a router without its description.
struct router_status
{
    key router = 0;
    incarnation started;
    std::uint32_t version = 0;
    router_state state = router_state::alive;
    std::uint8_t flaps = 0;
    bool ready = false;
};

/// A change of an engine without its description.
struct engine_status
{
    key engine = 0;
    incarnation started;
    std::uint32_t version = 0;
    std::uint8_t flaps = 0;
    bool leaving = false;
    bool gone = false;
};

/// Changes that travel with any message.
struct updates
{
    std::vector<router_record> routers;
    std::vector<engine_ptr> engines;
    std::vector<router_status> router_statuses;
    std::vector<engine_status> engine_statuses;
};

/// Asks a seed or a removed router for admission.
struct join_request
{
    router_record self;
};

/// Answers a join.
struct join_response
{
    router_record self;
    /// Flaps of the joining router's former record.
    std::uint8_t former_flaps = 0;
};

/// Probes the receiver, or asks it to probe the target.
struct ping
{
    std::uint32_t sequence = 0;
    key target = 0;
};

/// Answers a probe.
struct ack
{
    std::uint32_t sequence = 0;
    /// Router that answered a relayed probe, else 0.
    key subject = 0;
    /// Whether the answering router counts the prober as a member, which
    /// extends the prober's lease.
    bool granted = false;
    /// Whether the prober is unknown and must join.
    bool unknown = false;
};

/// Compares the lists by the hashes of their parts.
struct sync_request
{
    std::vector<std::uint32_t> buckets;
};

/// Carries the sender's records of some parts.
struct sync_records
{
    std::vector<std::uint8_t> buckets;
    /// Whether this answers other sync_records.
    bool is_reply = false;
};

/// Carries only updates.
struct gossip
{
};

/// An engine's renewal, forwarded to its owner.
struct renewal
{
    key engine = 0;
    incarnation started;
};

struct renewals
{
    std::vector<renewal> items;
};

/// What the former owner of an engine passes on.
struct hand_over_item
{
    key engine = 0;
    fencing_number fencing;
    std::uint32_t in_flight = 0;
    std::uint32_t limit = 0;
    /// Whether the former owner was the only dispatcher until now. Later
    /// reports of its remaining requests do not say so again.
    bool was_full_owner = false;
};

struct hand_over
{
    std::vector<hand_over_item> items;
};

/// Load of one model in a sum.
struct load_row
{
    std::uint64_t in_flight = 0;
    std::uint32_t eligible = 0;
};

using load_rows = std::map<model_key, load_row>;

/// Load sums and the age of the oldest part.
struct load_sums
{
    load_rows rows;
    std::uint16_t age_ms = 0;
};

/// Starts a round: passes the region's sums down and asks for reports.
struct collect
{
    std::uint32_t round = 0;
    load_sums sums;
};

/// Answers a collect with the sums of a router and those below it.
struct report
{
    std::uint32_t round = 0;
    load_sums sums;
};

/// Sums of a data centre, between the roots of its region.
struct data_centre_sums
{
    load_sums sums;
};

/// Sums of a region, for other regions.
struct region_sums
{
    region_id region;
    /// Some routers of the region to send to.
    std::vector<router_record> contacts;
    /// Whether the message came from within the receiver's region.
    bool relayed = false;
    load_sums sums;
};

using body = std::variant<join_request,
                          join_response,
                          ping,
                          ack,
                          sync_request,
                          sync_records,
                          gossip,
                          renewals,
                          hand_over,
                          collect,
                          report,
                          data_centre_sums,
                          region_sums>;

struct message
{
    key from = 0;
    incarnation started;
    /// The sender's logical clock, from which fencing numbers are drawn.
    std::uint64_t clock = 0;
    body content;
    updates changes;
};

/// Returns the message's bytes.
std::string encode(const message& input);

/// Verifies and reads a message.
outcome<message> decode(std::string_view bytes);

/// Returns an upper bound of what the record adds to a message, in bytes.
std::size_t encoded_bytes(const router_record& record);
/// \copydoc encoded_bytes
std::size_t encoded_bytes(const engine_record& record);

} // namespace limpet::membership

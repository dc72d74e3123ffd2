/// \file
/// Decoded form of the membership messages that routers exchange.

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

/// Hash of a router's VM or of an engine's id, by which messages refer to it.
using key = std::uint64_t;

inline key key_of(const vm_id& vm) noexcept
{
    return stable_hash(vm.get());
}

inline key key_of(const engine_id& engine) noexcept
{
    return stable_hash(engine.get());
}

/// Hash of a model's name, by which load sums refer to it.
using model_key = std::uint32_t;

inline model_key key_of(const model_id& model) noexcept
{
    return static_cast<model_key>(stable_hash(model.get()));
}

/// Change of a router's status, without its address and location.
struct router_status
{
    key router = 0;
    incarnation started;
    std::uint32_t version = 0;
    router_state state = router_state::alive;
    std::uint8_t flaps = 0;
    bool ready = false;
};

/// Change of an engine's status, without its description.
struct engine_status
{
    key engine = 0;
    incarnation started;
    std::uint32_t version = 0;
    std::uint8_t flaps = 0;
    bool leaving = false;
    bool gone = false;
};

/// Changes of records, piggybacked on messages of any kind.
struct updates
{
    std::vector<router_record> routers;
    std::vector<engine_ptr> engines;
    std::vector<router_status> router_statuses;
    std::vector<engine_status> engine_statuses;
};

/// Asks a seed or a removed router to add the sender to the members.
struct join_request
{
    router_record self;
};

/// Answers a join_request.
struct join_response
{
    router_record self;
    /// Flaps that the joining router inherits from the record of its former
    /// incarnation, this restart included.
    std::uint8_t former_flaps = 0;
};

/// Probes the receiver or, with a target, asks the receiver to probe that
/// router.
struct ping
{
    std::uint32_t sequence = 0;
    key target = 0;
};

/// Answers a ping.
struct ack
{
    std::uint32_t sequence = 0;
    /// Router that answered an indirect probe, else 0.
    key subject = 0;
    /// Whether the answering router counts the prober as a member. Such an
    /// answer is a grant, which extends the prober's lease.
    bool granted = false;
    /// Whether the answering router does not know the prober's incarnation, so
    /// that the prober has to join.
    bool unknown = false;
};

/// Requests a comparison of all records by the hashes of their buckets.
struct sync_request
{
    std::vector<std::uint32_t> buckets;
};

/// Carries the sender's records of the buckets that differ.
struct sync_records
{
    std::vector<std::uint8_t> buckets;
    /// Whether this message answers another sync_records message.
    bool is_reply = false;
};

/// Carries no content of its own, only updates.
struct gossip
{
};

/// Lease renewal of an engine, forwarded to the engine's owner.
struct renewal
{
    key engine = 0;
    incarnation started;
};

struct renewals
{
    std::vector<renewal> items;
};

/// State of an engine that its former owner hands over.
struct hand_over_item
{
    key engine = 0;
    fencing_number fencing;
    std::uint32_t in_flight = 0;
    std::uint32_t limit = 0;
    /// Whether the former owner was the full owner up to this message. False
    /// in the later messages that report its remaining requests.
    bool was_full_owner = false;
};

struct hand_over
{
    std::vector<hand_over_item> items;
};

/// Load of one model within load sums.
struct load_row
{
    std::uint64_t in_flight = 0;
    std::uint32_t eligible = 0;
};

using load_rows = std::map<model_key, load_row>;

/// Load sums and the age of the oldest value in them.
struct load_sums
{
    load_rows rows;
    std::uint16_t age_ms = 0;
};

/// Starts a round: distributes the region's sums down the tree and requests
/// reports.
struct collect
{
    std::uint32_t round = 0;
    load_sums sums;
};

/// Answers a collect message with the sums of a router and its subtree.
struct report
{
    std::uint32_t round = 0;
    load_sums sums;
};

/// Sums of a data centre, exchanged between the tree roots of a region.
struct data_centre_sums
{
    load_sums sums;
};

/// Sums of a region, sent to other regions.
struct region_sums
{
    region_id region;
    /// Routers of the region to which other regions may send their sums.
    std::vector<router_record> contacts;
    /// Whether a router of the receiver's region forwarded the message.
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
    /// The sender's logical clock, from which fencing numbers are derived.
    std::uint64_t clock = 0;
    body content;
    updates changes;
};

/// Serialises the message.
std::string encode(const message& input);

/// Verifies and parses a message. Returns error_code::malformed if the bytes
/// are not a valid message.
outcome<message> decode(std::string_view bytes);

/// Returns an upper bound of the record's serialised size in bytes.
std::size_t encoded_bytes(const router_record& record);
/// \copydoc encoded_bytes
std::size_t encoded_bytes(const engine_record& record);

} // namespace limpet::membership

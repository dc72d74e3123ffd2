#include "directory_generated.h"
#include "flatbuffer_registrations.hpp"
#include "flatbuffer_rollouts.hpp"
#include "flatbuffer_text.hpp"
#include "flatbuffer_versions.hpp"

#include <limpet/directory/update.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace limpet::directory
{

namespace
{

using builder_type = flatbuffers::FlatBufferBuilder;

std::uint32_t to_wire_milliseconds(duration span)
{
    const auto count = std::chrono::duration_cast<milliseconds>(span).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(count, 0, UINT32_MAX));
}

/// Rounds down, so that an echoed time is never later than the original.
std::uint64_t to_wire_time(time_point at)
{
    return static_cast<std::uint64_t>(
        std::chrono::floor<milliseconds>(at.time_since_epoch()).count());
}

flatbuffers::Offset<fb::registration> write_registration(
    builder_type& builder, const registration& from, time_point now)
{
    // Strings that many servers have in common are written once in a frame.
    const auto id = builder.CreateString(from.id.get());
    const auto service = builder.CreateSharedString(from.service);
    const auto address = builder.CreateString(from.address);
    const auto data_centre = builder.CreateSharedString(from.data_centre.get());
    const auto version = builder.CreateSharedString(from.version);
    return fb::Createregistration(builder,
                                  id,
                                  service,
                                  address,
                                  data_centre,
                                  from.born_ms,
                                  from.sequence,
                                  from.slots,
                                  static_cast<std::uint8_t>(from.state),
                                  to_wire_milliseconds(from.cold_until - now),
                                  to_wire_milliseconds(now - from.heard_at),
                                  version);
}

/// Columns of the load counts, as they are on the wire.
struct load_columns
{
    std::vector<std::uint64_t> servers;
    std::vector<std::uint16_t> requests;
};

load_columns to_columns(const load_update& from)
{
    load_columns columns;
    for (const server_load_count& each : from.changed)
    {
        columns.servers.push_back(each.server);
        columns.requests.push_back(static_cast<std::uint16_t>(
            std::min<std::uint32_t>(each.requests, UINT16_MAX)));
    }
    return columns;
}

/// Values of a rate that are none. To releases that do not know them, those
/// after the first are limits that are never reached.
constexpr std::uint32_t no_rate = UINT32_MAX;
constexpr std::uint32_t leaving_rate = UINT32_MAX - 1;
constexpr std::uint32_t closed_rate = UINT32_MAX - 2;
constexpr double rate_units_per_request = 1000;

std::uint32_t to_wire_rate(const server_limit& from)
{
    if (from.is_leaving)
    {
        return leaving_rate;
    }
    if (from.is_closed)
    {
        return closed_rate;
    }
    if (!from.rate)
    {
        return no_rate;
    }
    const double highest = closed_rate - 1;
    return static_cast<std::uint32_t>(
        std::llround(std::min(*from.rate * rate_units_per_request, highest)));
}

fb::server_limit write_limit(const server_limit& from, time_point now)
{
    return {from.server,
            from.revision,
            to_wire_rate(from),
            from.turn,
            to_wire_milliseconds(now - from.confirmed_at)};
}

flatbuffers::Offset<flatbuffers::Vector<const fb::server_limit*>>
write_limits(builder_type& builder,
             const std::vector<server_limit>& from,
             time_point now)
{
    if (from.empty())
    {
        return 0;
    }
    std::vector<fb::server_limit> out;
    out.reserve(from.size());
    for (const server_limit& each : from)
    {
        out.push_back(write_limit(each, now));
    }
    return builder.CreateVectorOfStructs(out);
}

std::vector<server_limit> read_limits(const fb::update& from, time_point now)
{
    std::vector<server_limit> limits;
    if (from.limits() == nullptr)
    {
        return limits;
    }
    limits.reserve(from.limits()->size());
    for (const fb::server_limit* each : *from.limits())
    {
        server_limit limit{each->server(),
                           each->revision(),
                           std::nullopt,
                           each->turn(),
                           now - milliseconds(each->age_ms())};
        limit.is_leaving = each->rate() == leaving_rate;
        limit.is_closed = each->rate() == closed_rate;
        if (each->rate() < closed_rate)
        {
            limit.rate = each->rate() / rate_units_per_request;
        }
        limits.push_back(limit);
    }
    return limits;
}

template <class T>
std::size_t size_of(const flatbuffers::Vector<T>* list)
{
    return list == nullptr ? 0 : list->size();
}

outcome<load_update> read_loads(const fb::update& from, time_point now)
{
    const std::size_t count = size_of(from.load_servers());
    if (size_of(from.load_requests()) != count)
    {
        return error{error_code::malformed, "load lists of unequal length"};
    }
    load_update loads;
    loads.resets = from.resets_loads();
    loads.wants_reset = from.wants_load_reset();
    loads.changed.reserve(count);
    for (flatbuffers::uoffset_t i = 0; i < count; ++i)
    {
        loads.changed.push_back(
            {from.load_servers()->Get(i), from.load_requests()->Get(i)});
    }
    loads.limits = read_limits(from, now);
    loads.evidence = read_evidence(from.evidence());
    return loads;
}

flatbuffers::Offset<flatbuffers::Vector<const fb::heartbeat*>> write_heartbeats(
    builder_type& builder, const std::vector<heartbeat>& from, time_point now)
{
    if (from.empty())
    {
        return 0;
    }
    std::vector<fb::heartbeat> out;
    out.reserve(from.size());
    for (const heartbeat& each : from)
    {
        out.emplace_back(each.server,
                         each.sequence,
                         to_wire_milliseconds(now - each.heard_at));
    }
    return builder.CreateVectorOfStructs(out);
}

/// A list of another length, from a version that divides the ids otherwise, is
/// of no use.
std::optional<table_digests> read_digests(const fb::update& from)
{
    if (size_of(from.registration_digests()) != digest_count)
    {
        return std::nullopt;
    }
    table_digests digests{};
    std::copy(from.registration_digests()->begin(),
              from.registration_digests()->end(),
              digests.begin());
    return digests;
}

outcome<intent> read_intent(const fb::update& from)
{
    intent out;
    out.index = from.intent_index();
    if (from.document() != nullptr)
    {
        auto document = stored_document::decompress(
            compressed_text(from.document()->str()));
        if (!is_ok(document))
        {
            return error_of(document);
        }
        out.document = std::move(value_of(document));
    }
    if (from.evacuated() != nullptr)
    {
        for (const auto* each : *from.evacuated())
        {
            out.taken_out.insert(each->str());
        }
    }
    out.versions = read_versions(from.versions());
    out.rollouts = read_rollouts(from.rollouts());
    return out;
}

void read_lists(const fb::update& from, update& out, time_point now)
{
    if (from.router_changes() != nullptr)
    {
        for (const auto* each : *from.router_changes())
        {
            out.router_changes.push_back(
                {vm_id(text_or_empty(each->vm())),
                 data_centre_id(text_or_empty(each->data_centre())),
                 each->is_gone()});
        }
    }
    if (from.registrations() != nullptr)
    {
        for (const auto* each : *from.registrations())
        {
            out.registrations.push_back(read_registration(*each, now));
        }
    }
}

/// Number of entries from which lists are worth the processor time of their
/// compression: they shrink to about a third.
constexpr std::size_t min_packed_entries = 8;

bool has_packed_lists(const update& from)
{
    return from.may_be_packed &&
           from.registrations.size() + from.router_changes.size() >=
               min_packed_entries;
}

update lists_of(const update& from)
{
    update lists;
    lists.registrations = from.registrations;
    lists.router_changes = from.router_changes;
    return lists;
}

update without_lists(update from)
{
    from.registrations.clear();
    from.router_changes.clear();
    return from;
}

/// Reads the lists that a frame carries in compressed form.
outcome<update> read_packed(const fb::update& from, time_point now)
{
    const auto lists = compressed_text(from.packed()->str()).decompress();
    if (!is_ok(lists))
    {
        return error_of(lists);
    }
    const auto* packed = read_root<fb::update>(value_of(lists));
    if (packed == nullptr)
    {
        return error{error_code::malformed, "malformed packed lists"};
    }
    update out;
    read_lists(*packed, out, now);
    return out;
}

std::string encode_with(builder_type& builder,
                        const update& from,
                        flatbuffers::Offset<flatbuffers::String> packed,
                        time_point now)
{
    std::vector<flatbuffers::Offset<fb::registration>> registrations;
    registrations.reserve(from.registrations.size());
    for (const registration& each : from.registrations)
    {
        registrations.push_back(write_registration(builder, each, now));
    }
    const auto forward_list = write_names(builder, from.forward_to);
    const auto forwarded_for =
        from.forwarded_for.get().empty()
            ? 0
            : builder.CreateString(from.forwarded_for.get());
    const auto registration_list = builder.CreateVector(registrations);
    const auto replica_list = write_names(builder, from.replicas);
    flatbuffers::Offset<flatbuffers::String> document;
    text_list_offset evacuated;
    flatbuffers::Offset<version_list> versions;
    flatbuffers::Offset<rollout_list> rollouts;
    if (from.orders)
    {
        if (from.orders->document)
        {
            document =
                builder.CreateString(from.orders->document->packed().bytes());
        }
        evacuated = write_texts(builder, from.orders->taken_out);
        versions = write_versions(builder, from.orders->versions);
        rollouts = write_rollouts(builder, from.orders->rollouts);
    }
    flatbuffers::Offset<flatbuffers::String> change;
    if (from.change)
    {
        change = builder.CreateString(from.change->delta);
    }
    const load_update loads = from.loads.value_or(load_update{});
    const load_columns columns = to_columns(loads);
    const bool has_counts = !loads.changed.empty();
    const auto load_servers =
        has_counts ? builder.CreateVector(columns.servers) : 0;
    const auto load_requests =
        has_counts ? builder.CreateVector(columns.requests) : 0;
    std::vector<flatbuffers::Offset<fb::router_change>> router_changes;
    router_changes.reserve(from.router_changes.size());
    for (const router_change& each : from.router_changes)
    {
        router_changes.push_back(fb::Createrouter_change(
            builder,
            builder.CreateString(each.vm.get()),
            builder.CreateSharedString(each.data_centre.get()),
            each.is_gone));
    }
    const auto router_list =
        router_changes.empty() ? 0 : builder.CreateVector(router_changes);
    const auto digests =
        from.digests ? builder.CreateVector(from.digests->data(), digest_count)
                     : 0;
    const auto heartbeats = write_heartbeats(builder, from.heartbeats, now);
    const auto limits = write_limits(builder, loads.limits, now);
    const auto evidence = write_evidence(builder, loads.evidence);
    builder.Finish(fb::Createupdate(builder,
                                    from.subscribes,
                                    from.is_router,
                                    from.intent_index,
                                    from.orders.has_value(),
                                    document,
                                    evacuated,
                                    replica_list,
                                    from.routers,
                                    from.is_complete,
                                    registration_list,
                                    change,
                                    from.change ? from.change->base_index : 0,
                                    from.document_index,
                                    from.is_sure,
                                    from.loads.has_value(),
                                    loads.resets,
                                    loads.wants_reset,
                                    load_servers,
                                    load_requests,
                                    router_list,
                                    to_wire_milliseconds(from.history),
                                    versions,
                                    digests,
                                    heartbeats,
                                    limits,
                                    to_wire_time(from.asked_at),
                                    from.is_settled,
                                    packed,
                                    to_wire_milliseconds(from.held),
                                    from.forwards,
                                    forward_list,
                                    forwarded_for,
                                    rollouts,
                                    evidence));
    return bytes_of(builder);
}

} // namespace

update make_forwarded_update(const update& from, const vm_id& replica)
{
    update out;
    out.is_router = true;
    out.intent_index = from.intent_index;
    out.orders = from.orders;
    out.change = from.change;
    out.held = from.held;
    out.forwarded_for = replica;
    return out;
}

std::string encode(const update& from, time_point now)
{
    builder_type builder;
    if (has_packed_lists(from))
    {
        const std::string lists = encode(lists_of(from), now);
        const auto packed =
            builder.CreateString(compressed_text::compress(lists).bytes());
        return encode_with(builder, without_lists(from), packed, now);
    }
    return encode_with(builder, from, 0, now);
}

outcome<update> decode_update(std::string_view bytes, time_point now)
{
    const std::string aligned(bytes);
    const auto* from = read_root<fb::update>(aligned);
    if (from == nullptr)
    {
        return error{error_code::malformed, "malformed directory update"};
    }
    update out;
    out.subscribes = from->subscribes();
    out.is_router = from->is_router();
    out.intent_index = from->intent_index();
    out.document_index = from->document_index();
    out.is_sure = from->is_sure();
    out.routers = from->routers();
    out.is_complete = from->is_complete();
    out.history = milliseconds(from->history_ms());
    out.digests = read_digests(*from);
    out.asked_at = time_point(milliseconds(from->asked_ms()));
    out.is_settled = from->is_settled();
    out.held = milliseconds(from->held_ms());
    out.forwards = from->forwards();
    out.forwarded_for = vm_id(text_or_empty(from->forwarded_for()));
    out.forward_to = read_names(from->forward_to());
    if (from->heartbeats() != nullptr)
    {
        for (const fb::heartbeat* each : *from->heartbeats())
        {
            out.heartbeats.push_back({each->server(),
                                      each->sequence(),
                                      now - milliseconds(each->silent_ms())});
        }
    }
    if (from->has_intent())
    {
        auto orders = read_intent(*from);
        if (!is_ok(orders))
        {
            return error_of(orders);
        }
        out.orders = std::move(value_of(orders));
    }
    if (from->change() != nullptr)
    {
        out.change = document_change{from->base_index(), from->change()->str()};
    }
    if (from->exchanges_loads())
    {
        auto loads = read_loads(*from, now);
        if (!is_ok(loads))
        {
            return error_of(loads);
        }
        out.loads = std::move(value_of(loads));
    }
    out.replicas = read_names(from->replicas());
    read_lists(*from, out, now);
    if (from->packed() != nullptr)
    {
        auto packed = read_packed(*from, now);
        if (!is_ok(packed))
        {
            return error_of(packed);
        }
        out.registrations = std::move(value_of(packed).registrations);
        out.router_changes = std::move(value_of(packed).router_changes);
    }
    return out;
}

} // namespace limpet::directory

#include "message.hpp"
#include "packed_rows.hpp"

#include <algorithm>
#include <membership_generated.h>

namespace limpet::membership
{

namespace
{

using builder = flatbuffers::FlatBufferBuilder;
template <class T>
using offset = flatbuffers::Offset<T>;
template <class T>
using vector_offset = offset<flatbuffers::Vector<T>>;

constexpr std::size_t initial_buffer_bytes = 512;

offset<wire::Router> write(builder& out, const router_record& record)
{
    const auto vm = out.CreateString(record.self.vm.get());
    const auto address = out.CreateString(record.self.address);
    const auto data_centre =
        out.CreateSharedString(record.self.data_centre.get());
    const auto region = out.CreateSharedString(record.self.region.get());
    return wire::CreateRouter(out,
                              vm,
                              address,
                              data_centre,
                              region,
                              record.started.get(),
                              record.version,
                              static_cast<std::uint8_t>(record.state),
                              record.flaps,
                              record.ready);
}

offset<wire::Engine> write(builder& out, const engine_record& record)
{
    const auto& server = record.server;
    std::vector<offset<flatbuffers::String>> models;
    for (const auto& model : server.models)
    {
        models.push_back(out.CreateSharedString(model.get()));
    }
    const auto engine = out.CreateString(server.engine.get());
    const auto address = out.CreateString(server.address);
    const auto data_centre = out.CreateSharedString(server.data_centre.get());
    const auto model_list = out.CreateVector(models);
    return wire::CreateEngine(out,
                              engine,
                              address,
                              data_centre,
                              model_list,
                              server.started.get(),
                              record.version,
                              server.slots,
                              static_cast<std::uint8_t>(server.kind),
                              record.flaps,
                              server.checks_fencing,
                              server.leaving,
                              record.gone);
}

/// Writes the body of a message and records its type.
struct body_writer
{
    builder& out;
    wire::Body type = wire::Body::NONE;

    template <class T>
    offset<void> as(wire::Body kind, offset<T> table)
    {
        type = kind;
        return table.Union();
    }

    vector_offset<std::uint8_t> rows(const load_sums& sums)
    {
        return out.CreateVector(pack(sums.rows));
    }

    offset<void> operator()(const join_request& input)
    {
        return as(wire::Body::Join,
                  wire::CreateJoin(out, write(out, input.self)));
    }

    offset<void> operator()(const join_response& input)
    {
        return as(wire::Body::Welcome,
                  wire::CreateWelcome(
                      out, input.former_flaps, write(out, input.self)));
    }

    offset<void> operator()(const ping& input)
    {
        return as(wire::Body::Ping,
                  wire::CreatePing(out, input.sequence, input.target));
    }

    offset<void> operator()(const ack& input)
    {
        return as(wire::Body::Ack,
                  wire::CreateAck(out,
                                  input.sequence,
                                  input.subject,
                                  input.granted,
                                  input.unknown));
    }

    offset<void> operator()(const sync_request& input)
    {
        return as(
            wire::Body::SyncRequest,
            wire::CreateSyncRequest(out, out.CreateVector(input.buckets)));
    }

    offset<void> operator()(const sync_records& input)
    {
        return as(wire::Body::SyncRecords,
                  wire::CreateSyncRecords(
                      out, out.CreateVector(input.buckets), input.is_reply));
    }

    offset<void> operator()(const gossip&)
    {
        return as(wire::Body::Gossip, wire::CreateGossip(out));
    }

    offset<void> operator()(const renewals& input)
    {
        std::vector<wire::Renewal> items;
        for (const auto& item : input.items)
        {
            items.emplace_back(item.engine, item.started.get());
        }
        return as(wire::Body::Renewals,
                  wire::CreateRenewals(out, out.CreateVectorOfStructs(items)));
    }

    offset<void> operator()(const hand_over& input)
    {
        std::vector<wire::HandOverItem> items;
        for (const auto& item : input.items)
        {
            items.emplace_back(item.engine,
                               item.fencing.get(),
                               item.in_flight,
                               item.limit,
                               item.was_full_owner);
        }
        return as(wire::Body::HandOver,
                  wire::CreateHandOver(out, out.CreateVectorOfStructs(items)));
    }

    offset<void> operator()(const collect& input)
    {
        return as(wire::Body::Collect,
                  wire::CreateCollect(
                      out, input.round, input.sums.age_ms, rows(input.sums)));
    }

    offset<void> operator()(const report& input)
    {
        return as(wire::Body::Report,
                  wire::CreateReport(
                      out, input.round, input.sums.age_ms, rows(input.sums)));
    }

    offset<void> operator()(const data_centre_sums& input)
    {
        return as(wire::Body::Sums,
                  wire::CreateSums(out, input.sums.age_ms, rows(input.sums)));
    }

    offset<void> operator()(const region_sums& input)
    {
        std::vector<offset<wire::Router>> contacts;
        for (const auto& contact : input.contacts)
        {
            contacts.push_back(write(out, contact));
        }
        const auto region = out.CreateString(input.region.get());
        const auto contact_list = out.CreateVector(contacts);
        return as(wire::Body::RegionSums,
                  wire::CreateRegionSums(out,
                                         region,
                                         contact_list,
                                         input.relayed,
                                         input.sums.age_ms,
                                         rows(input.sums)));
    }
};

/// Offsets of a message's updates. Empty lists have a null offset and are not
/// written.
struct update_offsets
{
    vector_offset<offset<wire::Router>> routers;
    vector_offset<offset<wire::Engine>> engines;
    vector_offset<const wire::RouterStatus*> router_statuses;
    vector_offset<const wire::EngineStatus*> engine_statuses;
};

vector_offset<const wire::RouterStatus*>
write(builder& out, const std::vector<router_status>& input)
{
    std::vector<wire::RouterStatus> items;
    items.reserve(input.size());
    for (const auto& item : input)
    {
        items.emplace_back(item.router,
                           item.started.get(),
                           item.version,
                           static_cast<std::uint8_t>(item.state),
                           item.flaps,
                           item.ready);
    }
    return out.CreateVectorOfStructs(items);
}

vector_offset<const wire::EngineStatus*>
write(builder& out, const std::vector<engine_status>& input)
{
    std::vector<wire::EngineStatus> items;
    items.reserve(input.size());
    for (const auto& item : input)
    {
        items.emplace_back(item.engine,
                           item.started.get(),
                           item.version,
                           item.flaps,
                           item.leaving,
                           item.gone);
    }
    return out.CreateVectorOfStructs(items);
}

update_offsets write(builder& out, const updates& input)
{
    update_offsets result;
    std::vector<offset<wire::Router>> routers;
    for (const auto& router : input.routers)
    {
        routers.push_back(write(out, router));
    }
    std::vector<offset<wire::Engine>> engines;
    for (const auto& engine : input.engines)
    {
        engines.push_back(write(out, *engine));
    }
    if (!routers.empty())
    {
        result.routers = out.CreateVector(routers);
    }
    if (!engines.empty())
    {
        result.engines = out.CreateVector(engines);
    }
    if (!input.router_statuses.empty())
    {
        result.router_statuses = write(out, input.router_statuses);
    }
    if (!input.engine_statuses.empty())
    {
        result.engine_statuses = write(out, input.engine_statuses);
    }
    return result;
}

} // namespace

std::string encode(const message& input)
{
    builder out(initial_buffer_bytes);
    body_writer writer{out};
    const auto content = std::visit(writer, input.content);
    const auto changes = write(out, input.changes);
    out.Finish(wire::CreateMessage(out,
                                   input.from,
                                   input.started.get(),
                                   input.clock,
                                   writer.type,
                                   content,
                                   changes.routers,
                                   changes.engines,
                                   changes.router_statuses,
                                   changes.engine_statuses));
    return {reinterpret_cast<const char*>(out.GetBufferPointer()),
            out.GetSize()};
}

namespace
{

/// Offset, length and padding of a string.
constexpr std::size_t string_overhead_bytes = 12;
constexpr std::size_t record_overhead_bytes = 80;

} // namespace

std::size_t encoded_bytes(const router_record& record)
{
    const auto& self = record.self;
    return record_overhead_bytes + 4 * string_overhead_bytes +
           self.vm.get().size() + self.address.size() +
           self.data_centre.get().size() + self.region.get().size();
}

std::size_t encoded_bytes(const engine_record& record)
{
    const auto& server = record.server;
    std::size_t bytes = record_overhead_bytes + 3 * string_overhead_bytes +
                        server.engine.get().size() + server.address.size() +
                        server.data_centre.get().size();
    for (const auto& model : server.models)
    {
        bytes += string_overhead_bytes + model.get().size();
    }
    return bytes;
}

} // namespace limpet::membership

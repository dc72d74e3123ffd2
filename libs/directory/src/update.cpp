#include "directory_generated.h"
#include "flat_text.hpp"

#include <limpet/directory/update.hpp>

#include <algorithm>
#include <chrono>

namespace limpet::directory
{

namespace
{

using builder_type = flatbuffers::FlatBufferBuilder;

std::uint32_t whole_milliseconds(duration span)
{
    const auto count = std::chrono::duration_cast<milliseconds>(span).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(count, 0, UINT32_MAX));
}

flatbuffers::Offset<fb::registration> write_registration(
    builder_type& builder, const registration& from, time_point now)
{
    return fb::CreateregistrationDirect(
        builder,
        from.id.get().c_str(),
        from.service.c_str(),
        from.address.c_str(),
        from.data_centre.get().c_str(),
        from.born_ms,
        from.sequence,
        from.slots,
        static_cast<std::uint8_t>(from.state),
        whole_milliseconds(from.cold_until - now),
        whole_milliseconds(now - from.heard_at));
}

server_state read_state(std::uint8_t from)
{
    switch (from)
    {
    case static_cast<std::uint8_t>(server_state::draining):
        return server_state::draining;
    case static_cast<std::uint8_t>(server_state::gone):
        return server_state::gone;
    case static_cast<std::uint8_t>(server_state::silent):
        return server_state::silent;
    default:
        return server_state::ready;
    }
}

registration read_registration(const fb::registration& from, time_point now)
{
    registration out;
    out.id = engine_id(text_or_empty(from.id()));
    out.service = text_or_empty(from.service());
    out.address = text_or_empty(from.address());
    out.data_centre = data_centre_id(text_or_empty(from.data_centre()));
    out.born_ms = from.born_ms();
    out.sequence = from.sequence();
    out.slots = from.slots();
    out.state = read_state(from.state());
    if (from.cold_ms() > 0)
    {
        out.cold_until = now + milliseconds(from.cold_ms());
    }
    out.heard_at = now - milliseconds(from.silent_ms());
    return out;
}

intent read_intent(const fb::update& from)
{
    intent out;
    out.index = from.intent_index();
    if (from.document() != nullptr)
    {
        out.document =
            std::make_shared<const packed_text>(from.document()->str());
    }
    if (from.evacuated() != nullptr)
    {
        for (const auto* each : *from.evacuated())
        {
            out.taken_out.insert(each->str());
        }
    }
    return out;
}

flatbuffers::Offset<fb::document_change>
write_change(builder_type& builder, const document_change& from)
{
    std::vector<flatbuffers::Offset<fb::piece>> pieces;
    pieces.reserve(from.delta.pieces.size());
    for (const delta_piece& each : from.delta.pieces)
    {
        pieces.push_back(fb::CreatepieceDirect(
            builder, each.begin, each.length, each.added.c_str()));
    }
    return fb::Createdocument_changeDirect(
        builder, from.base_index, &pieces, from.delta.digest);
}

document_change read_change(const fb::document_change& from)
{
    document_change out;
    out.base_index = from.base_index();
    out.delta.digest = from.digest();
    if (from.pieces() != nullptr)
    {
        for (const auto* each : *from.pieces())
        {
            out.delta.pieces.push_back(
                {each->begin(), each->length(), text_or_empty(each->added())});
        }
    }
    return out;
}

} // namespace

std::string encode(const update& from, time_point now)
{
    builder_type builder;
    std::vector<flatbuffers::Offset<fb::registration>> rows;
    rows.reserve(from.registrations.size());
    for (const registration& each : from.registrations)
    {
        rows.push_back(write_registration(builder, each, now));
    }
    std::vector<std::string> replicas;
    replicas.reserve(from.replicas.size());
    for (const vm_id& each : from.replicas)
    {
        replicas.push_back(each.get());
    }
    const auto row_list = builder.CreateVector(rows);
    const auto replica_list = write_texts(builder, replicas);
    flatbuffers::Offset<flatbuffers::String> document;
    text_list_offset evacuated;
    if (from.orders)
    {
        if (from.orders->document)
        {
            document = builder.CreateString(from.orders->document->bytes());
        }
        evacuated = write_texts(builder, from.orders->taken_out);
    }
    flatbuffers::Offset<fb::document_change> change;
    if (from.change)
    {
        change = write_change(builder, *from.change);
    }
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
                                    row_list,
                                    change));
    return bytes_of(builder);
}

outcome<update> decode_update(std::string_view bytes, time_point now)
{
    const std::string aligned(bytes);
    const auto* from = read_root<fb::update>(aligned);
    if (from == nullptr)
    {
        return error{error_code::malformed, "the update cannot be read"};
    }
    update out;
    out.subscribes = from->subscribes();
    out.is_router = from->is_router();
    out.intent_index = from->intent_index();
    out.routers = from->routers();
    out.is_complete = from->is_complete();
    if (from->has_intent())
    {
        out.orders = read_intent(*from);
    }
    if (from->change() != nullptr)
    {
        out.change = read_change(*from->change());
    }
    if (from->replicas() != nullptr)
    {
        for (const auto* each : *from->replicas())
        {
            out.replicas.emplace_back(each->str());
        }
    }
    if (from->registrations() != nullptr)
    {
        for (const auto* each : *from->registrations())
        {
            out.registrations.push_back(read_registration(*each, now));
        }
    }
    return out;
}

} // namespace limpet::directory

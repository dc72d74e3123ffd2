#include "origins_generated.h"

#include <limpet/origins/message.hpp>

#include <algorithm>
#include <chrono>

namespace limpet::origins
{

namespace
{

std::uint32_t to_wire_milliseconds(duration span)
{
    const auto count = std::chrono::duration_cast<milliseconds>(span).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(count, 0, UINT32_MAX));
}

} // namespace

std::string encode(const message& from)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<fb::origin> origins;
    for (const origin& each : from.origins)
    {
        origins.emplace_back(each.stream.get(),
                             each.service.get(),
                             each.version.get(),
                             to_wire_milliseconds(each.lifetime));
    }
    std::vector<fb::query> queries;
    for (const query& each : from.queries)
    {
        queries.emplace_back(each.stream.get(),
                             each.service.get(),
                             to_wire_milliseconds(each.max_age));
    }
    std::vector<std::uint64_t> unknown;
    for (const stream_key each : from.unknown)
    {
        unknown.push_back(each.get());
    }
    // Empty lists are left out: most frames have one list.
    const auto origin_list =
        origins.empty() ? 0 : builder.CreateVectorOfStructs(origins);
    const auto query_list =
        queries.empty() ? 0 : builder.CreateVectorOfStructs(queries);
    const auto unknown_list =
        unknown.empty() ? 0 : builder.CreateVector(unknown);
    builder.Finish(
        fb::Createmessage(builder, origin_list, query_list, unknown_list));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
            builder.GetSize()};
}

outcome<message> decode(std::string_view bytes)
{
    const std::string aligned(bytes);
    const auto* data = reinterpret_cast<const std::uint8_t*>(aligned.data());
    flatbuffers::Verifier verifier(data, aligned.size());
    if (!verifier.VerifyBuffer<fb::message>(nullptr))
    {
        return error{error_code::malformed, "malformed stream origins"};
    }
    const auto* from = flatbuffers::GetRoot<fb::message>(data);
    message out;
    if (from->origins() != nullptr)
    {
        for (const fb::origin* each : *from->origins())
        {
            out.origins.push_back({stream_key(each->stream()),
                                   service_key(each->service()),
                                   version_key(each->version()),
                                   milliseconds(each->lifetime_ms())});
        }
    }
    if (from->queries() != nullptr)
    {
        for (const fb::query* each : *from->queries())
        {
            out.queries.push_back({stream_key(each->stream()),
                                   service_key(each->service()),
                                   milliseconds(each->max_age_ms())});
        }
    }
    if (from->unknown() != nullptr)
    {
        for (const std::uint64_t each : *from->unknown())
        {
            out.unknown.emplace_back(each);
        }
    }
    return out;
}

} // namespace limpet::origins

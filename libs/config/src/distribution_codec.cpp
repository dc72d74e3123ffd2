#include "distribution_generated.h"

#include <limpet/config/distribution_message.hpp>

#include <algorithm>

namespace limpet::config
{

namespace
{

using builder_type = flatbuffers::FlatBufferBuilder;

constexpr std::uint32_t max_parts = 1U << 16;

fb::Position write_position(const position& from)
{
    return fb::Position(
        from.group, from.generation, from.number.get(), from.digest);
}

position read_position(const fb::Position& from)
{
    return {from.group(),
            from.generation(),
            revision(from.number()),
            from.digest()};
}

flatbuffers::Offset<fb::Report> write_report(builder_type& builder,
                                             const force_report& from)
{
    std::vector<flatbuffers::Offset<flatbuffers::String>> lagging;
    lagging.reserve(from.lagging.size());
    for (const vm_id& each : from.lagging)
    {
        lagging.push_back(builder.CreateString(each.get()));
    }
    const auto data_centre = builder.CreateString(from.data_centre.get());
    flatbuffers::Offset<
        flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>>
        names;
    if (!lagging.empty())
    {
        names = builder.CreateVector(lagging);
    }
    return fb::CreateReport(
        builder, data_centre, from.lowest.get(), from.routers, names);
}

force_report read_report(const fb::Report& from)
{
    force_report out;
    out.data_centre = data_centre_id(from.data_centre()->str());
    out.lowest = revision(from.lowest());
    out.routers = from.routers();
    if (from.lagging() != nullptr)
    {
        for (const auto* each : *from.lagging())
        {
            out.lagging.emplace_back(each->str());
        }
    }
    return out;
}

/// Serializes each type of message into the builder.
struct message_writer
{
    builder_type& builder;

    flatbuffers::Offset<fb::Message> operator()(const sync_message& from) const
    {
        flatbuffers::Offset<fb::Report> report;
        if (from.report)
        {
            report = write_report(builder, *from.report);
        }
        const fb::Position have =
            write_position(from.have.value_or(position{}));
        const auto body =
            fb::CreateSync(builder,
                           from.ask ? fb::SyncKind::ask : fb::SyncKind::tell,
                           from.subscribe,
                           from.have ? &have : nullptr,
                           report);
        return fb::CreateMessage(builder, fb::Body::Sync, body.Union());
    }

    flatbuffers::Offset<fb::Message>
    operator()(const updates_message& from) const
    {
        const auto entries = builder.CreateVectorOfStrings(from.entries);
        const fb::Position before = write_position(from.before);
        const auto body = fb::CreateUpdates(builder, &before, entries);
        return fb::CreateMessage(builder, fb::Body::Updates, body.Union());
    }

    flatbuffers::Offset<fb::Message> operator()(const part_request& from) const
    {
        const fb::Position of = write_position(from.of);
        const auto body = fb::CreatePartRequest(builder, &of, from.index);
        return fb::CreateMessage(builder, fb::Body::PartRequest, body.Union());
    }

    flatbuffers::Offset<fb::Message> operator()(const snapshot_part& from) const
    {
        const auto bytes = builder.CreateVector(
            reinterpret_cast<const std::uint8_t*>(from.bytes.data()),
            from.bytes.size());
        const fb::Position of = write_position(from.of);
        const auto body =
            fb::CreatePart(builder, &of, from.index, from.count, bytes);
        return fb::CreateMessage(builder, fb::Body::Part, body.Union());
    }
};

sync_message read_sync(const fb::Sync& from)
{
    sync_message out;
    out.ask = from.kind() == fb::SyncKind::ask;
    out.subscribe = from.subscribe();
    if (from.have() != nullptr)
    {
        out.have = read_position(*from.have());
    }
    if (from.report() != nullptr)
    {
        out.report = read_report(*from.report());
    }
    return out;
}

updates_message read_updates(const fb::Updates& from)
{
    updates_message out;
    out.before = read_position(*from.before());
    if (from.entries() != nullptr)
    {
        for (const auto* each : *from.entries())
        {
            out.entries.push_back(each->str());
        }
    }
    return out;
}

snapshot_part read_part(const fb::Part& from)
{
    return {read_position(*from.of()),
            from.index(),
            from.count(),
            std::string(reinterpret_cast<const char*>(from.bytes()->data()),
                        from.bytes()->size())};
}

} // namespace

std::string encode(const distribution_message& message)
{
    builder_type builder;
    builder.Finish(std::visit(message_writer{builder}, message));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
            builder.GetSize()};
}

outcome<distribution_message> decode_distribution(std::string_view bytes)
{
    const error malformed{error_code::malformed,
                          "malformed configuration message"};
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (bytes.empty() || !verifier.VerifyBuffer<fb::Message>(nullptr))
    {
        return malformed;
    }
    const auto* root = flatbuffers::GetRoot<fb::Message>(data);
    switch (root->body_type())
    {
    case fb::Body::Sync:
        return distribution_message(read_sync(*root->body_as_Sync()));
    case fb::Body::Updates:
        return distribution_message(read_updates(*root->body_as_Updates()));
    case fb::Body::PartRequest:
    {
        const auto* from = root->body_as_PartRequest();
        return distribution_message(
            part_request{read_position(*from->of()), from->index()});
    }
    case fb::Body::Part:
        if (root->body_as_Part()->count() <= max_parts)
        {
            return distribution_message(read_part(*root->body_as_Part()));
        }
        break;
    case fb::Body::NONE:
        break;
    }
    return malformed;
}

} // namespace limpet::config

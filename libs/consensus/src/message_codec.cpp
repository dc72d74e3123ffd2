#include <limpet/consensus/message_codec.hpp>

#include <consensus_generated.h>
#include <utility>

namespace limpet::consensus
{

namespace
{

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using byte_vector = flatbuffers::Vector<std::uint8_t>;

Offset<byte_vector> put_bytes(FlatBufferBuilder& out, const std::string& bytes)
{
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    return out.CreateVector(data, bytes.size());
}

std::string get_bytes(const byte_vector* bytes)
{
    if (bytes == nullptr)
    {
        return {};
    }
    return {bytes->begin(), bytes->end()};
}

Offset<fb::Replica> put_replica(FlatBufferBuilder& out, const replica_id& id)
{
    return fb::CreateReplicaDirect(out, id.vm.get().c_str(), id.storage.get());
}

replica_id get_replica(const fb::Replica& id)
{
    return {vm_id{id.vm()->str()}, incarnation{id.storage()}};
}

Offset<fb::Entry> put_entry(FlatBufferBuilder& out,
                            const storage::log_entry& entry)
{
    const auto data = put_bytes(out, entry.data);
    return fb::CreateEntry(out,
                           entry.index.get(),
                           entry.term.get(),
                           static_cast<std::uint8_t>(entry.kind),
                           data);
}

std::optional<storage::log_entry> get_entry(const fb::Entry& entry)
{
    constexpr auto highest =
        static_cast<std::uint8_t>(storage::entry_kind::membership);
    if (entry.kind() > highest)
    {
        return std::nullopt;
    }
    storage::log_entry result;
    result.index = log_index{entry.index()};
    result.term = term_number{entry.term()};
    result.kind = storage::entry_kind{entry.kind()};
    result.data = get_bytes(entry.data());
    return result;
}

using encoded_body = std::pair<fb::Body, Offset<void>>;

struct body_writer
{
    FlatBufferBuilder& out;

    encoded_body operator()(const vote_request& body) const
    {
        const auto offset = fb::CreateVoteRequest(out,
                                                  body.is_trial,
                                                  body.is_handover,
                                                  body.last.get(),
                                                  body.last_term.get(),
                                                  body.leaderless_start);
        return {fb::Body::VoteRequest, offset.Union()};
    }

    encoded_body operator()(const vote_answer& body) const
    {
        const auto offset = fb::CreateVoteAnswer(
            out, body.is_trial, body.granted, body.leaderless_start);
        return {fb::Body::VoteAnswer, offset.Union()};
    }

    encoded_body operator()(const append_request& body) const
    {
        std::vector<Offset<fb::Entry>> entries;
        entries.reserve(body.entries.size());
        for (const storage::log_entry& entry : body.entries)
        {
            entries.push_back(put_entry(out, entry));
        }
        Offset<flatbuffers::Vector<Offset<fb::Entry>>> vector;
        if (!entries.empty())
        {
            vector = out.CreateVector(entries);
        }
        const auto offset = fb::CreateAppendRequest(out,
                                                    body.previous.get(),
                                                    body.previous_term.get(),
                                                    body.committed.get(),
                                                    body.round.get(),
                                                    vector);
        return {fb::Body::AppendRequest, offset.Union()};
    }

    encoded_body operator()(const append_answer& body) const
    {
        const auto offset = fb::CreateAppendAnswer(
            out, body.accepted, body.match.get(), body.round.get());
        return {fb::Body::AppendAnswer, offset.Union()};
    }

    encoded_body operator()(const snapshot_chunk& body) const
    {
        const auto members = put_bytes(out, body.membership);
        const auto bytes = put_bytes(out, body.bytes);
        const auto offset = fb::CreateSnapshotChunk(out,
                                                    body.index.get(),
                                                    body.index_term.get(),
                                                    members,
                                                    body.offset,
                                                    body.total,
                                                    body.round.get(),
                                                    bytes);
        return {fb::Body::SnapshotChunk, offset.Union()};
    }

    encoded_body operator()(const snapshot_answer& body) const
    {
        const auto offset = fb::CreateSnapshotAnswer(
            out, body.index.get(), body.received, body.round.get());
        return {fb::Body::SnapshotAnswer, offset.Union()};
    }

    encoded_body operator()(const handover_request&) const
    {
        return {fb::Body::HandoverRequest,
                fb::CreateHandoverRequest(out).Union()};
    }

    encoded_body operator()(const join_request& body) const
    {
        return {fb::Body::JoinRequest,
                fb::CreateJoinRequest(out, body.has_log).Union()};
    }
};

vote_request get_body(const fb::VoteRequest& body)
{
    vote_request result;
    result.is_trial = body.is_trial();
    result.is_handover = body.is_handover();
    result.last = log_index{body.last()};
    result.last_term = term_number{body.last_term()};
    result.leaderless_start = body.leaderless_start();
    return result;
}

/// Entries must follow the previous one without gaps.
std::optional<append_request> get_body(const fb::AppendRequest& body)
{
    append_request result;
    result.previous = log_index{body.previous()};
    result.previous_term = term_number{body.previous_term()};
    result.committed = log_index{body.committed()};
    result.round = round_number{body.round()};
    if (body.entries() == nullptr)
    {
        return result;
    }
    for (const fb::Entry* source : *body.entries())
    {
        auto entry = get_entry(*source);
        const auto expected =
            advance(result.previous, result.entries.size() + 1);
        if (!entry || entry->index != expected)
        {
            return std::nullopt;
        }
        result.entries.push_back(std::move(*entry));
    }
    return result;
}

append_answer get_body(const fb::AppendAnswer& body)
{
    return {
        body.accepted(), log_index{body.match()}, round_number{body.round()}};
}

snapshot_chunk get_body(const fb::SnapshotChunk& body)
{
    snapshot_chunk result;
    result.index = log_index{body.index()};
    result.index_term = term_number{body.index_term()};
    result.membership = get_bytes(body.membership());
    result.offset = body.offset();
    result.total = body.total();
    result.round = round_number{body.round()};
    result.bytes = get_bytes(body.bytes());
    return result;
}

snapshot_answer get_body(const fb::SnapshotAnswer& body)
{
    return {
        log_index{body.index()}, body.received(), round_number{body.round()}};
}

std::optional<message_body> to_body(std::optional<append_request> request)
{
    if (!request)
    {
        return std::nullopt;
    }
    return std::move(*request);
}

std::optional<message_body> get_body(const fb::Message& source)
{
    switch (source.body_type())
    {
    case fb::Body::VoteRequest:
        return get_body(*source.body_as_VoteRequest());
    case fb::Body::VoteAnswer:
        return vote_answer{source.body_as_VoteAnswer()->is_trial(),
                           source.body_as_VoteAnswer()->granted(),
                           source.body_as_VoteAnswer()->leaderless_start()};
    case fb::Body::AppendRequest:
        return to_body(get_body(*source.body_as_AppendRequest()));
    case fb::Body::AppendAnswer:
        return get_body(*source.body_as_AppendAnswer());
    case fb::Body::SnapshotChunk:
        return get_body(*source.body_as_SnapshotChunk());
    case fb::Body::SnapshotAnswer:
        return get_body(*source.body_as_SnapshotAnswer());
    case fb::Body::HandoverRequest:
        return handover_request{};
    case fb::Body::JoinRequest:
        return join_request{source.body_as_JoinRequest()->has_log()};
    default:
        return std::nullopt;
    }
}

} // namespace

std::vector<std::uint8_t> encode_message(const message& value)
{
    FlatBufferBuilder out;
    const auto [type, body] = std::visit(body_writer{out}, value.body);
    const auto from = put_replica(out, value.from);
    const auto to = put_replica(out, value.to);
    out.Finish(fb::CreateMessage(out, from, to, value.term.get(), type, body));
    return {out.GetBufferPointer(), out.GetBufferPointer() + out.GetSize()};
}

std::optional<message> decode_message(const std::vector<std::uint8_t>& bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!fb::VerifyMessageBuffer(verifier))
    {
        return std::nullopt;
    }
    const fb::Message& source = *fb::GetMessage(bytes.data());
    auto body = get_body(source);
    if (!body)
    {
        return std::nullopt;
    }
    message result;
    result.from = get_replica(*source.from());
    result.to = get_replica(*source.to());
    result.term = term_number{source.term()};
    result.body = std::move(*body);
    return result;
}

} // namespace limpet::consensus

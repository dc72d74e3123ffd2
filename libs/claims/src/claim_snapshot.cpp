#include "codec.hpp"

#include <limpet/claims/claim_table.hpp>

#include <vector>

namespace limpet::claims
{

namespace
{

constexpr std::uint32_t snapshot_format = 1;
constexpr std::size_t prefix_bytes = 4;

/// Appends a record with its size, four little-endian bytes, before it. A
/// snapshot is a sequence of records: a header, one for each slice of the
/// archive and one for each entry.
void append_record(std::string& out,
                   const flatbuffers::FlatBufferBuilder& builder)
{
    const auto size = static_cast<std::uint32_t>(builder.GetSize());
    for (std::size_t i = 0; i < prefix_bytes; ++i)
    {
        out += static_cast<char>(size >> (8 * i) & 0xff);
    }
    out += finished_bytes(builder);
}

/// Removes the next record from the front of the text and returns it. Returns
/// an empty text at the end or if the record is truncated.
std::string_view read_record(std::string_view& remaining)
{
    if (remaining.size() < prefix_bytes)
    {
        return {};
    }
    std::uint32_t size = 0;
    for (std::size_t i = 0; i < prefix_bytes; ++i)
    {
        size |=
            static_cast<std::uint32_t>(static_cast<unsigned char>(remaining[i]))
            << (8 * i);
    }
    if (remaining.size() - prefix_bytes < size)
    {
        return {};
    }
    const std::string_view record = remaining.substr(prefix_bytes, size);
    remaining.remove_prefix(prefix_bytes + size);
    return record;
}

flatbuffers::Offset<fb::Slice>
write_slice(flatbuffers::FlatBufferBuilder& builder,
            std::uint64_t from_ms,
            const std::vector<archived_outcome>& outcomes)
{
    std::vector<fb::Outcome> written;
    written.reserve(outcomes.size());
    for (const archived_outcome& each : outcomes)
    {
        written.emplace_back(
            write_key(each.key), each.fingerprint, each.status, each.known);
    }
    return fb::CreateSlice(
        builder, from_ms, builder.CreateVectorOfStructs(written));
}

const error malformed{error_code::malformed, "malformed claims snapshot"};

} // namespace

std::string claim_table::snapshot() const
{
    std::string out;
    std::uint64_t slices = 0;
    m_archive.for_each_slice(
        [&](std::uint64_t, const auto&)
        {
            ++slices;
        });
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(fb::CreateSnapshotHeader(builder,
                                            snapshot_format,
                                            m_applied_index,
                                            m_clock_ms,
                                            m_entries.size(),
                                            slices));
    append_record(out, builder);
    m_archive.for_each_slice(
        [&](std::uint64_t from_ms, const auto& outcomes)
        {
            builder.Clear();
            builder.Finish(write_slice(builder, from_ms, outcomes));
            append_record(out, builder);
        });
    write_queue(out, m_running);
    write_queue(out, m_retained);
    return out;
}

void claim_table::write_queue(std::string& out,
                              const std::deque<queue_item>& queue) const
{
    const fb::Queue name =
        &queue == &m_running ? fb::Queue::running : fb::Queue::retained;
    flatbuffers::FlatBufferBuilder builder;
    for (const queue_item& each : queue)
    {
        const entry* live = live_entry(each);
        if (live == nullptr)
        {
            continue;
        }
        const entry& value = *live;
        builder.Clear();
        const std::string_view id = value.request();
        const auto request = builder.CreateString(id.data(), id.size());
        const auto result = write_settle(builder, value.result());
        const fb::Key key = write_key(each.key);
        builder.Finish(fb::CreateEntry(builder,
                                       &key,
                                       value.fingerprint,
                                       request,
                                       static_cast<fb::EntryState>(value.phase),
                                       value.due_ms,
                                       name,
                                       result));
        append_record(out, builder);
    }
}

outcome<claim_table> claim_table::restore(std::string_view snapshot,
                                          const claim_limits& limits)
{
    // FlatBuffers are read in place, so their bytes must be aligned.
    const std::string aligned(read_record(snapshot));
    const auto* header = verified_root<fb::SnapshotHeader>(aligned);
    if (header == nullptr || header->format() != snapshot_format)
    {
        return malformed;
    }
    claim_table out(limits);
    out.m_applied_index = header->applied_index();
    out.m_clock_ms = header->clock_ms();
    const std::uint64_t entries = header->entries();
    const std::uint64_t slices = header->slices();
    for (std::uint64_t i = 0; i < slices; ++i)
    {
        status loaded = out.load_slice(read_record(snapshot));
        if (!is_ok(loaded))
        {
            return error_of(loaded);
        }
    }
    while (!snapshot.empty())
    {
        status loaded = out.load_entry(read_record(snapshot));
        if (!is_ok(loaded))
        {
            return error_of(loaded);
        }
    }
    if (out.m_entries.size() != entries)
    {
        return malformed;
    }
    return out;
}

status claim_table::load_slice(std::string_view bytes)
{
    // FlatBuffers structs are read in place, so their bytes must be aligned.
    const std::string aligned(bytes);
    const auto* from = verified_root<fb::Slice>(aligned);
    if (from == nullptr || from->outcomes() == nullptr)
    {
        return malformed;
    }
    for (const fb::Outcome* each : *from->outcomes())
    {
        archived_outcome outcome;
        outcome.key = read_key(each->key());
        outcome.fingerprint = each->fingerprint();
        outcome.status = each->status();
        outcome.known = each->known();
        m_archive.add(outcome, from->from_ms());
    }
    return success();
}

status claim_table::load_entry(std::string_view bytes)
{
    const std::string aligned(bytes);
    const auto* from = verified_root<fb::Entry>(aligned);
    if (from == nullptr || from->state() > fb::EntryState::MAX ||
        from->queue() > fb::Queue::MAX)
    {
        return malformed;
    }
    entry value;
    value.fingerprint = from->fingerprint();
    value.due_ms = from->due_ms();
    value.phase = static_cast<state>(from->state());
    value.set_texts(read_text(from->request()), read_settle(from->result()));
    const claim_key key = read_key(*from->key());
    m_used += cost_of(value);
    const auto [position, added] = m_entries.emplace(key, std::move(value));
    if (!added)
    {
        return malformed;
    }
    const bool running = from->queue() == fb::Queue::running;
    enqueue(key, position->second, running ? m_running : m_retained);
    return success();
}

} // namespace limpet::claims

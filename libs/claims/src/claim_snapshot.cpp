#include "codec.hpp"

#include <limpet/claims/claim_table.hpp>

#include <vector>

namespace limpet::claims
{

namespace
{

constexpr std::uint32_t snapshot_format = 1;
constexpr std::size_t prefix_bytes = 4;

// A snapshot is a sequence of records, a header and then one for each entry,
// each behind its size as four little-endian bytes.
void append_record(std::string& out,
                   const flatbuffers::FlatBufferBuilder& builder)
{
    const auto size = static_cast<std::uint32_t>(builder.GetSize());
    for (std::size_t i = 0; i < prefix_bytes; ++i)
    {
        out += static_cast<char>(size >> (8 * i) & 0xff);
    }
    out += take_bytes(builder);
}

/// Takes the next record off the text; empty at the end or if cut off.
std::string_view take_record(std::string_view& rest)
{
    if (rest.size() < prefix_bytes)
    {
        return {};
    }
    std::uint32_t size = 0;
    for (std::size_t i = 0; i < prefix_bytes; ++i)
    {
        size |= static_cast<std::uint32_t>(static_cast<unsigned char>(rest[i]))
                << (8 * i);
    }
    if (rest.size() - prefix_bytes < size)
    {
        return {};
    }
    const std::string_view record = rest.substr(prefix_bytes, size);
    rest.remove_prefix(prefix_bytes + size);
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
                              const std::deque<due>& queue) const
{
    const fb::Queue name =
        &queue == &m_running ? fb::Queue::running : fb::Queue::retained;
    flatbuffers::FlatBufferBuilder builder;
    for (const due& each : queue)
    {
        const entry* valid = entry_of(each);
        if (valid == nullptr)
        {
            continue;
        }
        const entry& of = *valid;
        builder.Clear();
        const std::string_view id = of.request();
        const auto request = builder.CreateString(id.data(), id.size());
        const auto result = write_settle(builder, of.result());
        const fb::Key key = write_key(each.key);
        builder.Finish(fb::CreateEntry(builder,
                                       &key,
                                       of.fingerprint,
                                       request,
                                       static_cast<fb::EntryState>(of.phase),
                                       of.due_ms,
                                       name,
                                       result));
        append_record(out, builder);
    }
}

outcome<claim_table> claim_table::restore(std::string_view snapshot,
                                          const claim_limits& limits)
{
    const auto* header =
        verified_root<fb::SnapshotHeader>(take_record(snapshot));
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
        status loaded = out.load_slice(take_record(snapshot));
        if (!is_ok(loaded))
        {
            return error_of(loaded);
        }
    }
    while (!snapshot.empty())
    {
        status loaded = out.load(take_record(snapshot));
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
    // Structs are read in place, so their bytes must be aligned.
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

status claim_table::load(std::string_view bytes)
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
    const auto [place, added] = m_entries.emplace(key, std::move(value));
    if (!added)
    {
        return malformed;
    }
    const bool running = from->queue() == fb::Queue::running;
    enqueue(key, place->second, running ? m_running : m_retained);
    return success();
}

} // namespace limpet::claims

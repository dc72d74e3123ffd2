#include "record_codec.hpp"

#include <limpet/base/hash.hpp>
#include <limpet/storage/bytes.hpp>

namespace limpet::storage
{

namespace
{

constexpr std::uint64_t format_magic = 0x31'30'54'50'4D'49'4CULL;
constexpr std::size_t length_bytes = sizeof(std::uint32_t);
constexpr std::size_t checksum_bytes = sizeof(std::uint64_t);
constexpr std::size_t synced_bytes = sizeof(std::uint64_t);
constexpr std::size_t frame_header_bytes =
    length_bytes + checksum_bytes + synced_bytes;

enum class record_tag : std::uint8_t
{
    header = 1,
    hard = 2,
    entry = 3
};

void put_hard_state(std::string& out, const hard_state& state)
{
    put(out, state.term.get());
    put(out, static_cast<std::uint8_t>(state.vote ? 1 : 0));
    if (state.vote)
    {
        put_text(out, state.vote->vm.get());
        put(out, state.vote->storage.get());
    }
}

hard_state get_hard_state(byte_reader& in)
{
    hard_state state;
    state.term = term_number{in.get<std::uint64_t>()};
    if (in.get<std::uint8_t>() != 0)
    {
        const vm_id vm{std::string(in.get_text())};
        state.vote = replica_id{vm, incarnation{in.get<std::uint64_t>()}};
    }
    return state;
}

struct record_writer
{
    std::string& out;

    void operator()(const segment_header& value) const
    {
        put(out, record_tag::header);
        put(out, format_magic);
        put_hard_state(out, value.hard);
        put(out, value.base.get());
        put(out, value.base_term.get());
        put(out, value.last.get());
    }

    void operator()(const hard_state& value) const
    {
        put(out, record_tag::hard);
        put_hard_state(out, value);
    }

    void operator()(const log_entry& value) const
    {
        put(out, record_tag::entry);
        put(out, value.index.get());
        put(out, value.term.get());
        put(out, value.kind);
        put_text(out, value.data);
    }
};

std::optional<record> get_header(byte_reader& in)
{
    if (in.get<std::uint64_t>() != format_magic)
    {
        return std::nullopt;
    }
    segment_header value;
    value.hard = get_hard_state(in);
    value.base = log_index{in.get<std::uint64_t>()};
    value.base_term = term_number{in.get<std::uint64_t>()};
    value.last = log_index{in.get<std::uint64_t>()};
    return value;
}

log_entry get_entry(byte_reader& in)
{
    log_entry value;
    value.index = log_index{in.get<std::uint64_t>()};
    value.term = term_number{in.get<std::uint64_t>()};
    value.kind = entry_kind{in.get<std::uint8_t>()};
    value.data = std::string(in.get_text());
    return value;
}

std::optional<record> get_record(byte_reader& in)
{
    switch (record_tag{in.get<std::uint8_t>()})
    {
    case record_tag::header:
        return get_header(in);
    case record_tag::hard:
        return get_hard_state(in);
    case record_tag::entry:
        return get_entry(in);
    }
    return std::nullopt;
}

/// Appends a checksum of the bytes.
void append_checksum(std::string& bytes)
{
    put(bytes, stable_hash(bytes));
}

/// Returns the bytes without the trailing checksum, or nullopt if it does not
/// match.
std::optional<std::string_view> verify_checksum(std::string_view bytes)
{
    if (bytes.size() < checksum_bytes)
    {
        return std::nullopt;
    }
    const auto body = bytes.substr(0, bytes.size() - checksum_bytes);
    byte_reader in(bytes.substr(body.size()));
    if (in.get<std::uint64_t>() != stable_hash(body))
    {
        return std::nullopt;
    }
    return body;
}

} // namespace

std::string encode_record(const record& value)
{
    std::string out;
    std::visit(record_writer{out}, value);
    return out;
}

std::optional<record> decode_record(std::string_view payload)
{
    byte_reader in(payload);
    auto value = get_record(in);
    if (!in.finished())
    {
        return std::nullopt;
    }
    return value;
}

std::string encode_snapshot(const snapshot& value)
{
    std::string out;
    put(out, format_magic);
    put(out, value.index.get());
    put(out, value.term.get());
    put_text(out, value.membership);
    put_text(out, value.data);
    append_checksum(out);
    return out;
}

std::optional<snapshot> decode_snapshot(std::string_view bytes)
{
    const auto body = verify_checksum(bytes);
    if (!body)
    {
        return std::nullopt;
    }
    byte_reader in(*body);
    snapshot value;
    const auto magic = in.get<std::uint64_t>();
    value.index = log_index{in.get<std::uint64_t>()};
    value.term = term_number{in.get<std::uint64_t>()};
    value.membership = std::string(in.get_text());
    value.data = std::string(in.get_text());
    if (magic != format_magic || !in.finished())
    {
        return std::nullopt;
    }
    return value;
}

std::string encode_identity(incarnation storage)
{
    std::string out;
    put(out, format_magic);
    put(out, storage.get());
    append_checksum(out);
    return out;
}

std::optional<incarnation> decode_identity(std::string_view bytes)
{
    const auto body = verify_checksum(bytes);
    if (!body)
    {
        return std::nullopt;
    }
    byte_reader in(*body);
    const auto magic = in.get<std::uint64_t>();
    const incarnation storage{in.get<std::uint64_t>()};
    if (magic != format_magic || !in.finished())
    {
        return std::nullopt;
    }
    return storage;
}

void put_frame(std::string& out,
               std::string_view payload,
               std::uint64_t segment,
               std::uint64_t synced)
{
    std::string body;
    put(body, synced);
    body.append(payload);
    put(out, static_cast<std::uint32_t>(payload.size()));
    put(out, stable_hash(body, segment));
    out.append(body);
}

std::optional<frame> read_frame(std::string_view bytes, std::uint64_t segment)
{
    if (bytes.size() < frame_header_bytes)
    {
        return std::nullopt;
    }
    byte_reader in(bytes);
    const std::size_t length = in.get<std::uint32_t>();
    const auto checksum = in.get<std::uint64_t>();
    const auto synced = in.get<std::uint64_t>();
    if (length > bytes.size() - frame_header_bytes)
    {
        return std::nullopt;
    }
    const auto body =
        bytes.substr(length_bytes + checksum_bytes, synced_bytes + length);
    if (stable_hash(body, segment) != checksum)
    {
        return std::nullopt;
    }
    return frame{
        body.substr(synced_bytes), frame_header_bytes + length, synced};
}

bool was_synced(std::string_view segment_bytes,
                std::size_t position,
                std::uint64_t segment)
{
    for (std::size_t at = position; at < segment_bytes.size(); ++at)
    {
        const auto found = read_frame(segment_bytes.substr(at), segment);
        if (found && found->synced > position)
        {
            return true;
        }
    }
    return false;
}

} // namespace limpet::storage

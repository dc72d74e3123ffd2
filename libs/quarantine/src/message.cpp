#include "quarantine_generated.h"

#include <limpet/quarantine/message.hpp>

#include <algorithm>
#include <chrono>
#include <limits>

namespace limpet::quarantine
{

namespace
{

template <class Number>
Number to_wire_milliseconds(duration span)
{
    const auto count = std::chrono::duration_cast<milliseconds>(span).count();
    return static_cast<Number>(
        std::clamp<std::int64_t>(count,
                                 std::numeric_limits<Number>::min(),
                                 std::numeric_limits<Number>::max()));
}

template <class Key>
std::vector<std::uint64_t> to_numbers(const std::vector<Key>& keys)
{
    std::vector<std::uint64_t> result;
    result.reserve(keys.size());
    for (const Key each : keys)
    {
        result.push_back(each.get());
    }
    return result;
}

template <class Key>
std::vector<Key> to_keys(const flatbuffers::Vector<std::uint64_t>* numbers)
{
    std::vector<Key> result;
    if (numbers != nullptr)
    {
        for (const std::uint64_t each : *numbers)
        {
            result.emplace_back(each);
        }
    }
    return result;
}

std::vector<sound_part> read_sound_parts(const fb::message& from)
{
    std::vector<sound_part> result;
    if (from.sound() != nullptr)
    {
        for (const fb::sound_part* each : *from.sound())
        {
            result.push_back(
                {part_key(each->part()), milliseconds(each->age_ms())});
        }
    }
    return result;
}

std::vector<quarantine_entry> read_entries(const fb::message& from)
{
    std::vector<quarantine_entry> result;
    if (from.entries() != nullptr)
    {
        for (const fb::entry* each : *from.entries())
        {
            result.push_back({part_key(each->part()),
                              each->revision(),
                              each->failed_trials(),
                              milliseconds(each->remaining_ms()),
                              each->is_released()});
        }
    }
    return result;
}

std::vector<cut_off_request> read_cut_off(const fb::message& from)
{
    std::vector<cut_off_request> result;
    if (from.cut_off() != nullptr)
    {
        for (const fb::cut_off_request* each : *from.cut_off())
        {
            result.push_back(
                {server_key(each->server()), to_keys<part_key>(each->parts())});
        }
    }
    return result;
}

} // namespace

std::string encode(const message& from)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<fb::cut_off_request>> cut_off;
    for (const cut_off_request& each : from.cut_off)
    {
        cut_off.push_back(fb::Createcut_off_request(
            builder,
            each.server.get(),
            builder.CreateVector(to_numbers(each.parts))));
    }
    std::vector<fb::sound_part> sound;
    for (const sound_part& each : from.sound)
    {
        sound.emplace_back(each.part.get(),
                           to_wire_milliseconds<std::uint32_t>(each.age));
    }
    std::vector<fb::entry> entries;
    for (const quarantine_entry& each : from.entries)
    {
        entries.emplace_back(each.part.get(),
                             each.revision,
                             each.failed_trials,
                             to_wire_milliseconds<std::int32_t>(each.remaining),
                             each.is_released);
    }
    // Empty lists are left out: most frames have one list.
    const auto cut_off_list =
        cut_off.empty() ? 0 : builder.CreateVector(cut_off);
    const auto sound_list =
        sound.empty() ? 0 : builder.CreateVectorOfStructs(sound);
    const auto live_list =
        from.live_servers.empty()
            ? 0
            : builder.CreateVector(to_numbers(from.live_servers));
    const auto entry_list =
        entries.empty() ? 0 : builder.CreateVectorOfStructs(entries);
    builder.Finish(fb::Createmessage(builder,
                                     cut_off_list,
                                     sound_list,
                                     live_list,
                                     entry_list,
                                     from.digest,
                                     from.is_answer));
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
        return error{error_code::malformed, "malformed quarantine message"};
    }
    const auto* from = flatbuffers::GetRoot<fb::message>(data);
    return message{read_cut_off(*from),
                   read_sound_parts(*from),
                   to_keys<server_key>(from->live_servers()),
                   read_entries(*from),
                   from->digest(),
                   from->is_answer()};
}

} // namespace limpet::quarantine

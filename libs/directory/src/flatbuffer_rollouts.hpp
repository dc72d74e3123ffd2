/// \file
/// Rollouts and their evidence in FlatBuffers.

#pragma once

#include "directory_generated.h"
#include "flatbuffer_text.hpp"

#include <limpet/rollout/evidence.hpp>
#include <limpet/rollout/record.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <vector>

namespace limpet::directory
{

using rollout_list = flatbuffers::Vector<flatbuffers::Offset<fb::rollout>>;
using evidence_list = flatbuffers::Vector<const fb::evidence_row*>;

inline std::uint64_t to_wire_ms(duration span)
{
    const auto count = std::chrono::duration_cast<milliseconds>(span).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, count));
}

/// Returns nothing for a phase that this release does not know.
inline std::optional<rollout::phase> read_phase(std::uint8_t from)
{
    const bool is_known =
        from >= static_cast<std::uint8_t>(rollout::phase::observing) &&
        from <= static_cast<std::uint8_t>(rollout::phase::rolled_back);
    return is_known ? std::optional(static_cast<rollout::phase>(from))
                    : std::nullopt;
}

/// Writes the rollouts; none if there are none.
inline flatbuffers::Offset<rollout_list>
write_rollouts(flatbuffers::FlatBufferBuilder& builder,
               const rollout::record_map& rollouts)
{
    std::vector<flatbuffers::Offset<fb::rollout>> offsets;
    for (const auto& [service, each] : rollouts)
    {
        const auto name = builder.CreateString(service);
        const auto target = builder.CreateString(each.target);
        const auto superseded = write_texts(builder, each.superseded);
        offsets.push_back(
            fb::Createrollout(builder,
                              name,
                              target,
                              to_wire_ms(each.length),
                              each.id.get(),
                              static_cast<std::uint8_t>(each.current),
                              to_wire_ms(each.elapsed),
                              superseded));
    }
    return offsets.empty() ? 0 : builder.CreateVector(offsets);
}

inline rollout::record_map read_rollouts(const rollout_list* list)
{
    rollout::record_map rollouts;
    if (list == nullptr)
    {
        return rollouts;
    }
    for (const auto* each : *list)
    {
        rollout::record out;
        out.service = text_or_empty(each->service());
        out.target = text_or_empty(each->target());
        out.length = milliseconds(each->length_ms());
        out.id = rollout::rollout_id(each->id());
        // An unknown phase sends the target nothing.
        out.current =
            read_phase(each->phase()).value_or(rollout::phase::rolled_back);
        out.elapsed = milliseconds(each->elapsed_ms());
        if (each->superseded() != nullptr)
        {
            for (const auto* version : *each->superseded())
            {
                out.superseded.insert(version->str());
            }
        }
        rollouts.emplace(out.service, std::move(out));
    }
    return rollouts;
}

/// Writes the rows; none if there are none.
inline flatbuffers::Offset<evidence_list>
write_evidence(flatbuffers::FlatBufferBuilder& builder,
               const std::vector<rollout::evidence_row>& rows)
{
    if (rows.empty())
    {
        return 0;
    }
    std::vector<fb::evidence_row> out;
    out.reserve(rows.size());
    for (const rollout::evidence_row& each : rows)
    {
        out.emplace_back(each.rollout.get(),
                         each.reporter.get(),
                         each.route.get(),
                         each.counts.served,
                         each.counts.failed,
                         each.counts.slow,
                         each.is_target);
    }
    return builder.CreateVectorOfStructs(out);
}

inline std::vector<rollout::evidence_row>
read_evidence(const evidence_list* list)
{
    std::vector<rollout::evidence_row> rows;
    if (list == nullptr)
    {
        return rows;
    }
    rows.reserve(list->size());
    for (const fb::evidence_row* each : *list)
    {
        rows.push_back({rollout::rollout_id(each->rollout_id()),
                        rollout::reporter_key(each->reporter()),
                        rollout::route_key(each->route()),
                        each->is_target(),
                        {each->served(), each->failed(), each->slow()}});
    }
    return rows;
}

} // namespace limpet::directory

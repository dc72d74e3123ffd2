/// \file
/// Software versions by service in FlatBuffers.

#pragma once

#include "directory_generated.h"
#include "flatbuffer_text.hpp"

#include <limpet/directory/intent.hpp>

#include <vector>

namespace limpet::directory
{

using version_list =
    flatbuffers::Vector<flatbuffers::Offset<fb::service_version>>;

/// Writes the versions; none if the map is empty.
inline flatbuffers::Offset<version_list>
write_versions(flatbuffers::FlatBufferBuilder& builder,
               const version_map& versions)
{
    std::vector<flatbuffers::Offset<fb::service_version>> offsets;
    for (const auto& [service, each] : versions)
    {
        for (const std::string& version : each)
        {
            offsets.push_back(fb::Createservice_versionDirect(
                builder, service.c_str(), version.c_str()));
        }
    }
    return offsets.empty() ? flatbuffers::Offset<version_list>()
                           : builder.CreateVector(offsets);
}

inline version_map read_versions(const version_list* list)
{
    version_map versions;
    if (list != nullptr)
    {
        for (const auto* each : *list)
        {
            versions[text_or_empty(each->service())].insert(
                text_or_empty(each->version()));
        }
    }
    return versions;
}

} // namespace limpet::directory

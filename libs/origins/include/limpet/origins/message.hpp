/// \file
/// Frames between routers about what began a stream.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/base/units.hpp>
#include <limpet/origins/keys.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace limpet::origins
{

/// The service and version that began a stream.
struct origin
{
    stream_key stream;
    service_key service;
    version_key version;
    /// Time for which the caller may still resume the stream.
    duration lifetime{};
};

/// A question for the version that began a stream.
struct query
{
    stream_key stream;
    service_key service;
    /// The stream cannot have begun longer ago than this.
    duration max_age{};
};

/// One frame. Lists may be empty.
struct message
{
    /// Streams that the sender began, or answers to the receiver's queries.
    std::vector<origin> origins;
    std::vector<query> queries;
    /// Streams that the receiver asked for and the sender does not know.
    std::vector<stream_key> unknown;
};

std::string encode(const message& from);

/// Errors: malformed.
outcome<message> decode(std::string_view bytes);

} // namespace limpet::origins

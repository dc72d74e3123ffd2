/// \file
/// What the logs of all processes say about one request.

#pragma once

#include <limpet/log_story/log_line.hpp>

#include <string_view>
#include <vector>

namespace limpet::log_story
{

/// Returns the lines that concern the request, in order of time: those that
/// bear its id; those of the servers that it was sent to, from any process; and
/// what its router learned, lost or was told. The latter two from some seconds
/// before its first line, or its arrival if that is earlier, to its last one.
std::vector<log_line> tell_story(const std::vector<log_line>& lines,
                                 std::string_view request);

} // namespace limpet::log_story

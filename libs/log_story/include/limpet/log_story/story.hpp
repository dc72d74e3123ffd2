/// \file
/// Selects the log lines of all processes that concern one request.

#pragma once

#include <limpet/log_story/log_line.hpp>

#include <string_view>
#include <vector>

namespace limpet::log_story
{

/// Returns the lines that concern the request, ordered by time: lines with its
/// id; lines of any process about the backend servers to which it was sent; and
/// lines of its routers about events that change their routing. The latter two
/// kinds are included from 5 s before the request's arrival or its first line,
/// whichever is earlier, until its last line. Empty if no line has the id.
std::vector<log_line> find_request_lines(const std::vector<log_line>& lines,
                                         std::string_view request);

} // namespace limpet::log_story

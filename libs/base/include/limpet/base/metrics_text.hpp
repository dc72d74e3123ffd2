/// \file
/// Metrics in Prometheus' text format.

#pragma once

#include <limpet/base/histogram.hpp>

#include <ostream>
#include <string_view>

namespace limpet
{

/// Writes the buckets, sum and count of a histogram. The labels are written
/// as they are, such as `team="a"`.
void write_histogram(std::ostream& out,
                     std::string_view name,
                     std::string_view labels,
                     const histogram& values);

} // namespace limpet

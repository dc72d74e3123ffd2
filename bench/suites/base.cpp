/// \file
/// Sanity figures of the shared parts.

#include "suite.hpp"

#include <limpet/base/histogram.hpp>

namespace limpet::bench
{

namespace
{

void run(const suite_options&, report& figures)
{
    figures.at_most(
        "base.histogram.bytes", static_cast<double>(sizeof(histogram)), 512);
}

const suite_registration registration({"base", true, &run});

} // namespace

} // namespace limpet::bench

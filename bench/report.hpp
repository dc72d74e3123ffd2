/// \file
/// Figures of a benchmark run and their bounds.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace limpet::bench
{

/// How a figure is judged.
enum class bound_kind
{
    none,     ///< Reported only.
    at_most,  ///< Fails above the bound.
    at_least, ///< Fails below the bound.
};

/// One measured figure.
struct figure
{
    std::string name;
    double value = 0;
    bound_kind kind = bound_kind::none;
    double bound = 0;

    /// Returns whether the figure keeps its bound. NaN never does.
    bool ok() const;
};

/// Collects the figures of a run.
class report
{
public:
    /// Adds a figure that must not exceed the bound.
    void at_most(std::string name, double value, double bound);

    /// Adds a figure that must reach the bound.
    void at_least(std::string name, double value, double bound);

    /// Adds a figure without a bound.
    void note(std::string name, double value);

    /// Prints the figures not printed yet, one line each.
    void print_new(bool as_json);

    /// Returns whether all figures keep their bounds.
    bool ok() const;

private:
    std::vector<figure> m_figures;
    std::size_t m_printed = 0;
};

} // namespace limpet::bench

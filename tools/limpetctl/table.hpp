/// \file
/// Text tables with aligned columns.

#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace limpet::ctl
{

/// Collects rows and prints them with columns as wide as their longest cell.
class table
{
public:
    explicit table(std::vector<std::string> header);

    void add(std::vector<std::string> row);

    void print(std::ostream& out) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace limpet::ctl

#include "table.hpp"

#include <algorithm>
#include <cstddef>

namespace limpet::ctl
{

table::table(std::vector<std::string> header)
{
    m_rows.push_back(std::move(header));
}

void table::add(std::vector<std::string> row)
{
    row.resize(m_rows.front().size());
    m_rows.push_back(std::move(row));
}

void table::print(std::ostream& out) const
{
    std::vector<std::size_t> widths(m_rows.front().size());
    for (const auto& row : m_rows)
    {
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (const auto& row : m_rows)
    {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            line += row[i];
            line.append(widths[i] + 2 - row[i].size(), ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << "\n";
    }
}

} // namespace limpet::ctl

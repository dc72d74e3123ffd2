#include "document_history.hpp"

#include <algorithm>

namespace limpet::control
{

namespace
{

/// Number of documents that are kept. Bounds memory. Subscribers hold one of
/// the last few documents unless they were disconnected; those are sent the
/// complete document.
constexpr std::size_t max_versions = 6;

} // namespace

void document_history::add(const directory::intent& orders)
{
    if (!orders.document ||
        (!m_versions.empty() && m_versions.back().index >= orders.index))
    {
        return;
    }
    m_versions.push_back({orders.index, orders.document});
    m_changes.clear();
    if (m_versions.size() > max_versions)
    {
        m_versions.pop_front();
    }
}

std::optional<directory::document_change>
document_history::change_since(std::uint64_t index)
{
    const auto former = std::find_if(m_versions.begin(),
                                     m_versions.end(),
                                     [index](const version& each)
                                     {
                                         return each.index == index;
                                     });
    if (former == m_versions.end())
    {
        return std::nullopt;
    }
    auto [known, is_new] = m_changes.try_emplace(index);
    if (is_new)
    {
        known->second.base_index = index;
        known->second.delta = encode(directory::make_delta(
            former->document->text(), m_versions.back().document->text()));
    }
    return known->second;
}

} // namespace limpet::control

/// \file
/// Deficit round robin over weighted children.

#pragma once

#include <algorithm>
#include <cstddef>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

namespace limpet::admission
{

/// Ring of children with waiting items. A child is served when its credit
/// covers the cost of its first item; until then all eligible children gain
/// credit in proportion to their weights. A child that leaves the ring loses
/// its credit, so that an idle child does not accumulate any. Not thread-safe.
template <class Key>
class drr_ring
{
public:
    /// Adds the child at the end of the ring, or updates its weight if it is
    /// already in the ring.
    void activate(const Key& key, double weight)
    {
        for (child& item : m_children)
        {
            if (item.key == key)
            {
                item.weight = weight;
                return;
            }
        }
        m_children.push_back({key, weight, 0});
    }

    /// Removes the child and discards its credit.
    void deactivate(const Key& key)
    {
        m_children.erase(std::remove_if(m_children.begin(),
                                        m_children.end(),
                                        [&key](const child& item)
                                        {
                                            return item.key == key;
                                        }),
                         m_children.end());
    }

    /// Returns the child to serve next, or nothing. `cost_of` returns the cost
    /// of a child's first item, or nothing if the child is not eligible now.
    template <class CostOf>
    std::optional<Key> select(CostOf cost_of)
    {
        std::optional<std::size_t> chosen;
        double rounds = std::numeric_limits<double>::infinity();
        for (std::size_t at = 0; at < m_children.size(); ++at)
        {
            const std::optional<double> cost = cost_of(m_children[at].key);
            if (!cost)
            {
                continue;
            }
            const double deficit = *cost - m_children[at].credit;
            const double needed =
                std::max(0.0, deficit / m_children[at].weight);
            if (needed < rounds)
            {
                rounds = needed;
                chosen = at;
            }
        }
        if (!chosen)
        {
            return std::nullopt;
        }
        add_credit(rounds, cost_of);
        return m_children[*chosen].key;
    }

    /// Deducts the cost of a served item from the child's credit and moves the
    /// child to the end of the ring.
    void charge(const Key& key, double cost)
    {
        const auto found = std::find_if(m_children.begin(),
                                        m_children.end(),
                                        [&key](const child& item)
                                        {
                                            return item.key == key;
                                        });
        if (found == m_children.end())
        {
            return;
        }
        found->credit -= cost;
        std::rotate(found, found + 1, m_children.end());
    }

private:
    struct child
    {
        Key key;
        double weight = 1;
        double credit = 0;
    };

    template <class CostOf>
    void add_credit(double rounds, CostOf cost_of)
    {
        for (child& item : m_children)
        {
            if (cost_of(item.key))
            {
                item.credit += rounds * item.weight;
            }
        }
    }

    std::vector<child> m_children;
};

} // namespace limpet::admission

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

/// Ring of children with something to serve. A child is served when its
/// credit covers the cost of its head; all children that may be served earn
/// credit by their weight until one can. A child that leaves the ring loses
/// its credit, so that idle time is not saved up. Not thread-safe.
template <class Key>
class drr_ring
{
public:
    /// Adds the child at the end of the ring unless it is in it.
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

    /// Removes the child.
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
    /// of a child's head, or nothing if the child may not be served now.
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
            const double missing = *cost - m_children[at].credit;
            const double needed =
                std::max(0.0, missing / m_children[at].weight);
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
        earn(rounds, cost_of);
        return m_children[*chosen].key;
    }

    /// Takes the cost of what was served from the child's credit and moves it
    /// to the end of the ring.
    void charge(const Key& key, double cost)
    {
        const auto place = std::find_if(m_children.begin(),
                                        m_children.end(),
                                        [&key](const child& item)
                                        {
                                            return item.key == key;
                                        });
        if (place == m_children.end())
        {
            return;
        }
        place->credit -= cost;
        std::rotate(place, place + 1, m_children.end());
    }

private:
    struct child
    {
        Key key;
        double weight = 1;
        double credit = 0;
    };

    template <class CostOf>
    void earn(double rounds, CostOf cost_of)
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

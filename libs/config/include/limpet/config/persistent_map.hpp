/// \file
/// Persistent hash map with structural sharing between copies.

#pragma once

#include <limpet/base/hash.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace limpet::config
{

/// Persistent map from strings to immutable values. Copying the map copies one
/// pointer. Changing a copy rebuilds one leaf and the two nodes above it and
/// does not affect other copies. The iteration order depends only on the
/// content. Value must have a member `std::string_view key() const`. Any thread
/// may read a copy while another copy is modified.
template <class Value>
class persistent_map
{
public:
    using pointer = std::shared_ptr<const Value>;

    /// Returns the value with the key, or null.
    const Value* find(std::string_view key) const
    {
        const std::uint64_t hash = stable_hash(key);
        const leaf* values = find_leaf(hash);
        if (values == nullptr)
        {
            return nullptr;
        }
        for (const entry& each : *values)
        {
            if (each.hash == hash && each.value->key() == key)
            {
                return each.value.get();
            }
        }
        return nullptr;
    }

    /// Inserts the value or replaces the value with the same key.
    void put(Value value)
    {
        auto stored = std::make_shared<const Value>(std::move(value));
        const std::uint64_t hash = stable_hash(stored->key());
        leaf values = copy_of_leaf(hash);
        auto place = position(values, hash, stored->key());
        if (place != values.end() && matches(*place, hash, stored->key()))
        {
            place->value = std::move(stored);
        }
        else
        {
            values.insert(place, entry{hash, std::move(stored)});
            ++m_size;
        }
        replace_leaf(hash, std::move(values));
    }

    /// Removes the value with the key. Returns whether it existed.
    bool erase(std::string_view key)
    {
        if (find(key) == nullptr)
        {
            return false;
        }
        const std::uint64_t hash = stable_hash(key);
        leaf values = copy_of_leaf(hash);
        values.erase(position(values, hash, key));
        replace_leaf(hash, std::move(values));
        --m_size;
        return true;
    }

    std::size_t size() const noexcept
    {
        return m_size;
    }

    /// Calls visit(value) for each value.
    template <class Visitor>
    void for_each(Visitor&& visit) const
    {
        if (m_root == nullptr)
        {
            return;
        }
        for (const auto& branch : *m_root)
        {
            for_each_of(branch.get(), visit);
        }
    }

private:
    static constexpr unsigned fan_out_bits = 6;
    static constexpr std::size_t fan_out = 1U << fan_out_bits;

    struct entry
    {
        std::uint64_t hash = 0;
        pointer value;
    };
    using leaf = std::vector<entry>;
    using branch_node = std::array<std::shared_ptr<const leaf>, fan_out>;
    using root_node = std::array<std::shared_ptr<const branch_node>, fan_out>;

    static std::size_t root_slot(std::uint64_t hash)
    {
        return hash >> (64 - fan_out_bits);
    }

    static std::size_t branch_slot(std::uint64_t hash)
    {
        return (hash >> (64 - 2 * fan_out_bits)) % fan_out;
    }

    static bool
    matches(const entry& each, std::uint64_t hash, std::string_view key)
    {
        return each.hash == hash && each.value->key() == key;
    }

    static typename leaf::iterator
    position(leaf& values, std::uint64_t hash, std::string_view key)
    {
        return std::lower_bound(
            values.begin(),
            values.end(),
            std::pair(hash, key),
            [](const entry& each, const auto& wanted)
            {
                return std::pair(each.hash, each.value->key()) < wanted;
            });
    }

    template <class Visitor>
    static void for_each_of(const branch_node* branch, Visitor& visit)
    {
        if (branch == nullptr)
        {
            return;
        }
        for (const auto& values : *branch)
        {
            if (values == nullptr)
            {
                continue;
            }
            for (const entry& each : *values)
            {
                visit(*each.value);
            }
        }
    }

    const branch_node* find_branch(std::uint64_t hash) const
    {
        return m_root == nullptr ? nullptr : (*m_root)[root_slot(hash)].get();
    }

    const leaf* find_leaf(std::uint64_t hash) const
    {
        const branch_node* branch = find_branch(hash);
        return branch == nullptr ? nullptr : (*branch)[branch_slot(hash)].get();
    }

    leaf copy_of_leaf(std::uint64_t hash) const
    {
        const leaf* values = find_leaf(hash);
        return values == nullptr ? leaf{} : *values;
    }

    void replace_leaf(std::uint64_t hash, leaf values)
    {
        const branch_node* old_branch = find_branch(hash);
        auto branch = old_branch == nullptr
                          ? std::make_shared<branch_node>()
                          : std::make_shared<branch_node>(*old_branch);
        (*branch)[branch_slot(hash)] =
            values.empty() ? nullptr
                           : std::make_shared<const leaf>(std::move(values));
        auto root = m_root == nullptr ? std::make_shared<root_node>()
                                      : std::make_shared<root_node>(*m_root);
        (*root)[root_slot(hash)] = std::move(branch);
        m_root = std::move(root);
    }

    std::shared_ptr<const root_node> m_root;
    std::size_t m_size = 0;
};

} // namespace limpet::config

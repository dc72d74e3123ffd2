/// \file
/// A router's copy of the configuration and of the most recent changes.

#pragma once

#include <limpet/config/state_machine.hpp>

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace limpet::config
{

/// Outcome of applying a received configuration or batch of changes.
enum class adoption
{
    adopted,
    unchanged,       ///< Already in force; nothing was applied.
    missing_changes, ///< Changes before the first one of the batch are missing.
    refused,         ///< From an older generation or a divergent history.
    malformed,
};

/// The configuration in force and the most recent changes that led to it. Its
/// position increases monotonically. Not thread-safe, except that views may be
/// read from any thread.
class config_log
{
public:
    /// Retains at most the given number of changes.
    explicit config_log(std::size_t max_updates)
        : m_max_updates(max_updates)
    {
    }

    /// Returns the configuration in force, or null if there is none.
    const view_ptr& view() const noexcept
    {
        return m_view;
    }

    const std::deque<history_entry>& history() const noexcept
    {
        return m_history;
    }

    /// Applies consecutive encoded changes that follow the position. Skips the
    /// changes that are already in force. Applies either all of the remaining
    /// changes or none of them.
    adoption adopt(const position& before,
                   const std::vector<std::string>& entries);

    /// Replaces the configuration with a newer one and clears the history.
    adoption adopt(view_ptr received);

private:
    std::size_t m_max_updates;
    view_ptr m_view;
    std::deque<history_entry> m_history;
};

} // namespace limpet::config

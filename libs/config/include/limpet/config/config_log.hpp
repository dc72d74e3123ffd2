/// \file
/// A router's copy of the configuration and its last changes.

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

/// What a router did with a received configuration.
enum class adoption
{
    adopted,
    known,   ///< Nothing newer than what is in force.
    gap,     ///< Starts after the position in force.
    refused, ///< Older by a generation, or of another history.
    malformed,
};

/// The configuration in force and the changes that led to it. Its position
/// only rises. Not thread-safe, except that views may be read anywhere.
class config_log
{
public:
    /// Keeps at most the given number of changes.
    explicit config_log(std::size_t max_updates)
        : m_max_updates(max_updates)
    {
    }

    /// Returns the configuration in force or null.
    const view_ptr& view() const noexcept
    {
        return m_view;
    }

    const std::deque<history_entry>& history() const noexcept
    {
        return m_history;
    }

    /// Applies consecutive encoded changes that follow the position. Those in
    /// force already are passed over. All or none take effect.
    adoption adopt(const position& before,
                   const std::vector<std::string>& entries);

    /// Replaces the configuration by a later one.
    adoption adopt(view_ptr received);

private:
    std::size_t m_max_updates;
    view_ptr m_view;
    std::deque<history_entry> m_history;
};

} // namespace limpet::config

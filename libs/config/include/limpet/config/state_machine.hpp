/// \file
/// Replicated state machine of the configuration.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/config/command.hpp>
#include <limpet/config/config_view.hpp>
#include <limpet/config/update.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace limpet::config
{

/// Bounds on what the state machine remembers.
struct retention
{
    /// Answers kept for resent operation ids; the oldest are forgotten first.
    std::size_t operations = 32768;
    /// Changes kept for the history and for routers that lag.
    std::size_t updates = 8192;
};

/// An update of the history in its encoded form.
struct history_entry
{
    update change;
    std::string encoded;
    /// Position before the update.
    position before;

    /// Returns the position after the update.
    position after() const;
};

/// Applies commands in the order of the replicated log. Equal sequences of
/// commands give equal states, snapshots and answers on every replica. Pure;
/// not thread-safe, except that view() results may be read anywhere.
class state_machine
{
public:
    /// Starts empty, under the group's random number.
    explicit state_machine(std::uint64_t group, const retention& kept = {});

    /// Applies the command of the log's index. An index that was applied
    /// before has no effect and returns the first answer. A resent operation
    /// id gets its first answer; the same id with another content is
    /// rejected.
    ///
    /// The author must be an operator in force. While there is no operator at
    /// all, anyone may create the first one, without a scope.
    command_result apply(std::uint64_t index, const command& order);

    /// Notes that the log's index was applied by another state machine.
    void skip(std::uint64_t index);

    /// Returns the configuration in force.
    const view_ptr& view() const noexcept
    {
        return m_view;
    }

    /// Returns the index of the last command applied.
    std::uint64_t applied_index() const noexcept
    {
        return m_applied_index;
    }

    /// Returns the answer to the operation if it is remembered.
    std::optional<command_result> answer_to(const operation_id& id) const;

    /// Returns the updates kept, oldest first.
    const std::deque<history_entry>& history() const noexcept
    {
        return m_history;
    }

    /// Returns the whole state.
    std::string snapshot() const;

    /// Returns a state machine in the state of the snapshot.
    static outcome<state_machine> restore(std::string_view snapshot,
                                          const retention& kept = {});

    /// Starts a new generation after a restore from a backup. Revisions go on
    /// above `highest_seen`, the highest that any router has in force, so
    /// that no router takes the restored state for a later one that it lacks.
    /// Returns an error if the floor is below the backup's own revision.
    status begin_generation(std::uint64_t generation, revision highest_seen);

private:
    struct remembered
    {
        std::uint64_t fingerprint = 0;
        command_result answer;
    };

    command_result evaluate(const command& order);
    command_result accept(const command& order, std::optional<object> value);
    std::optional<conflict_winner> winner_of(const object_key& key) const;
    void remember(const command& order, const command_result& answer);
    status read_answer(const outcome<boost::json::value>& line);

    retention m_kept;
    view_ptr m_view;
    std::uint64_t m_applied_index = 0;
    std::deque<history_entry> m_history;
    std::unordered_map<std::string, remembered> m_answers;
    std::deque<std::string> m_answer_order;
};

/// Returns the view as a snapshot for routers, without history.
std::string encode_view(const config_view& view);

/// Parses a snapshot for routers.
outcome<config_view> decode_view(std::string_view bytes);

} // namespace limpet::config

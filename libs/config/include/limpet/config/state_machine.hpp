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

/// Limits on the results and changes that the state machine retains.
struct retention
{
    /// Number of command results retained for resent operation ids. The oldest
    /// results are evicted first.
    std::size_t operations = 32768;
    /// Number of changes retained for the history and for lagging routers.
    std::size_t updates = 8192;
};

/// An update in the history, with its encoded form.
struct history_entry
{
    update change;
    std::string encoded;
    /// Position before the update.
    position before;

    /// Returns the position after the update.
    position after() const;
};

/// Applies commands in the order of the replicated log. Deterministic: the same
/// sequence of commands produces the same state, snapshots and results on every
/// replica. Performs no I/O; not thread-safe, except that the results of view()
/// may be read from any thread.
class state_machine
{
public:
    /// Creates an empty state with the random identifier of the control group.
    explicit state_machine(std::uint64_t group, const retention& kept = {});

    /// Applies the command at the given log index. An index that was already
    /// applied has no effect and returns the result of the first application.
    /// So does a resent operation id with the same content; the same id with
    /// different content is rejected.
    ///
    /// The author must be an existing operator. While no operator exists, any
    /// author may create the first one, which must not have a scope.
    command_result apply(std::uint64_t index, const command& order);

    /// Advances the applied index past a log entry that another state machine
    /// handles.
    void skip(std::uint64_t index);

    /// Returns the configuration in force.
    const view_ptr& view() const noexcept
    {
        return m_view;
    }

    /// Returns the log index that was applied or skipped last.
    std::uint64_t applied_index() const noexcept
    {
        return m_applied_index;
    }

    /// Returns the result of the operation, or nothing if it is not retained.
    std::optional<command_result> answer_to(const operation_id& id) const;

    /// Returns the retained updates, oldest first.
    const std::deque<history_entry>& history() const noexcept
    {
        return m_history;
    }

    /// Serializes the complete state.
    std::string snapshot() const;

    /// Restores a state machine from a snapshot.
    static outcome<state_machine> restore(std::string_view snapshot,
                                          const retention& kept = {});

    /// Starts a new generation after a restore from a backup. Revisions
    /// continue above `highest_seen`, the highest revision that any router has
    /// in force, so that routers accept the restored state as newer than their
    /// own. Returns an error if the generation is not above the current one, or
    /// if `highest_seen` is below the backup's revision.
    status begin_generation(std::uint64_t generation, revision highest_seen);

private:
    struct retained_result
    {
        std::uint64_t fingerprint = 0;
        command_result answer;
    };

    command_result evaluate(const command& order);
    command_result accept(const command& order, std::optional<object> value);
    std::optional<conflict_winner> winner_of(const object_key& key) const;
    void retain_result(const command& order, const command_result& answer);
    status load_result(const outcome<boost::json::value>& line);

    retention m_retention;
    view_ptr m_view;
    std::uint64_t m_applied_index = 0;
    std::deque<history_entry> m_history;
    std::unordered_map<std::string, retained_result> m_results;
    std::deque<std::string> m_result_order;
};

/// Encodes the view as a snapshot for routers, without history.
std::string encode_view(const config_view& view);

/// Decodes a snapshot written by encode_view().
outcome<config_view> decode_view(std::string_view bytes);

} // namespace limpet::config

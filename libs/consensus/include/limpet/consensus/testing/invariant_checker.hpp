/// \file
/// Checks the safety properties of a group of replicas.

#pragma once

#include <limpet/consensus/node.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace limpet::consensus::testing
{

/// State machine of the tests: a hash chain over all applied entries.
struct chain_state
{
    log_index applied;
    std::uint64_t hash = 0;

    void apply(const storage::log_entry& entry);
    std::string save(std::size_t padding) const;
    static chain_state restore(const std::string& data);

    friend bool operator==(const chain_state&, const chain_state&) = default;
};

/// Checks what the replicas and their clients observe. Keeps the description of
/// the first violation.
class invariant_checker
{
public:
    /// Checks that each term has at most one leader and that the log positions
    /// are in order: applied, committed, last.
    void on_view(const node_view& view);

    /// Checks that all replicas apply the same entry at each index, that no
    /// refused command takes effect and that no command takes effect twice.
    void on_applied(const storage::log_entry& entry, const chain_state& after);

    /// Checks that a restored state equals the state after applying the log up
    /// to the same index.
    void on_restored(const chain_state& state);

    /// Checks that the command with the number was applied at the index.
    void on_acknowledged(std::uint64_t command, log_index index);

    /// Checks that the command with the number was not applied, and records
    /// that it never may be.
    void on_refused(std::uint64_t command);

    /// Begins a read. The result is to be passed to finish_read().
    log_index begin_read() const
    {
        return m_last_acknowledged;
    }

    /// Checks that the read observed all commands that were acknowledged before
    /// it began.
    void finish_read(log_index begun, const chain_state& state);

    /// Records a violation.
    void fail(const std::string& violation);

    /// Returns the first violation; empty if there is none.
    const std::string& violation() const
    {
        return m_violation;
    }

    log_index last_acknowledged() const
    {
        return m_last_acknowledged;
    }

    std::uint64_t acknowledgements() const
    {
        return m_acknowledgements;
    }

    std::uint64_t reads() const
    {
        return m_reads;
    }

    /// Returns the number of terms that had a leader.
    std::size_t elections() const
    {
        return m_leaders.size();
    }

private:
    std::map<term_number, replica_id> m_leaders;
    /// Hash of the state after each index.
    std::map<log_index, std::uint64_t> m_state_hashes;
    std::map<std::uint64_t, log_index> m_command_indexes;
    std::set<std::uint64_t> m_refused_commands;
    log_index m_last_acknowledged;
    std::uint64_t m_acknowledgements = 0;
    std::uint64_t m_reads = 0;
    std::string m_violation;
};

/// Returns the command with the number, padded to the size in bytes.
std::string make_command(std::uint64_t number, std::size_t bytes);

} // namespace limpet::consensus::testing

/// \file
/// Checks what must hold for a group of replicas in every state.

#pragma once

#include <limpet/consensus/node.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace limpet::consensus::testing
{

/// State machine of the tests: a chain of hashes over all applied entries.
struct chain_state
{
    log_index applied;
    std::uint64_t hash = 0;

    void apply(const storage::log_entry& entry);
    std::string save(std::size_t padding) const;
    static chain_state restore(const std::string& data);

    friend bool operator==(const chain_state&, const chain_state&) = default;
};

/// Collects violations; the first one is kept as text.
class invariant_checker
{
public:
    /// At most one leader in each term.
    void saw_view(const node_view& view);

    /// All replicas apply the same entry at each index; no refused command
    /// takes effect, and no command twice.
    void applied(const storage::log_entry& entry, const chain_state& after);

    /// A restored state is one that the log leads to.
    void restored(const chain_state& state);

    /// The command of the number is acknowledged or certain not to run.
    void acknowledged(std::uint64_t command, log_index index);
    void refused(std::uint64_t command);

    /// A read begins; the result is to be passed to read_done().
    log_index read_begun() const
    {
        return m_last_acknowledged;
    }

    /// The read saw all that was acknowledged before it began.
    void read_done(log_index begun, const chain_state& state);

    void fail(const std::string& violation);

    /// Returns the first violation, empty if there is none.
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

    /// Number of terms that had a leader.
    std::size_t elections() const
    {
        return m_leaders.size();
    }

private:
    std::map<term_number, replica_id> m_leaders;
    /// Hash of the state after each index.
    std::map<log_index, std::uint64_t> m_chain;
    std::map<std::uint64_t, log_index> m_commands;
    std::set<std::uint64_t> m_refused;
    log_index m_last_acknowledged;
    std::uint64_t m_acknowledgements = 0;
    std::uint64_t m_reads = 0;
    std::string m_violation;
};

/// Returns the command of the number, padded to the size.
std::string make_command(std::uint64_t number, std::size_t bytes);

} // namespace limpet::consensus::testing

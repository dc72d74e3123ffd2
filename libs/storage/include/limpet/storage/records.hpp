/// \file
/// Stored records: log entries, the hard state and snapshots.

#pragma once

#include <limpet/storage/ids.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace limpet::storage
{

/// Kind of a log entry; determines the meaning of its data.
enum class entry_kind : std::uint8_t
{
    empty,      ///< Marks the start of a term; no data.
    command,    ///< Opaque command for the state machine.
    membership, ///< Encoded membership of the replicated log.
};

/// One entry of the replicated log.
struct log_entry
{
    log_index index;
    term_number term;
    entry_kind kind = entry_kind::command;
    std::string data;

    friend bool operator==(const log_entry&, const log_entry&) = default;
};

/// State besides the log that a replica must persist: its term and its vote.
struct hard_state
{
    term_number term;
    std::optional<replica_id> vote;

    friend bool operator==(const hard_state&, const hard_state&) = default;
};

/// State of the state machine after applying the entry at index.
struct snapshot
{
    log_index index;
    term_number term;
    /// Encoded membership in force at the index.
    std::string membership;
    std::string data;

    friend bool operator==(const snapshot&, const snapshot&) = default;
};

/// State recovered from a data folder when it was opened.
struct recovered_state
{
    incarnation storage;
    hard_state hard;
    /// Absent before the first snapshot.
    std::optional<snapshot> base;
    /// Entries after the snapshot, without gaps.
    std::vector<log_entry> entries;
    /// Number of bytes of an incomplete last write that were truncated.
    std::uint64_t torn_bytes = 0;
};

} // namespace limpet::storage

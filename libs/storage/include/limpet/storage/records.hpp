/// \file
/// What the storage keeps: log entries, the hard state and a snapshot.

#pragma once

#include <limpet/storage/ids.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace limpet::storage
{

/// What an entry's data means.
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

/// What a replica must not forget across restarts beside its log.
struct hard_state
{
    term_number term;
    std::optional<replica_id> vote;

    friend bool operator==(const hard_state&, const hard_state&) = default;
};

/// The state machine's state after the entry at index.
struct snapshot
{
    log_index index;
    term_number term;
    /// Encoded membership in force at the index.
    std::string membership;
    std::string data;

    friend bool operator==(const snapshot&, const snapshot&) = default;
};

/// What was found in a data folder at the start.
struct recovered_state
{
    incarnation storage;
    hard_state hard;
    /// Absent before the first snapshot.
    std::optional<snapshot> base;
    /// Entries after the snapshot, without gaps.
    std::vector<log_entry> entries;
    /// Bytes of an incomplete last write that were cut off.
    std::uint64_t torn_bytes = 0;
};

} // namespace limpet::storage

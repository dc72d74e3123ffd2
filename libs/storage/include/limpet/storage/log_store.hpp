/// \file
/// Durable log, hard state and snapshot of one replica.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/storage/file_system.hpp>
#include <limpet/storage/records.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpet::storage
{

class log_replay;

/// Settings of a log store.
struct log_store_settings
{
    /// Size from which on a new segment is begun.
    std::uint64_t segment_bytes = 8 << 20;
};

/// Keeps the state of one replica in a data folder: checksummed log segments,
/// the last snapshot and the incarnation of the storage.
///
/// Changes are buffered by append() and durable once sync() succeeds, so that
/// many share one sync. After any failed write or sync the store refuses
/// everything: what the disk holds is then unknown until it is opened again.
/// Not thread-safe.
class log_store
{
public:
    /// Opens the folder. An empty folder becomes a new storage with the
    /// fresh incarnation. An incomplete last write is cut off; damage before
    /// that is error_code::corrupt, and the folder is left as it is.
    /// \param files must outlive the store.
    static outcome<std::unique_ptr<log_store>> open(file_system& files,
                                                    log_store_settings settings,
                                                    incarnation fresh,
                                                    recovered_state& recovered);

    /// Buffers a new hard state.
    void set_hard_state(const hard_state& state);

    /// Buffers entries. The first one replaces any entry of the same index
    /// and all after it.
    void append(const std::vector<log_entry>& entries);

    /// Makes everything buffered so far durable.
    status sync();

    /// Stores a snapshot atomically and durably, and drops the log up to its
    /// index; all of the log if the entry there has another term.
    status save_snapshot(const snapshot& state);

    /// Returns the index of the last entry, buffered ones included.
    log_index last_index() const noexcept
    {
        return m_last;
    }

    /// Returns the bytes of all segments and the snapshot.
    std::uint64_t disk_bytes() const noexcept;

private:
    struct segment
    {
        std::uint64_t bytes = 0;
        /// Highest index ever written there.
        log_index highest;
    };

    log_store(file_system& files, log_store_settings settings);

    status create_storage(incarnation fresh);
    status recover(recovered_state& recovered);
    status load_snapshot(recovered_state& recovered);
    status find_segments();
    status replay_segments(log_replay& replay, recovered_state& recovered);
    status replay_segment(std::uint64_t number,
                          log_replay& replay,
                          recovered_state& recovered);
    status cut(std::uint64_t number,
               std::string_view content,
               std::size_t position,
               recovered_state& recovered);
    status continue_segment();
    status begin_segment();
    status flush();
    status poison(error failure);
    status drop_segments();
    void drop_terms(const snapshot& state);
    status replace_file(const std::string& name, const std::string& content);
    segment& current();

    file_system* m_files;
    log_store_settings m_settings;
    std::unique_ptr<file> m_file;
    std::map<std::uint64_t, segment> m_segments;
    std::string m_buffer;
    /// Durable bytes of the current segment.
    std::uint64_t m_synced = 0;
    hard_state m_hard;
    log_index m_base;
    term_number m_base_term;
    log_index m_last;
    /// Terms of the entries after m_base.
    std::vector<term_number> m_terms;
    std::uint64_t m_snapshot_bytes = 0;
    std::optional<error> m_failure;
};

/// Removes everything that a log store keeps, so that the next open() begins
/// a new storage incarnation. The former state is lost.
status discard(file_system& files);

} // namespace limpet::storage

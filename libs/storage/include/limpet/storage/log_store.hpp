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
    /// Segment size in bytes from which a new segment is started.
    std::uint64_t segment_bytes = 8 << 20;
};

/// Stores the state of one replica in a data folder: checksummed log segments,
/// the last snapshot and the incarnation of the storage.
///
/// append() and set_hard_state() buffer changes, which are durable once sync()
/// succeeds, so that several changes share one sync. After a failed write or
/// sync every further operation fails until repair() succeeds, because the
/// content of the disk is unknown. Not thread-safe.
class log_store
{
public:
    /// Opens the folder and recovers its state. In an empty folder, a new
    /// storage with new_incarnation is created. An incomplete last
    /// write is truncated. Errors: io_error; corrupt if anything before the
    /// last write is damaged, in which case the folder is left unchanged.
    /// \param files must outlive the store.
    static outcome<std::unique_ptr<log_store>> open(file_system& files,
                                                    log_store_settings settings,
                                                    incarnation new_incarnation,
                                                    recovered_state& recovered);

    /// Buffers a new hard state.
    void set_hard_state(const hard_state& state);

    /// Buffers entries. The first one replaces any entry of the same index
    /// and all entries after it.
    void append(const std::vector<log_entry>& entries);

    /// Writes all buffered changes and makes them durable.
    status sync();

    /// Stores a snapshot atomically and durably, and drops the log entries up
    /// to its index. Drops all log entries if the entry at that index is
    /// missing or has another term. May be called again with the same snapshot
    /// after it failed.
    status save_snapshot(const snapshot& state);

    /// Restores the disk to the last durable state after a failure, such as a
    /// full disk. The buffered changes stay buffered: the operation that failed
    /// may be called again. Does nothing if no operation has failed.
    status repair();

    /// Returns the index of the last entry, including buffered ones.
    log_index last_index() const noexcept
    {
        return m_last;
    }

    /// Returns the size of all segments and the snapshot in bytes.
    std::uint64_t disk_bytes() const noexcept;

private:
    struct segment
    {
        std::uint64_t bytes = 0;
        /// Highest index that was ever written to the segment.
        log_index highest;
    };

    log_store(file_system& files, log_store_settings settings);

    status create_storage(incarnation new_incarnation);
    status recover(recovered_state& recovered);
    status load_snapshot(recovered_state& recovered);
    status find_segments();
    status replay_segments(log_replay& replay, recovered_state& recovered);
    status replay_segment(std::uint64_t number,
                          log_replay& replay,
                          recovered_state& recovered);
    status truncate_tail(std::uint64_t number,
                         std::string_view content,
                         std::size_t position,
                         recovered_state& recovered);
    status continue_segment();
    status start_segment();
    status flush();
    status set_failed(error failure);
    status drop_segments();
    void drop_terms(const snapshot& state);
    status replace_file(const std::string& name, const std::string& content);
    segment& current();

    file_system* m_files;
    log_store_settings m_settings;
    std::unique_ptr<file> m_file;
    std::map<std::uint64_t, segment> m_segments;
    std::string m_buffer;
    /// Number of durable bytes of the current segment.
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

/// Deletes all files of a log store, so that the next open() creates a new
/// storage with a new incarnation. The previous state is lost.
status discard(file_system& files);

} // namespace limpet::storage

/// \file
/// In-memory disk that loses unsynced data on restart. For tests and
/// benchmarks.

#pragma once

#include <limpet/base/random.hpp>
#include <limpet/storage/file_system.hpp>

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace limpet::storage::testing
{

/// Faults to inject into the following operations.
struct disk_faults
{
    /// Number of operations until a crash; all operations after it fail too.
    std::optional<std::uint64_t> crash_after;
    /// Number of syncs that succeed before all further ones fail.
    std::optional<std::uint64_t> fail_sync_after;
    /// Number of operations that succeed before `refusals` further ones fail.
    /// A write that fails may be applied in part.
    std::optional<std::uint64_t> refuse_after;
    std::uint64_t refusals = std::numeric_limits<std::uint64_t>::max();
    /// Capacity of the disk in bytes.
    std::optional<std::uint64_t> capacity;
    /// Whether syncs report success without making anything durable.
    bool ignores_syncs = false;
};

/// Folder whose synced content survives restart(). Of unsynced folder
/// changes and of unsynced content, a random prefix survives; the tail of the
/// content may be overwritten with zeros. Content whose sync failed is lost,
/// although it can be read until the restart and later syncs succeed.
class fake_disk final : public file_system
{
public:
    explicit fake_disk(std::uint64_t seed);

    outcome<std::unique_ptr<file>> create(const std::string& name) override;
    outcome<std::unique_ptr<file>> open(const std::string& name) override;
    outcome<std::string> read(const std::string& name) override;
    outcome<std::vector<std::string>> list() override;
    status rename(const std::string& from, const std::string& to) override;
    status remove(const std::string& name) override;
    status truncate(const std::string& name, std::uint64_t size) override;
    status sync_folder() override;

    /// Simulates a power failure: unsynced content may be lost. Clears all
    /// faults.
    void restart();

    /// Deletes all files, as if the disk had been replaced. Clears all faults.
    void wipe();

    /// Flips a bit of the byte at the position, modulo the file's size. The
    /// change is durable.
    void flip_bit(const std::string& name, std::uint64_t position);

    /// Returns whether the injected crash has happened.
    bool crashed() const noexcept
    {
        return m_crashed;
    }

    disk_faults& faults() noexcept
    {
        return m_faults;
    }

    std::uint64_t syncs() const noexcept
    {
        return m_syncs;
    }

    /// Returns the number of operations so far at which a crash can be
    /// injected.
    std::uint64_t operations() const noexcept
    {
        return m_operations;
    }

private:
    friend class fake_file;

    struct node
    {
        std::string durable;
        std::string content;
        /// Position from which content was lost with a failed sync, and its
        /// end.
        std::optional<std::pair<std::size_t, std::size_t>> lost;
    };
    using folder = std::map<std::string, std::shared_ptr<node>>;

    status begin_operation();
    bool is_refused();
    status append(node& target, std::string_view bytes);
    status sync(node& target);
    bool sync_fails();
    std::uint64_t used_bytes() const;
    void discard_unsynced(node& target);

    random_source m_random;
    disk_faults m_faults;
    bool m_crashed = false;
    std::uint64_t m_syncs = 0;
    std::uint64_t m_operations = 0;
    folder m_durable;
    /// States of the folder since the last sync, one after each change; the
    /// last one is current.
    std::vector<folder> m_versions;
};

} // namespace limpet::storage::testing

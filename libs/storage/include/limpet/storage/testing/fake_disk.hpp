/// \file
/// A disk in memory that loses what was not synced. For tests and benchmarks.

#pragma once

#include <limpet/base/random.hpp>
#include <limpet/storage/file_system.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpet::storage::testing
{

/// What the next operations do wrong.
struct disk_faults
{
    /// Number of operations until a crash; every later one fails too.
    std::optional<std::uint64_t> crash_after;
    /// Number of syncs until one fails.
    std::optional<std::uint64_t> fail_sync_after;
    /// Most bytes that the disk holds.
    std::optional<std::uint64_t> capacity;
    /// Whether a sync reports success without making anything durable.
    bool ignores_syncs = false;
};

/// Folder whose files and entries survive restart() only as far as they were
/// synced; of the rest, a random part survives, with a random tail damaged.
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

    /// Loses what a power failure would lose and clears all faults.
    void restart();

    /// Empties the disk, as a replaced one.
    void wipe();

    /// Flips a bit of a file, durably.
    void damage(const std::string& name, std::uint64_t position);

    /// Returns whether the planned crash has come.
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

    /// Returns the number of operations that can crash.
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
    };
    using folder = std::map<std::string, std::shared_ptr<node>>;

    status begin_operation();
    status append(node& target, std::string_view bytes);
    status sync(node& target);
    bool sync_fails();
    std::uint64_t used_bytes() const;
    void lose_unsynced(node& target);

    random_source m_random;
    disk_faults m_faults;
    bool m_crashed = false;
    std::uint64_t m_syncs = 0;
    std::uint64_t m_operations = 0;
    folder m_durable;
    /// Folder after each change since the last sync; the last one is current.
    std::vector<folder> m_versions;
};

} // namespace limpet::storage::testing

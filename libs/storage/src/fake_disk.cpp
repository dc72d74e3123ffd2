#include <limpet/storage/testing/fake_disk.hpp>

#include <algorithm>

namespace limpet::storage::testing
{

namespace
{

error failure(const std::string& reason)
{
    return {error_code::io_error, "fake disk: " + reason};
}

} // namespace

class fake_file final : public file
{
public:
    fake_file(fake_disk& disk, std::shared_ptr<fake_disk::node> target)
        : m_disk(&disk),
          m_target(std::move(target))
    {
    }

    status append(std::string_view bytes) override
    {
        return m_disk->append(*m_target, bytes);
    }

    status sync() override
    {
        return m_disk->sync(*m_target);
    }

private:
    fake_disk* m_disk;
    std::shared_ptr<fake_disk::node> m_target;
};

fake_disk::fake_disk(std::uint64_t seed)
    : m_random(seed),
      m_versions(1)
{
}

status fake_disk::begin_operation()
{
    ++m_operations;
    if (m_faults.crash_after && *m_faults.crash_after == 0)
    {
        m_crashed = true;
    }
    if (m_crashed)
    {
        return failure("crashed");
    }
    if (m_faults.crash_after)
    {
        --*m_faults.crash_after;
    }
    return is_refused() ? failure("operation refused") : success();
}

bool fake_disk::is_refused()
{
    if (!m_faults.refuse_after)
    {
        return false;
    }
    if (*m_faults.refuse_after > 0)
    {
        --*m_faults.refuse_after;
        return false;
    }
    if (m_faults.refusals == 0)
    {
        return false;
    }
    --m_faults.refusals;
    return true;
}

bool fake_disk::sync_fails()
{
    ++m_syncs;
    if (!m_faults.fail_sync_after)
    {
        return false;
    }
    if (*m_faults.fail_sync_after == 0)
    {
        return true;
    }
    --*m_faults.fail_sync_after;
    return false;
}

std::uint64_t fake_disk::used_bytes() const
{
    std::uint64_t total = 0;
    for (const auto& [name, entry] : m_versions.back())
    {
        total += entry->content.size();
    }
    return total;
}

status fake_disk::append(node& target, std::string_view bytes)
{
    if (auto begun = begin_operation(); !is_ok(begun))
    {
        // The write during which the crash occurs may be applied in part.
        target.content.append(
            bytes.substr(0, m_random.below(bytes.size() + 1)));
        return begun;
    }
    if (m_faults.capacity)
    {
        const auto used = std::min(used_bytes(), *m_faults.capacity);
        const auto room = *m_faults.capacity - used;
        if (bytes.size() > room)
        {
            target.content.append(bytes.substr(0, room));
            return failure("no space left");
        }
    }
    target.content.append(bytes);
    return success();
}

status fake_disk::sync(node& target)
{
    status begun = begin_operation();
    if (m_crashed)
    {
        return begun;
    }
    if (!is_ok(begun) || sync_fails())
    {
        const std::size_t from = target.lost ? target.lost->first
                                             : std::min(target.durable.size(),
                                                        target.content.size());
        target.lost = std::pair(from, target.content.size());
        return failure("sync failed");
    }
    if (!m_faults.ignores_syncs)
    {
        target.durable = target.content;
    }
    if (target.lost)
    {
        const auto begin = target.durable.begin();
        std::fill(begin + static_cast<std::ptrdiff_t>(target.lost->first),
                  begin + static_cast<std::ptrdiff_t>(target.lost->second),
                  '\0');
    }
    return success();
}

outcome<std::unique_ptr<file>> fake_disk::create(const std::string& name)
{
    if (auto begun = begin_operation(); !is_ok(begun))
    {
        return error_of(begun);
    }
    folder changed = m_versions.back();
    changed[name] = std::make_shared<node>();
    m_versions.push_back(changed);
    return std::unique_ptr<file>(
        std::make_unique<fake_file>(*this, changed[name]));
}

outcome<std::unique_ptr<file>> fake_disk::open(const std::string& name)
{
    if (auto begun = begin_operation(); !is_ok(begun))
    {
        return error_of(begun);
    }
    const auto found = m_versions.back().find(name);
    if (found == m_versions.back().end())
    {
        return failure("file not found: " + name);
    }
    return std::unique_ptr<file>(
        std::make_unique<fake_file>(*this, found->second));
}

outcome<std::string> fake_disk::read(const std::string& name)
{
    const auto found = m_versions.back().find(name);
    if (found == m_versions.back().end())
    {
        return failure("file not found: " + name);
    }
    return found->second->content;
}

outcome<std::vector<std::string>> fake_disk::list()
{
    std::vector<std::string> names;
    for (const auto& [name, entry] : m_versions.back())
    {
        names.push_back(name);
    }
    return names;
}

status fake_disk::rename(const std::string& from, const std::string& to)
{
    if (auto begun = begin_operation(); !is_ok(begun))
    {
        return begun;
    }
    folder changed = m_versions.back();
    const auto found = changed.find(from);
    if (found == changed.end())
    {
        return failure("file not found: " + from);
    }
    changed[to] = found->second;
    changed.erase(from);
    m_versions.push_back(changed);
    return success();
}

status fake_disk::remove(const std::string& name)
{
    if (auto begun = begin_operation(); !is_ok(begun))
    {
        return begun;
    }
    folder changed = m_versions.back();
    if (changed.erase(name) == 0)
    {
        return failure("file not found: " + name);
    }
    m_versions.push_back(changed);
    return success();
}

status fake_disk::truncate(const std::string& name, std::uint64_t size)
{
    if (auto begun = begin_operation(); !is_ok(begun))
    {
        return begun;
    }
    const auto found = m_versions.back().find(name);
    if (found == m_versions.back().end())
    {
        return failure("file not found: " + name);
    }
    node& target = *found->second;
    target.content.resize(size);
    if (target.lost && target.lost->first >= size)
    {
        target.lost.reset();
    }
    target.durable = target.content;
    return success();
}

status fake_disk::sync_folder()
{
    if (auto begun = begin_operation(); !is_ok(begun))
    {
        return begun;
    }
    if (sync_fails())
    {
        return failure("folder sync failed");
    }
    if (!m_faults.ignores_syncs)
    {
        m_durable = m_versions.back();
        m_versions.assign(1, m_durable);
    }
    return success();
}

void fake_disk::discard_unsynced(node& target)
{
    constexpr double zeroing_chance = 0.3;
    std::string& content = target.content;
    const std::size_t durable = target.durable.size();
    std::copy(target.durable.begin(),
              target.durable.begin() + static_cast<std::ptrdiff_t>(
                                           std::min(durable, content.size())),
              content.begin());
    target.lost.reset();
    if (content.size() > durable)
    {
        content.resize(durable + m_random.below(content.size() - durable + 1));
    }
    const std::size_t extra =
        content.size() - std::min(content.size(), durable);
    if (extra > 0 && m_random.chance(zeroing_chance))
    {
        // The file's size may be durable although the last bytes are not;
        // these then read as zeros.
        const std::size_t from = durable + m_random.below(extra);
        std::fill(content.begin() + static_cast<std::ptrdiff_t>(from),
                  content.end(),
                  '\0');
    }
    target.durable = content;
}

void fake_disk::restart()
{
    const std::size_t survivor = m_random.below(m_versions.size());
    const folder kept = m_versions[survivor];
    for (const auto& [name, entry] : kept)
    {
        discard_unsynced(*entry);
    }
    m_durable = kept;
    m_versions.assign(1, kept);
    m_faults = disk_faults{};
    m_crashed = false;
}

void fake_disk::wipe()
{
    m_durable.clear();
    m_versions.assign(1, folder{});
    m_faults = disk_faults{};
    m_crashed = false;
}

void fake_disk::flip_bit(const std::string& name, std::uint64_t position)
{
    const auto found = m_versions.back().find(name);
    if (found == m_versions.back().end())
    {
        return;
    }
    std::string& content = found->second->content;
    content[position % content.size()] ^= 1;
    found->second->durable = content;
}

} // namespace limpet::storage::testing

#include "log_replay.hpp"
#include "record_codec.hpp"

#include <limpet/storage/log_store.hpp>

#include <algorithm>
#include <charconv>

namespace limpet::storage
{

namespace
{

const std::string identity_name = "identity";
const std::string snapshot_name = "snapshot";
const std::string segment_prefix = "log-";
const std::string temporary_suffix = ".tmp";
constexpr int segment_digits = 12;

std::string segment_name(std::uint64_t number)
{
    const std::string digits = std::to_string(number);
    const auto zeros =
        segment_digits - std::min<std::size_t>(digits.size(), segment_digits);
    return segment_prefix + std::string(zeros, '0') + digits;
}

std::optional<std::uint64_t> segment_number(const std::string& name)
{
    if (!name.starts_with(segment_prefix))
    {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    const char* first = name.data() + segment_prefix.size();
    const char* last = name.data() + name.size();
    const auto result = std::from_chars(first, last, number);
    if (result.ec != std::errc{} || result.ptr != last)
    {
        return std::nullopt;
    }
    return number;
}

error corrupt(const std::string& name, const std::string& reason)
{
    return {
        error_code::corrupt,
        name + ": " + reason +
            "; empty the data folder to rebuild the replica from its peers"};
}

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

log_store::log_store(file_system& files, log_store_settings settings)
    : m_files(&files),
      m_settings(settings)
{
}

outcome<std::unique_ptr<log_store>> log_store::open(file_system& files,
                                                    log_store_settings settings,
                                                    incarnation new_incarnation,
                                                    recovered_state& recovered)
{
    recovered = recovered_state{};
    const auto names = files.list();
    if (!is_ok(names))
    {
        return error_of(names);
    }
    std::unique_ptr<log_store> store(new log_store(files, settings));
    const bool exists = contains(value_of(names), identity_name);
    if (!exists)
    {
        const auto created = store->create_storage(new_incarnation);
        if (!is_ok(created))
        {
            return error_of(created);
        }
    }
    const auto result = store->recover(recovered);
    if (!is_ok(result))
    {
        return error_of(result);
    }
    return store;
}

status log_store::create_storage(incarnation new_incarnation)
{
    // Nothing is acknowledged before the identity file is durable, so files
    // left by an earlier attempt contain no acknowledged data.
    if (auto removed = discard(*m_files); !is_ok(removed))
    {
        return removed;
    }
    if (auto started = start_segment(); !is_ok(started))
    {
        return started;
    }
    m_file.reset();
    m_segments.clear();
    return replace_file(identity_name, encode_identity(new_incarnation));
}

status log_store::recover(recovered_state& recovered)
{
    const auto identity = m_files->read(identity_name);
    if (!is_ok(identity))
    {
        return error_of(identity);
    }
    const auto storage = decode_identity(value_of(identity));
    if (!storage)
    {
        return corrupt(identity_name, "checksum mismatch");
    }
    recovered.storage = *storage;
    if (auto loaded = load_snapshot(recovered); !is_ok(loaded))
    {
        return loaded;
    }
    if (auto found = find_segments(); !is_ok(found))
    {
        return found;
    }
    log_replay replay(m_base, m_base_term);
    auto replayed = replay_segments(replay, recovered);
    if (!is_ok(replayed))
    {
        return replayed;
    }
    const bool base_confirmed = replay.finish();
    m_hard = replay.hard();
    recovered.hard = m_hard;
    recovered.entries = std::move(replay.entries());
    m_last = advance(m_base, recovered.entries.size());
    for (const log_entry& entry : recovered.entries)
    {
        m_terms.push_back(entry.term);
    }
    return base_confirmed ? continue_segment() : start_segment();
}

status log_store::load_snapshot(recovered_state& recovered)
{
    const auto names = m_files->list();
    if (!is_ok(names))
    {
        return error_of(names);
    }
    if (!contains(value_of(names), snapshot_name))
    {
        return success();
    }
    const auto content = m_files->read(snapshot_name);
    if (!is_ok(content))
    {
        return error_of(content);
    }
    recovered.base = decode_snapshot(value_of(content));
    if (!recovered.base)
    {
        return corrupt(snapshot_name, "checksum mismatch");
    }
    m_snapshot_bytes = value_of(content).size();
    m_base = recovered.base->index;
    m_base_term = recovered.base->term;
    return success();
}

status log_store::find_segments()
{
    const auto names = m_files->list();
    if (!is_ok(names))
    {
        return error_of(names);
    }
    for (const std::string& name : value_of(names))
    {
        if (const auto number = segment_number(name))
        {
            m_segments[*number] = segment{};
        }
    }
    if (m_segments.empty())
    {
        return corrupt(segment_name(1), "no log segment found");
    }
    const auto first = m_segments.begin()->first;
    const auto last = m_segments.rbegin()->first;
    if (last - first + 1 != m_segments.size())
    {
        return corrupt(segment_name(first), "a later log segment is missing");
    }
    if (first != 1 && m_base == log_index{})
    {
        return corrupt(
            snapshot_name,
            "file is missing, but earlier log segments were removed");
    }
    return success();
}

status log_store::replay_segments(log_replay& replay,
                                  recovered_state& recovered)
{
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, unused] : m_segments)
    {
        numbers.push_back(number);
    }
    for (const std::uint64_t number : numbers)
    {
        auto result = replay_segment(number, replay, recovered);
        if (!is_ok(result))
        {
            return result;
        }
    }
    return success();
}

status log_store::replay_segment(std::uint64_t number,
                                 log_replay& replay,
                                 recovered_state& recovered)
{
    const auto read = m_files->read(segment_name(number));
    if (!is_ok(read))
    {
        return error_of(read);
    }
    const std::string_view content = value_of(read);
    segment& info = m_segments[number];
    while (info.bytes < content.size() || info.bytes == 0)
    {
        const auto next = read_frame(content.substr(info.bytes), number);
        if (!next)
        {
            return truncate_tail(number, content, info.bytes, recovered);
        }
        const auto decoded = decode_record(next->payload);
        if (!decoded)
        {
            return corrupt(segment_name(number),
                           "unknown record type or format");
        }
        if (const auto* entry = std::get_if<log_entry>(&*decoded))
        {
            info.highest = std::max(info.highest, entry->index);
        }
        if (auto applied = replay.apply(*decoded); !is_ok(applied))
        {
            return corrupt(segment_name(number), error_of(applied).message);
        }
        info.bytes += next->size;
    }
    return success();
}

status log_store::truncate_tail(std::uint64_t number,
                                std::string_view content,
                                std::size_t position,
                                recovered_state& recovered)
{
    const std::string name = segment_name(number);
    const bool is_last = number == m_segments.rbegin()->first;
    if (!is_last || was_synced(content, position, number))
    {
        return corrupt(name,
                       "checksum mismatch at byte " + std::to_string(position));
    }
    recovered.torn_bytes += content.size() - position;
    if (position > 0)
    {
        return m_files->truncate(name, position);
    }
    if (m_segments.size() == 1)
    {
        return corrupt(name, "the only log segment has no valid header");
    }
    m_segments.erase(number);
    return m_files->remove(name);
}

status log_store::continue_segment()
{
    const auto number = m_segments.rbegin()->first;
    auto opened = m_files->open(segment_name(number));
    if (!is_ok(opened))
    {
        return set_failed(error_of(opened));
    }
    m_file = value_of(std::move(opened));
    // The content that was read may not be durable yet: the process may have
    // crashed between a write and its sync.
    if (auto synced = m_file->sync(); !is_ok(synced))
    {
        return set_failed(error_of(synced));
    }
    if (auto synced = m_files->sync_folder(); !is_ok(synced))
    {
        return set_failed(error_of(synced));
    }
    m_synced = current().bytes;
    return success();
}

status log_store::start_segment()
{
    const auto number = m_segments.empty() ? 1 : m_segments.rbegin()->first + 1;
    auto created = m_files->create(segment_name(number));
    if (!is_ok(created))
    {
        return set_failed(error_of(created));
    }
    m_file = value_of(std::move(created));
    m_segments[number] = segment{};
    m_synced = 0;
    const segment_header header{m_hard, m_base, m_base_term, m_last};
    put_frame(m_buffer, encode_record(header), number, m_synced);
    if (auto flushed = flush(); !is_ok(flushed))
    {
        return flushed;
    }
    if (auto synced = m_files->sync_folder(); !is_ok(synced))
    {
        return set_failed(error_of(synced));
    }
    return success();
}

void log_store::set_hard_state(const hard_state& state)
{
    m_hard = state;
    const auto number = m_segments.rbegin()->first;
    put_frame(m_buffer, encode_record(state), number, m_synced);
}

void log_store::append(const std::vector<log_entry>& entries)
{
    const auto number = m_segments.rbegin()->first;
    for (const log_entry& entry : entries)
    {
        m_terms.resize(entry.index.get() - m_base.get() - 1);
        m_terms.push_back(entry.term);
        m_last = entry.index;
        current().highest = std::max(current().highest, entry.index);
        put_frame(m_buffer, encode_record(entry), number, m_synced);
    }
}

status log_store::flush()
{
    if (m_failure)
    {
        return *m_failure;
    }
    if (m_buffer.empty())
    {
        return success();
    }
    if (auto written = m_file->append(m_buffer); !is_ok(written))
    {
        return set_failed(error_of(written));
    }
    if (auto synced = m_file->sync(); !is_ok(synced))
    {
        return set_failed(error_of(synced));
    }
    current().bytes += m_buffer.size();
    m_synced = current().bytes;
    m_buffer.clear();
    return success();
}

status log_store::sync()
{
    auto flushed = flush();
    if (!is_ok(flushed) || m_synced < m_settings.segment_bytes)
    {
        return flushed;
    }
    return start_segment();
}

status log_store::save_snapshot(const snapshot& state)
{
    if (auto flushed = flush(); !is_ok(flushed))
    {
        return flushed;
    }
    const std::string content = encode_snapshot(state);
    if (auto saved = replace_file(snapshot_name, content); !is_ok(saved))
    {
        return set_failed(error_of(saved));
    }
    m_snapshot_bytes = content.size();
    drop_terms(state);
    if (auto started = start_segment(); !is_ok(started))
    {
        return started;
    }
    return drop_segments();
}

status log_store::repair()
{
    if (!m_failure)
    {
        return success();
    }
    const auto names = m_files->list();
    if (!is_ok(names))
    {
        return error_of(names);
    }
    // An incomplete temporary file takes up space on a full disk.
    for (const std::string& name : value_of(names))
    {
        if (name.ends_with(temporary_suffix))
        {
            if (auto removed = m_files->remove(name); !is_ok(removed))
            {
                return removed;
            }
        }
    }
    // After a failed sync, the bytes written before it may be lost even if a
    // later sync succeeds. They are written again.
    const std::string name = segment_name(m_segments.rbegin()->first);
    if (auto truncated = m_files->truncate(name, m_synced); !is_ok(truncated))
    {
        return truncated;
    }
    auto opened = m_files->open(name);
    if (!is_ok(opened))
    {
        return error_of(opened);
    }
    if (auto synced = m_files->sync_folder(); !is_ok(synced))
    {
        return synced;
    }
    m_file = value_of(std::move(opened));
    m_failure.reset();
    return success();
}

void log_store::drop_terms(const snapshot& state)
{
    if (state.index == m_base && state.term == m_base_term)
    {
        return;
    }
    const bool contains_entry = state.index <= m_last && state.index > m_base;
    const auto count = state.index.get() - m_base.get();
    if (contains_entry && m_terms[count - 1] == state.term)
    {
        const auto end = m_terms.begin() + static_cast<std::ptrdiff_t>(count);
        m_terms.erase(m_terms.begin(), end);
    }
    else
    {
        m_terms.clear();
        m_last = state.index;
    }
    m_base = state.index;
    m_base_term = state.term;
}

status log_store::drop_segments()
{
    while (m_segments.size() > 1 &&
           m_segments.begin()->second.highest <= m_base)
    {
        const auto number = m_segments.begin()->first;
        const auto removed = m_files->remove(segment_name(number));
        if (!is_ok(removed))
        {
            return set_failed(error_of(removed));
        }
        m_segments.erase(number);
        // Sync after each removal: if removals became durable out of order, a
        // crash could leave a gap between the segments.
        if (auto synced = m_files->sync_folder(); !is_ok(synced))
        {
            return set_failed(error_of(synced));
        }
    }
    return success();
}

status log_store::replace_file(const std::string& name,
                               const std::string& content)
{
    const std::string temporary = name + temporary_suffix;
    auto created = m_files->create(temporary);
    if (!is_ok(created))
    {
        return error_of(created);
    }
    file& target = *value_of(created);
    if (auto written = target.append(content); !is_ok(written))
    {
        return written;
    }
    if (auto synced = target.sync(); !is_ok(synced))
    {
        return synced;
    }
    if (auto renamed = m_files->rename(temporary, name); !is_ok(renamed))
    {
        return renamed;
    }
    return m_files->sync_folder();
}

status log_store::set_failed(error failure)
{
    if (!m_failure)
    {
        m_failure = std::move(failure);
    }
    return *m_failure;
}

log_store::segment& log_store::current()
{
    return m_segments.rbegin()->second;
}

std::uint64_t log_store::disk_bytes() const noexcept
{
    std::uint64_t total = m_snapshot_bytes;
    for (const auto& [number, info] : m_segments)
    {
        total += info.bytes;
    }
    return total;
}

status discard(file_system& files)
{
    const auto names = files.list();
    if (!is_ok(names))
    {
        return error_of(names);
    }
    // The identity is removed first: without it, open() ignores and deletes the
    // other files, so a crash in between is harmless.
    if (contains(value_of(names), identity_name))
    {
        if (auto removed = files.remove(identity_name); !is_ok(removed))
        {
            return removed;
        }
        if (auto synced = files.sync_folder(); !is_ok(synced))
        {
            return synced;
        }
    }
    for (const std::string& name : value_of(names))
    {
        const bool is_store_file = name == snapshot_name ||
                                   segment_number(name) ||
                                   name.ends_with(temporary_suffix);
        if (!is_store_file)
        {
            continue;
        }
        if (auto removed = files.remove(name); !is_ok(removed))
        {
            return removed;
        }
    }
    return files.sync_folder();
}

} // namespace limpet::storage

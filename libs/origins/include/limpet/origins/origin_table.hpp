/// \file
/// Versions that began the streams of the last seconds.

#pragma once

#include <limpet/origins/message.hpp>

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace limpet::origins
{

/// Versions by stream, each until its caller's patience has ended. Takes the
/// time as an argument; not thread-safe.
class origin_table
{
public:
    /// Of more streams than this, those that end first are forgotten.
    explicit origin_table(std::size_t max_streams);

    /// Adds a stream or replaces what is known of it.
    void put(const origin& added, time_point now);

    /// Returns what began the stream, with the rest of its lifetime.
    std::optional<origin> find(stream_key stream, time_point now) const;

    /// Returns all streams whose lifetime has not ended.
    std::vector<origin> all(time_point now) const;

    std::size_t size() const noexcept
    {
        return m_entries.size();
    }

private:
    struct entry
    {
        service_key service;
        version_key version;
        time_point expires_at;
    };

    void erase_first();

    std::size_t m_max_streams;
    std::unordered_map<stream_key, entry> m_entries;
    std::set<std::pair<time_point, stream_key>> m_by_end;
};

} // namespace limpet::origins

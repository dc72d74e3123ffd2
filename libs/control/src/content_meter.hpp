/// \file
/// What the frames hold that a replica's feeds send.

#pragma once

#include <limpet/directory/update.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace limpet::control
{

/// Content of a frame; the first of these that it holds.
enum class feed_content : std::uint8_t
{
    documents,     ///< Operators' orders, with a document or without.
    loads,         ///< Counts of requests.
    routers,       ///< A list of routers or changes of it.
    registrations, ///< Registrations of backend servers.
    other          ///< Heartbeats and answers to subscriptions.
};

constexpr std::size_t feed_content_count = 5;

std::string_view to_string(feed_content content);

feed_content content_of(const directory::update& frame);

/// Counts frames and their bytes, without headers. Not thread-safe.
class content_meter
{
public:
    struct counts
    {
        std::uint64_t bytes = 0;
        std::uint64_t frames = 0;
    };

    void record(feed_content content, std::size_t bytes);

    const counts& of(feed_content content) const;

    /// Returns what was sent since the last call as text, such as
    /// "documents 310 kB 16 frames, other 12 kB 80 frames". Contents that were
    /// not sent are left out.
    std::string take_summary();

private:
    std::array<counts, feed_content_count> m_counts;
    std::array<counts, feed_content_count> m_marks;
};

} // namespace limpet::control

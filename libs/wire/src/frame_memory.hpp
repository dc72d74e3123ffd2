/// \file
/// Memory of the frames that all peers' connections are receiving.

#pragma once

#include <limpet/base/receive_budget.hpp>

#include <cstddef>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace limpet::wire
{

class incoming_link;

/// Bounds the buffers of all incoming links together. Links whose frames have
/// stopped arriving are closed if others need their memory. Thread-safe.
class frame_memory
{
public:
    explicit frame_memory(std::size_t total_bytes);

    /// Records that the link's buffer takes so many bytes and that it has
    /// received some. Returns false if there is no room; it is then as before.
    bool resize(const std::shared_ptr<incoming_link>& link, std::size_t bytes);

    void release(const incoming_link* link);

private:
    std::mutex m_mutex;
    receive_budget m_budget;
    std::unordered_map<receive_budget::message_key,
                       std::weak_ptr<incoming_link>>
        m_links;
};

} // namespace limpet::wire

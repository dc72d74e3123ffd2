#include <limpet/wire/traffic_counters.hpp>

namespace limpet::wire
{

namespace
{

std::size_t index_of(channel kind) noexcept
{
    return static_cast<std::size_t>(kind);
}

} // namespace

void traffic_counters::count_sent(channel kind,
                                  std::size_t payload_bytes) noexcept
{
    totals& entry = m_sent[index_of(kind)];
    entry.bytes += frame_header_bytes + payload_bytes;
    ++entry.frames;
}

void traffic_counters::count_received(channel kind,
                                      std::size_t payload_bytes) noexcept
{
    totals& entry = m_received[index_of(kind)];
    entry.bytes += frame_header_bytes + payload_bytes;
    ++entry.frames;
}

std::uint64_t traffic_counters::sent_bytes(channel kind) const noexcept
{
    return m_sent[index_of(kind)].bytes;
}

std::uint64_t traffic_counters::received_bytes(channel kind) const noexcept
{
    return m_received[index_of(kind)].bytes;
}

std::uint64_t traffic_counters::sent_frames(channel kind) const noexcept
{
    return m_sent[index_of(kind)].frames;
}

std::uint64_t traffic_counters::received_frames(channel kind) const noexcept
{
    return m_received[index_of(kind)].frames;
}

} // namespace limpet::wire

#include "response_buffer.hpp"

#include <limpet/base/text_growth.hpp>

#include <algorithm>
#include <utility>

namespace limpet::gateway
{

namespace
{

/// Largest body of one response.
constexpr std::size_t max_body_bytes = 16UL * 1024 * 1024;
/// Memory that the largest body takes, with what a text has to spare.
constexpr std::size_t max_body_memory = max_body_bytes / 4 * 5;
/// Sizes up to this one do not count against the budget.
constexpr std::size_t small_bytes = 16UL * 1024;

} // namespace

response_buffer_budget::response_buffer_budget(std::size_t total_bytes)
    : m_total(total_bytes),
      m_server_total(
          std::max(total_bytes / 2, std::min(total_bytes, max_body_memory)))
{
}

bool response_buffer_budget::fits(const engine_id& server,
                                  std::size_t bytes) const
{
    const auto found = m_taken_by_server.find(server);
    const std::size_t taken_before =
        found == m_taken_by_server.end() ? 0 : found->second;
    return m_taken + bytes <= m_total && taken_before + bytes <= m_server_total;
}

bool response_buffer_budget::try_take(const engine_id& server,
                                      std::size_t bytes)
{
    while (!fits(server, bytes))
    {
        if (bytes > m_server_total || !evict_one())
        {
            return false;
        }
    }
    m_taken += bytes;
    m_taken_by_server[server] += bytes;
    return true;
}

/// Ends the response whose caller has taken nothing for the longest time.
/// Returns false if there is none that has to yield.
bool response_buffer_budget::evict_one()
{
    const time_point latest = monotonic_clock::now() - unread_time;
    buffer_claim* victim = nullptr;
    time_point since = latest;
    for (buffer_claim* each : m_written)
    {
        const auto blocked = each->m_writing.blocked_since();
        if (each->m_taken > 0 && blocked && *blocked <= since)
        {
            victim = each;
            since = *blocked;
        }
    }
    if (victim == nullptr)
    {
        return false;
    }
    m_written.erase(victim);
    give_back(victim->m_server, std::exchange(victim->m_taken, 0));
    victim->m_writing.end();
    return true;
}

void response_buffer_budget::give_back(const engine_id& server,
                                       std::size_t bytes)
{
    const auto found = m_taken_by_server.find(server);
    if (found == m_taken_by_server.end())
    {
        return;
    }
    m_taken -= bytes;
    found->second -= bytes;
    if (found->second == 0)
    {
        m_taken_by_server.erase(found);
    }
}

buffer_claim::buffer_claim(response_buffer_budget& budget, engine_id server)
    : m_budget(budget),
      m_server(std::move(server))
{
}

buffer_claim::~buffer_claim()
{
    m_budget.m_written.erase(this);
    m_budget.give_back(m_server, m_taken);
}

status buffer_claim::resize(std::size_t bytes)
{
    const std::size_t counted = bytes > small_bytes ? bytes : 0;
    if (counted < m_taken)
    {
        m_budget.give_back(m_server, m_taken - counted);
    }
    else if (counted > m_taken &&
             !m_budget.try_take(m_server, counted - m_taken))
    {
        return error{error_code::overloaded,
                     "too many large responses are being received"};
    }
    m_taken = counted;
    return success();
}

void buffer_claim::begin_writing(response_writing writing)
{
    m_writing = std::move(writing);
    m_budget.m_written.insert(this);
}

response_buffer::response_buffer(response_buffer_budget& budget,
                                 engine_id server)
    : m_claim(budget, std::move(server))
{
}

status response_buffer::append(std::string_view bytes)
{
    const std::size_t size = m_body.size() + bytes.size();
    if (size > max_body_bytes)
    {
        return error{error_code::malformed, "response body exceeds 16 MiB"};
    }
    status claimed = m_claim.resize(size);
    if (is_ok(claimed))
    {
        append_tightly(m_body, bytes);
    }
    return claimed;
}

std::string response_buffer::take()
{
    return std::exchange(m_body, {});
}

} // namespace limpet::gateway

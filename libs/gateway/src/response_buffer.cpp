#include "response_buffer.hpp"

#include <utility>

namespace limpet::gateway
{

namespace
{

/// Largest body of one response.
constexpr std::size_t max_body_bytes = 16UL * 1024 * 1024;
/// Sizes up to this one do not count against the budget.
constexpr std::size_t small_bytes = 16UL * 1024;
/// Budget of the larger ones: a quarter of the smallest router's memory.
constexpr std::size_t total_bytes = 40UL * 1024 * 1024;
/// Share of the budget that one server may use.
constexpr std::size_t server_bytes = total_bytes / 2;

} // namespace

bool response_buffer_budget::try_take(const engine_id& server,
                                      std::size_t bytes)
{
    const auto found = m_taken_by_server.find(server);
    const std::size_t taken_before =
        found == m_taken_by_server.end() ? 0 : found->second;
    if (m_taken + bytes > total_bytes || taken_before + bytes > server_bytes)
    {
        return false;
    }
    m_taken += bytes;
    m_taken_by_server[server] = taken_before + bytes;
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
        m_body += bytes;
    }
    return claimed;
}

std::string response_buffer::take()
{
    m_claim.resize(0);
    return std::exchange(m_body, {});
}

} // namespace limpet::gateway

#include "response_buffer.hpp"

#include <utility>

namespace limpet::gateway
{

namespace
{

/// Largest body of one response.
constexpr std::size_t max_body_bytes = 16UL * 1024 * 1024;
/// Bodies up to this size do not count against the budget.
constexpr std::size_t small_body_bytes = 256UL * 1024;
/// Budget of the larger bodies: a quarter of the smallest router's memory.
constexpr std::size_t total_body_bytes = 40UL * 1024 * 1024;

} // namespace

bool response_buffer_budget::try_take(std::size_t bytes)
{
    if (m_taken + bytes > total_body_bytes)
    {
        return false;
    }
    m_taken += bytes;
    return true;
}

void response_buffer_budget::give_back(std::size_t bytes)
{
    m_taken -= bytes;
}

response_buffer::response_buffer(response_buffer_budget& budget)
    : m_budget(budget)
{
}

response_buffer::~response_buffer()
{
    m_budget.give_back(m_taken);
}

status response_buffer::append(std::string_view bytes)
{
    const std::size_t size = m_body.size() + bytes.size();
    if (size > max_body_bytes)
    {
        return error{error_code::malformed, "response body exceeds 16 MiB"};
    }
    if (size > small_body_bytes)
    {
        if (!m_budget.try_take(size - m_taken))
        {
            return error{error_code::overloaded,
                         "too many large response bodies are being received"};
        }
        m_taken = size;
    }
    m_body += bytes;
    return success();
}

std::string response_buffer::take()
{
    m_budget.give_back(std::exchange(m_taken, 0));
    return std::exchange(m_body, {});
}

} // namespace limpet::gateway

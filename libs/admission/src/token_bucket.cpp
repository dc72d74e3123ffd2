#include <limpet/admission/token_bucket.hpp>

#include <algorithm>

namespace limpet::admission
{

void token_bucket::refill(double rate, double capacity, time_point now)
{
    const duration passed = m_refilled_at ? now - *m_refilled_at : m_initial;
    m_tokens = std::min(capacity, m_tokens + rate * to_seconds(passed));
    m_refilled_at = now;
}

void token_bucket::take()
{
    m_tokens = std::max(0.0, m_tokens - 1);
}

std::optional<duration> token_bucket::time_to_token(double rate) const
{
    if (has_token())
    {
        return duration::zero();
    }
    if (rate <= 0)
    {
        return std::nullopt;
    }
    return from_seconds((1 - m_tokens) / rate);
}

} // namespace limpet::admission

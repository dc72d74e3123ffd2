#include <limpet/admission/retry_budget.hpp>

#include <algorithm>

namespace limpet::admission
{

retry_budget::retry_budget(double ratio, double burst)
    : m_ratio(ratio),
      m_burst(burst),
      m_tokens(burst)
{
}

void retry_budget::on_request()
{
    m_tokens = std::min(m_tokens + m_ratio, m_burst);
}

bool retry_budget::try_retry()
{
    if (m_tokens < 1)
    {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace limpet::admission

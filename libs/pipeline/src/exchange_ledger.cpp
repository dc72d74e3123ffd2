#include "exchange_ledger.hpp"

namespace limpet::pipeline
{

exchange_ledger::exchange_ledger(duration keep)
    : m_keep(keep)
{
}

bool exchange_ledger::begin(const request_id& exchange, time_point now)
{
    return remember(exchange, true, now);
}

bool exchange_ledger::query(const request_id& exchange, time_point now)
{
    remember(exchange, false, now);
    return m_opened.at(exchange);
}

bool exchange_ledger::remember(const request_id& exchange,
                               bool opened,
                               time_point now)
{
    while (!m_order.empty() && m_order.front().first + m_keep < now)
    {
        m_opened.erase(m_order.front().second);
        m_order.pop_front();
    }
    const bool added = m_opened.emplace(exchange, opened).second;
    if (added)
    {
        m_order.emplace_back(now, exchange);
    }
    return added;
}

} // namespace limpet::pipeline

#include "config_store.hpp"

namespace limpet::pipeline
{

config::view_ptr config_store::get() const
{
    const std::lock_guard lock(m_mutex);
    return m_view;
}

bool config_store::adopt(config::view_ptr received)
{
    const std::lock_guard lock(m_mutex);
    if (m_view && compare(received->where(), m_view->where()) !=
                      config::position_order::newer)
    {
        return false;
    }
    m_view = std::move(received);
    return true;
}

} // namespace limpet::pipeline

#include <limpet/config/position.hpp>

namespace limpet::config
{

position_order compare(const position& received, const position& in_force)
{
    if (received.group != in_force.group)
    {
        return position_order::diverged;
    }
    if (received.generation < in_force.generation)
    {
        return position_order::older;
    }
    const bool restored = received.generation > in_force.generation;
    if (received.number > in_force.number)
    {
        return position_order::newer;
    }
    if (restored)
    {
        return position_order::diverged;
    }
    if (received.number < in_force.number)
    {
        return position_order::older;
    }
    return received.digest == in_force.digest ? position_order::same
                                              : position_order::diverged;
}

} // namespace limpet::config

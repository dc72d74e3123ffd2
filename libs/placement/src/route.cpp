#include <limpet/placement/route.hpp>

#include <algorithm>

namespace limpet::placement
{

namespace
{

void append_once(engine_order& order, engine_index engine)
{
    const bool known =
        std::find(order.begin(), order.end(), engine) != order.end();
    if (!known && order.size() < order.capacity())
    {
        order.push_back(engine);
    }
}

} // namespace

route plan_route(const chooser& engines,
                 const route_request& request,
                 const route_settings& settings,
                 time_point now)
{
    const candidates found =
        engines.choose(request.chat, settings.tries, now - settings.settling);
    route result;
    result.home = found.order.front();
    if (request.returning && request.hint)
    {
        const auto hinted = engines.find(*request.hint);
        if (hinted)
        {
            append_once(result.order, *hinted);
        }
    }
    if (request.returning && found.settled)
    {
        append_once(result.order, *found.settled);
    }
    append_once(result.order, result.home);
    append_once(result.keepers, result.home);
    if (found.order.size() > 1)
    {
        append_once(result.keepers, found.order[1]);
    }
    if (found.settled)
    {
        append_once(result.keepers, *found.settled);
    }
    result.warm = result.order.size();
    for (const engine_index engine : found.order)
    {
        append_once(result.order, engine);
    }
    return result;
}

engine_order prefer_holders(const chooser& engines,
                            const engine_order& order,
                            const chat_holders& holders,
                            const engine_order& tried)
{
    engine_order result;
    const auto append_untried = [&](engine_index engine)
    {
        if (std::find(tried.begin(), tried.end(), engine) == tried.end())
        {
            append_once(result, engine);
        }
    };
    for (const chat_holder& holder : holders)
    {
        const auto engine = engines.find(holder.engine);
        if (engine && engines.engine(*engine).run == holder.run)
        {
            append_untried(*engine);
        }
    }
    for (const engine_index engine : order)
    {
        append_untried(engine);
    }
    return result;
}

} // namespace limpet::placement

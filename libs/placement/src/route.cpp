#include <limpet/placement/route.hpp>

#include <algorithm>

namespace limpet::placement
{

namespace
{

void append_unique(engine_order& order, engine_index engine)
{
    const bool contained =
        std::find(order.begin(), order.end(), engine) != order.end();
    if (!contained && order.size() < order.capacity())
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
    result.first_choice = found.order.front();
    if (request.returning && request.hint)
    {
        const auto hinted = engines.find(*request.hint);
        if (hinted)
        {
            append_unique(result.order, *hinted);
        }
    }
    if (request.returning && found.settled)
    {
        append_unique(result.order, *found.settled);
    }
    append_unique(result.order, result.first_choice);
    append_unique(result.directory_engines, result.first_choice);
    if (found.order.size() > 1)
    {
        append_unique(result.directory_engines, found.order[1]);
    }
    if (found.settled)
    {
        append_unique(result.directory_engines, *found.settled);
    }
    result.cache_candidate_count = result.order.size();
    for (const engine_index engine : found.order)
    {
        append_unique(result.order, engine);
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
            append_unique(result, engine);
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

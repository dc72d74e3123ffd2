#include <limpet/rollout/record.hpp>

#include <algorithm>
#include <utility>

namespace limpet::rollout
{

std::string_view to_string(phase value) noexcept
{
    switch (value)
    {
    case phase::observing:
        return "observing";
    case phase::switching:
        return "switching";
    case phase::completed:
        return "completed";
    case phase::rolled_back:
        return "rolled_back";
    }
    return "unknown";
}

bool may_advance(phase from, phase to) noexcept
{
    switch (from)
    {
    case phase::observing:
        return to == phase::switching || to == phase::rolled_back;
    case phase::switching:
        return is_finished(to);
    case phase::completed:
    case phase::rolled_back:
        break;
    }
    return false;
}

bool operator==(const record& a, const record& b)
{
    return a.service == b.service && a.target == b.target &&
           a.length == b.length && a.id == b.id && a.current == b.current &&
           a.elapsed == b.elapsed && a.superseded == b.superseded;
}

start_result start(record_map& rollouts,
                   const start_order& order,
                   rollout_id id,
                   std::set<std::string> versions)
{
    const auto found = rollouts.find(order.service);
    const rollout_id known =
        found == rollouts.end() ? rollout_id() : found->second.id;
    const bool is_running =
        found != rollouts.end() && !is_finished(found->second.current);
    if (known != order.replaces || is_running)
    {
        return found != rollouts.end() &&
                       found->second.target == order.target &&
                       found->second.length == order.length
                   ? start_result::repeated
                   : start_result::refused;
    }
    versions.erase(order.target);
    rollouts[order.service] = {order.service,
                               order.target,
                               order.length,
                               id,
                               phase::observing,
                               duration::zero(),
                               std::move(versions)};
    return start_result::started;
}

bool apply(record& current, const advance& step)
{
    const bool is_same_rollout =
        step.service == current.service && step.id == current.id;
    const bool is_possible =
        step.to == current.current || may_advance(current.current, step.to);
    if (!is_same_rollout || !is_possible || is_finished(current.current))
    {
        return false;
    }
    const record before = current;
    current.current = step.to;
    current.elapsed = std::max(current.elapsed, step.elapsed);
    return !(before == current);
}

} // namespace limpet::rollout

#include <limpet/gateway/protocol.hpp>

namespace limpet::gateway
{

const prompt_part& affinity_part_of(const std::vector<prompt_part>& parts)
{
    return parts.size() < 2 ? parts.front() : parts[parts.size() - 2];
}

std::string_view to_string(refusal_cause cause) noexcept
{
    switch (cause)
    {
    case refusal_cause::no_plan:
        return "no_plan";
    case refusal_cause::shutting_down:
        return "shutting_down";
    case refusal_cause::unknown_route:
        return "unknown_route";
    case refusal_cause::unknown_key:
        return "unknown_key";
    case refusal_cause::malformed:
        return "malformed";
    case refusal_cause::no_server:
        return "no_server";
    case refusal_cause::quarantined:
        return "quarantined";
    case refusal_cause::unknown_start:
        return "unknown_start";
    case refusal_cause::no_room:
        return "no_room";
    case refusal_cause::limited:
        return "limited";
    case refusal_cause::closed:
        return "closed";
    case refusal_cause::not_run:
        return "not_run";
    case refusal_cause::failed:
        return "failed";
    case refusal_cause::timed_out:
        return "timed_out";
    }
    return "unknown";
}

} // namespace limpet::gateway

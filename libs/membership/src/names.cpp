#include <limpet/membership/action.hpp>
#include <limpet/membership/announcement.hpp>
#include <limpet/membership/ownership.hpp>
#include <limpet/membership/router_record.hpp>

namespace limpet::membership
{

std::string_view to_string(router_state state) noexcept
{
    switch (state)
    {
    case router_state::alive:
        return "alive";
    case router_state::suspect:
        return "suspect";
    case router_state::dead:
        return "dead";
    case router_state::left:
        return "left";
    }
    return "unknown";
}

std::string_view to_string(server_kind kind) noexcept
{
    return kind == server_kind::engine ? "engine" : "service";
}

std::string_view to_string(ownership_mode mode) noexcept
{
    switch (mode)
    {
    case ownership_mode::none:
        return "none";
    case ownership_mode::limited:
        return "limited";
    case ownership_mode::full:
        return "full";
    }
    return "unknown";
}

std::string_view to_string(traffic kind) noexcept
{
    switch (kind)
    {
    case traffic::membership:
        return "membership";
    case traffic::announcements:
        return "announcements";
    case traffic::digests:
        return "digests";
    case traffic::ownership:
        return "ownership";
    }
    return "unknown";
}

} // namespace limpet::membership

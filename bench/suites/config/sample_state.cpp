#include "sample_state.hpp"

#include <cstdlib>
#include <malloc.h>

namespace limpet::bench
{

namespace
{

constexpr std::size_t templates_per_partner = 20;
constexpr std::size_t overrides_every = 4;

using namespace limpet::config;

partner_id partner_of(std::size_t index)
{
    return partner_id(index % 2 == 0 ? "bureau" : "utility");
}

template_id template_of(std::size_t index)
{
    const std::size_t place = index / 2 % templates_per_partner;
    return template_id(partner_of(index).get() + ".template" +
                       std::to_string(place));
}

team make_team(std::size_t index, std::uint32_t share)
{
    team out;
    out.id = team_id(partner_of(index).get() + ".team" + std::to_string(index));
    out.owner = partner_of(index);
    out.base = template_of(index);
    out.keys = {sha256(sample_key(index))};
    if (index % overrides_every == 0 || share != 0)
    {
        out.overrides.share = 100 + share;
        out.overrides.max_open_requests = 32;
    }
    return out;
}

team_template make_template(std::size_t index)
{
    team_template out;
    out.id = template_of(index);
    out.owner = partner_of(index);
    out.values.models = {model_id("forecast-large"),
                         model_id("forecast-small")};
    out.values.routes = {{"chat", true}, {"embeddings", true}};
    return out;
}

void put(state_machine& state, object value)
{
    command order;
    const std::uint64_t index = state.applied_index() + 1;
    order.operation = operation_id("setup-" + std::to_string(index));
    order.author = operator_id("root");
    order.what = put_object{std::move(value)};
    if (!std::holds_alternative<accepted>(state.apply(index, order)))
    {
        std::abort();
    }
}

} // namespace

std::string sample_key(std::size_t team)
{
    return "key-" + std::to_string(team);
}

state_machine make_sample_state(std::size_t teams)
{
    state_machine state(1);
    put(state, operator_account{operator_id("root"), {}, sha256("token")});
    for (std::size_t i = 0; i < 2; ++i)
    {
        put(state, partner{partner_of(i)});
    }
    for (std::size_t i = 0; i < 2 * templates_per_partner; ++i)
    {
        put(state, make_template(i));
    }
    for (std::size_t i = 0; i < teams; ++i)
    {
        put(state, make_team(i, 0));
    }
    return state;
}

command make_team_change(const state_machine& state,
                         std::size_t team,
                         std::uint64_t number)
{
    const auto share = static_cast<std::uint32_t>(1 + number % 1000);
    command order;
    order.operation = operation_id("change-" + std::to_string(number));
    order.author = operator_id("root");
    order.submitted_unix_ms = 1700000000000 + number;
    order.what = put_object{make_team(team, share)};
    order.expected = state.view()->mark_of(target_of(order.what))->changed_at;
    return order;
}

std::uint64_t heap_bytes()
{
    const auto used = mallinfo2();
    return used.uordblks + used.hblkhd;
}

} // namespace limpet::bench

#include "owned_engine.hpp"

#include <algorithm>

namespace limpet::pipeline
{

namespace
{

placement::engine_view make_engine_view(const membership::engine_record& from)
{
    placement::engine_view view;
    view.id = from.server.engine;
    view.run = from.server.started;
    view.data_centre = from.server.data_centre;
    view.slots = std::max<std::uint32_t>(1, from.server.slots);
    view.in_service = from.accepts_work();
    return view;
}

bool is_in_service(const membership::engine_record& record,
                   const config::config_view& view)
{
    return record.accepts_work() &&
           view.in_service(record.server.data_centre) &&
           view.in_service(record.server.engine);
}

} // namespace

void model_bound::recount(std::uint32_t& counted, std::uint32_t in_flight)
{
    own += in_flight;
    own -= counted;
    counted = in_flight;
    bound.set_own_in_flight(own);
}

owned_engine::owned_engine(const membership::engine_record& from,
                           std::shared_ptr<model_bound> model)
    : record(from),
      bound(std::move(model)),
      queue(admission::dispatcher_settings{}, make_engine_view(from))
{
}

void owned_engine::update(const membership::engine_record* latest,
                          const config::config_view& config,
                          time_point now)
{
    is_gone = latest == nullptr;
    if (is_gone)
    {
        set_in_service(false);
        return;
    }
    if (latest->server.started != record.server.started)
    {
        // A report of the new incarnation cuts the limit to the cold one.
        queue.report({latest->server.started, 0, {}}, now);
    }
    record = *latest;
    set_in_service(is_in_service(record, config));
}

void owned_engine::apply(const membership::ownership& standing)
{
    std::uint32_t most = UINT32_MAX;
    if (standing.mode == membership::ownership_mode::none)
    {
        most = 0;
    }
    if (standing.mode == membership::ownership_mode::limited)
    {
        most = placement::limit_settings{}.cold_limit;
    }
    queue.set_ownership(most,
                        standing.inherited ? standing.inherited->in_flight : 0);
}

std::vector<admission::dispatch_action> owned_engine::poll(time_point now)
{
    const std::lock_guard lock(bound->mutex);
    bound->recount(counted, queue.in_flight());
    auto actions = queue.poll(bound->bound, now);
    bound->recount(counted, queue.in_flight());
    return actions;
}

void owned_engine::set_in_service(bool value)
{
    if (value != in_service)
    {
        in_service = value;
        queue.set_in_service(value);
    }
}

bool owned_engine::is_unused() const
{
    return is_gone && queue.in_flight() == 0 && queue.waiting() == 0;
}

} // namespace limpet::pipeline

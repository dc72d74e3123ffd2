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

void model_bound::update_in_flight(std::uint32_t& counted,
                                   std::uint32_t in_flight)
{
    own_in_flight += in_flight;
    own_in_flight -= counted;
    counted = in_flight;
    bound.set_own_in_flight(own_in_flight);
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
    is_unlisted = latest == nullptr;
    if (is_unlisted)
    {
        set_in_service(false);
        return;
    }
    if (latest->server.started != record.server.started)
    {
        // Processing a report of the new incarnation reduces the limit to the
        // cold limit.
        queue.report({latest->server.started, 0, {}}, now);
    }
    record = *latest;
    set_in_service(is_in_service(record, config));
}

void owned_engine::apply_ownership(const membership::ownership& ownership)
{
    std::uint32_t max_in_flight = UINT32_MAX;
    if (ownership.mode == membership::ownership_mode::none)
    {
        max_in_flight = 0;
    }
    if (ownership.mode == membership::ownership_mode::limited)
    {
        max_in_flight = placement::limit_settings{}.cold_limit;
    }
    queue.set_ownership(max_in_flight,
                        ownership.inherited ? ownership.inherited->in_flight
                                            : 0);
}

std::vector<admission::dispatch_action> owned_engine::poll(time_point now)
{
    const std::lock_guard lock(bound->mutex);
    bound->update_in_flight(counted_in_flight, queue.in_flight());
    auto actions = queue.poll(bound->bound, now);
    bound->update_in_flight(counted_in_flight, queue.in_flight());
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
    return is_unlisted && queue.in_flight() == 0 && queue.waiting() == 0;
}

} // namespace limpet::pipeline

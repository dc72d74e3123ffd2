/// \file
/// State of one engine at its owner.

#pragma once

#include <limpet/admission/dispatcher.hpp>
#include <limpet/config/config_view.hpp>
#include <limpet/membership/engine_record.hpp>
#include <limpet/membership/ownership.hpp>
#include <limpet/placement/load_bound.hpp>

#include <cstdint>
#include <memory>
#include <mutex>

namespace limpet::pipeline
{

/// Load bound of one model. Under its own lock, which is taken after that of
/// an engine.
struct model_bound
{
    /// Replaces what one engine adds to this router's requests in flight.
    void recount(std::uint32_t& counted, std::uint32_t in_flight);

    std::mutex mutex;
    placement::load_bound bound{placement::load_bound_settings{}};
    /// Requests in flight on this router's engines of the model.
    std::uint64_t own = 0;
};

/// One engine's dispatcher and the facts that dispatching needs. All members
/// but the mutex are under it.
struct owned_engine
{
    owned_engine(const membership::engine_record& from,
                 std::shared_ptr<model_bound> model);

    /// Takes the engine's latest record, or null if the list has lost it, and
    /// the configuration.
    void update(const membership::engine_record* latest,
                const config::config_view& config,
                time_point now);

    /// Bounds the engine's load by this router's standing towards it.
    void apply(const membership::ownership& standing);

    /// Returns what to do with the waiting requests.
    std::vector<admission::dispatch_action> poll(time_point now);

    /// Takes the engine out of service here or back.
    void set_in_service(bool value);

    /// Returns whether the engine can be forgotten.
    bool is_unused() const;

    mutable std::mutex mutex;
    membership::engine_record record;
    std::shared_ptr<model_bound> bound;
    admission::dispatcher queue;
    /// Requests in flight that the model's bound has counted.
    std::uint32_t counted = 0;
    bool in_service = true;
    /// Whether the list of engines has lost it.
    bool is_gone = false;
};

using owned_engine_ptr = std::shared_ptr<owned_engine>;

} // namespace limpet::pipeline

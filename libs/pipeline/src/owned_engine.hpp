/// \file
/// State of one engine at the router that owns it.

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

/// Load bound of one model. Has its own mutex, which is locked after that of an
/// engine.
struct model_bound
{
    /// Replaces one engine's contribution `counted` to this router's requests
    /// in flight by `in_flight`.
    void update_in_flight(std::uint32_t& counted, std::uint32_t in_flight);

    std::mutex mutex;
    placement::load_bound bound{placement::load_bound_settings{}};
    /// Requests in flight on this router's engines of the model.
    std::uint64_t own_in_flight = 0;
};

/// An engine's dispatcher and the state that dispatching depends on. The mutex
/// guards all other members.
struct owned_engine
{
    owned_engine(const membership::engine_record& from,
                 std::shared_ptr<model_bound> model);

    /// Applies the engine's latest record, or null if the engine is no longer
    /// listed, and the configuration.
    void update(const membership::engine_record* latest,
                const config::config_view& config,
                time_point now);

    /// Limits the engine's load according to this router's ownership of it.
    void apply_ownership(const membership::ownership& ownership);

    /// Returns the dispatcher's actions for the waiting requests.
    std::vector<admission::dispatch_action> poll(time_point now);

    /// Sets whether the engine is in service at this router.
    void set_in_service(bool value);

    /// Returns whether the engine can be removed from the table.
    bool is_unused() const;

    mutable std::mutex mutex;
    membership::engine_record record;
    std::shared_ptr<model_bound> bound;
    admission::dispatcher queue;
    /// Requests in flight that are included in the model's load bound.
    std::uint32_t counted_in_flight = 0;
    bool in_service = true;
    /// Whether the engine is no longer in the engine list.
    bool is_unlisted = false;
};

using owned_engine_ptr = std::shared_ptr<owned_engine>;

} // namespace limpet::pipeline

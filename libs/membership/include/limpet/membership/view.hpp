/// \file
/// Immutable snapshot of the routers, engines and owners of a region.

#pragma once

#include <limpet/membership/engine_record.hpp>
#include <limpet/membership/router_record.hpp>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace limpet::membership
{

/// An engine and its owner within a snapshot.
struct engine_entry
{
    engine_ptr engine;
    /// Index into view::routers(), or no_router.
    std::uint32_t owner = no_router;

    static constexpr std::uint32_t no_router = UINT32_MAX;
};

/// Snapshot of a region as one router sees it. Thread-safe because it is
/// immutable. Hold it by shared pointer while using the references and pointers
/// that it returns.
class view
{
public:
    /// Builds a snapshot and computes the owner of each engine. Engine records
    /// are shared, not copied.
    view(std::uint64_t version,
         std::vector<router_record> routers,
         std::vector<engine_ptr> engines);

    /// Returns a number that increases with each change.
    std::uint64_t version() const noexcept
    {
        return m_version;
    }

    /// Returns the member routers, ordered by VM.
    const std::vector<router_record>& routers() const noexcept
    {
        return m_routers;
    }

    /// Returns all engines that are not gone, ordered by the hash of their id.
    /// Every router has the same order.
    const std::vector<engine_entry>& engines() const noexcept
    {
        return m_engines;
    }

    /// Returns the member router, or null if it is not a member.
    const router_record* find_router(const vm_id& vm) const;

    /// Returns the engine, or null if it is unknown or gone.
    const engine_entry* find_engine(const engine_id& engine) const;

    /// Returns indexes into engines() of the servers that serve the model.
    const std::vector<std::uint32_t>& engines_of(const model_id& model) const;

    /// Returns the owner of the engine, or null if the engine is unknown or
    /// the region has no router.
    const router_record* owner_of(const engine_id& engine) const;

private:
    void assign_owners();

    std::uint64_t m_version;
    std::vector<router_record> m_routers;
    std::vector<engine_entry> m_engines;
    /// Hashes of the engines' ids, in the order of the engines.
    std::vector<std::uint64_t> m_keys;
    std::unordered_map<model_id, std::vector<std::uint32_t>> m_models;
};

} // namespace limpet::membership

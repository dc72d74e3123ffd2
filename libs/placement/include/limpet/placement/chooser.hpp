/// \file
/// Weighted rendezvous hashing of chats over the engines of one model.

#pragma once

#include <limpet/placement/chat_key.hpp>
#include <limpet/placement/engine_view.hpp>

#include <boost/container/static_vector.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace limpet::placement
{

/// Maximum number of engines considered for one request.
inline constexpr std::size_t max_candidates = 8;

/// Index of an engine within a chooser.
using engine_index = std::uint32_t;

/// Engine indices in order of preference.
using engine_order =
    boost::container::static_vector<engine_index, max_candidates>;

/// Result of rendezvous hashing for one chat.
struct candidates
{
    /// Engines with the highest scores for the chat, best first.
    engine_order order;
    /// The highest-scoring engine among those that joined before the settling
    /// cutoff. Equal to order.front() unless a more recently joined engine
    /// scores higher. Empty if all engines joined after the cutoff.
    std::optional<engine_index> settled;
};

/// Immutable set of the in-service engines of one model. Routers with the same
/// engine list compute the same result. Safe for concurrent readers.
class chooser
{
public:
    /// Builds the set from all engines of the model. Engines that are out of
    /// service or have no positive weight are excluded.
    explicit chooser(const std::vector<engine_view>& engines);

    /// Returns the number of engines in service.
    std::size_t size() const noexcept;

    /// Returns the engine at `index`, which must be less than size().
    const engine_view& engine(engine_index index) const;

    /// Returns the index of the engine, or nothing if the engine is unknown or
    /// out of service.
    std::optional<engine_index> find(const engine_id& id) const;

    /// Returns the chat's highest-scoring engines, at most `count` and at most
    /// max_candidates of them. `settled_before` is the latest join time at
    /// which an engine counts as settled.
    candidates
    choose(chat_key chat, std::size_t count, time_point settled_before) const;

private:
    /// Engines of equal weight. Within a class, scores order as the raw hashes
    /// do, so the hashes are compared without computing scores.
    struct weight_class
    {
        double weight = 1;
        std::vector<std::uint64_t> hashes;
        std::vector<time_point> joined;
        std::vector<engine_index> engines;
    };

    std::vector<engine_view> m_engines;
    std::vector<weight_class> m_classes;
    std::unordered_map<engine_id, engine_index> m_index;
};

} // namespace limpet::placement

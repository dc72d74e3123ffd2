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

/// Most engines that one request considers.
inline constexpr std::size_t max_candidates = 8;

/// Position of an engine within a chooser.
using engine_index = std::uint32_t;

/// Engines in the order of preference.
using engine_order =
    boost::container::static_vector<engine_index, max_candidates>;

/// Engines that rendezvous hashing gives a chat.
struct candidates
{
    /// The chat's first choices, best first.
    engine_order order;
    /// The engine that was the first choice before the engines that joined
    /// after the settling time did. Equal to order.front() if none of them
    /// came before it. Empty if all engines joined after it.
    std::optional<engine_index> settled;
};

/// Immutable set of the engines in service of one model. Every router that
/// has the same list returns the same choices. Safe for concurrent readers.
class chooser
{
public:
    /// Takes all engines of the model; those out of service are left out.
    explicit chooser(const std::vector<engine_view>& engines);

    /// Returns the number of engines in service.
    std::size_t size() const noexcept;

    /// Returns the engine at the position, which must be below size().
    const engine_view& engine(engine_index index) const;

    /// Returns the position of the engine, or nothing if it is unknown or out
    /// of service.
    std::optional<engine_index> find(const engine_id& id) const;

    /// Returns the chat's first choices, at most max_candidates and at most
    /// `count` of them. `settled_before` separates engines that joined
    /// recently from settled ones.
    candidates
    choose(chat_key chat, std::size_t count, time_point settled_before) const;

private:
    /// Engines of equal weight, so that their raw hashes can be compared.
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

/// \file
/// Recent versions of the document in force.

#pragma once

#include <limpet/directory/update.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace limpet::control
{

/// Keeps the most recent documents, so that a subscriber that holds one of them
/// can be sent a delta. Not thread-safe.
class document_history
{
public:
    /// Adds the document of the orders in force, unless orders of this or a
    /// higher index were added before.
    void add(const directory::intent& orders);

    /// Returns the delta from the document at the index to the newest one, or
    /// nullopt if that document is not kept.
    std::optional<directory::document_change> change_since(std::uint64_t index);

private:
    struct version
    {
        std::uint64_t index = 0;
        std::shared_ptr<const directory::stored_document> document;
    };

    std::deque<version> m_versions;
    /// Cached deltas to the newest document by the index of their base.
    std::map<std::uint64_t, directory::document_change> m_changes;
};

} // namespace limpet::control

/// \file
/// Documents that were in force lately.

#pragma once

#include <limpet/directory/update.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace limpet::control
{

/// Keeps the latest documents, so that a subscriber that holds one of them is
/// told only what changed. Not thread-safe.
class document_history
{
public:
    /// Adds the orders in force, unless they were added before.
    void add(const directory::intent& orders);

    /// Returns the change from the document at the index to the newest one,
    /// or nothing if that document is not kept.
    std::optional<directory::document_change> change_since(std::uint64_t index);

private:
    struct version
    {
        std::uint64_t index = 0;
        std::shared_ptr<const directory::stored_document> document;
    };

    std::deque<version> m_versions;
    /// Changes to the newest document by the index they begin at.
    std::map<std::uint64_t, directory::document_change> m_changes;
};

} // namespace limpet::control

/// \file
/// A document as it is kept.

#pragma once

#include <limpet/directory/packed_text.hpp>

#include <memory>
#include <optional>
#include <string>

namespace limpet::directory
{

/// The text of a document, and its packed form once it was needed. The text
/// never changes. Not thread-safe.
class stored_document
{
public:
    explicit stored_document(std::string text);

    /// Errors: corrupt.
    static outcome<std::shared_ptr<const stored_document>>
    unpack(packed_text packed);

    const std::string& text() const noexcept
    {
        return m_text;
    }

    const packed_text& packed() const;

private:
    std::string m_text;
    mutable std::optional<packed_text> m_packed;
};

} // namespace limpet::directory

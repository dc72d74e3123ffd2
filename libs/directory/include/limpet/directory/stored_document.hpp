/// \file
/// Configuration document in memory.

#pragma once

#include <limpet/directory/compressed_text.hpp>

#include <memory>
#include <optional>
#include <string>

namespace limpet::directory
{

/// The text of a document with its compressed form, which is computed on first
/// use. The text is immutable. Not thread-safe.
class stored_document
{
public:
    explicit stored_document(std::string text);

    /// Decompresses a document. Errors: corrupt.
    static outcome<std::shared_ptr<const stored_document>>
    decompress(compressed_text compressed);

    const std::string& text() const noexcept
    {
        return m_text;
    }

    /// Returns the compressed form, computing it on the first call.
    const compressed_text& packed() const;

private:
    std::string m_text;
    mutable std::optional<compressed_text> m_compressed;
};

} // namespace limpet::directory

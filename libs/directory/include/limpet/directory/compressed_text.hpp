/// \file
/// Text that is stored and sent in compressed form.

#pragma once

#include <limpet/base/outcome.hpp>

#include <string>
#include <string_view>

namespace limpet::directory
{

/// A text compressed with zlib. Documents shrink to about a tenth of their
/// size, which matters because control replicas have little bandwidth.
class compressed_text
{
public:
    compressed_text() = default;

    /// Takes compressed bytes, which are validated only by decompress().
    explicit compressed_text(std::string bytes);

    static compressed_text compress(std::string_view text);

    /// Returns the text. Errors: corrupt if the bytes are damaged or the text
    /// is larger than any document may be.
    outcome<std::string> decompress() const;

    const std::string& bytes() const noexcept
    {
        return m_bytes;
    }

private:
    std::string m_bytes;
};

} // namespace limpet::directory

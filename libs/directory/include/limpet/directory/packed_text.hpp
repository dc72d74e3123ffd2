/// \file
/// Text that is kept and sent compressed.

#pragma once

#include <limpet/base/outcome.hpp>

#include <string>
#include <string_view>

namespace limpet::directory
{

/// A compressed text. Documents shrink to about a tenth, which matters on the
/// narrow links of control replicas.
class packed_text
{
public:
    packed_text() = default;

    /// Takes bytes that bytes() returned, unchecked until unpack().
    explicit packed_text(std::string bytes);

    static packed_text pack(std::string_view text);

    /// Returns the text. Errors: corrupt, also for a text that is larger than
    /// any document may be.
    outcome<std::string> unpack() const;

    const std::string& bytes() const noexcept
    {
        return m_bytes;
    }

private:
    std::string m_bytes;
};

} // namespace limpet::directory

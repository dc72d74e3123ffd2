/// \file
/// Growth of texts that are received piece by piece.

#pragma once

#include <algorithm>
#include <string>
#include <string_view>

namespace limpet
{

/// Appends the bytes and lets the text grow by a quarter, and not to twice its
/// size, so that large texts take little more memory than they have bytes.
inline void append_tightly(std::string& text, std::string_view bytes)
{
    const std::size_t size = text.size() + bytes.size();
    if (size > text.capacity())
    {
        // The string's own functions would at least double it.
        std::string larger;
        larger.reserve(std::max(size, text.capacity() * 5 / 4));
        larger.append(text);
        text.swap(larger);
    }
    text.append(bytes);
}

} // namespace limpet

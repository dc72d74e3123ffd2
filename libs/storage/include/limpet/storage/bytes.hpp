/// \file
/// Little-endian encoding of stored records.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace limpet::storage
{

/// Appends an integer in little-endian order.
template <class Integer>
void put(std::string& out, Integer value)
{
    constexpr unsigned bits_per_byte = 8;
    auto rest = static_cast<std::uint64_t>(value);
    for (std::size_t i = 0; i < sizeof(Integer); ++i)
    {
        out.push_back(static_cast<char>(rest & 0xFFU));
        rest >>= bits_per_byte;
    }
}

/// Appends a string, prefixed by its length as a 32-bit integer.
inline void put_text(std::string& out, std::string_view text)
{
    put(out, static_cast<std::uint32_t>(text.size()));
    out.append(text);
}

/// Decodes bytes written by put() and put_text(). Reading past the end returns
/// zero or an empty string and makes ok() false.
class byte_reader
{
public:
    explicit byte_reader(std::string_view bytes)
        : m_rest(bytes)
    {
    }

    template <class Integer>
    Integer get()
    {
        constexpr unsigned bits_per_byte = 8;
        if (m_rest.size() < sizeof(Integer))
        {
            m_ok = false;
            return Integer{};
        }
        std::uint64_t value = 0;
        for (std::size_t i = sizeof(Integer); i > 0; --i)
        {
            value <<= bits_per_byte;
            value |= static_cast<unsigned char>(m_rest[i - 1]);
        }
        m_rest.remove_prefix(sizeof(Integer));
        return static_cast<Integer>(value);
    }

    std::string_view get_text()
    {
        const auto size = get<std::uint32_t>();
        if (m_rest.size() < size)
        {
            m_ok = false;
            return {};
        }
        const std::string_view text = m_rest.substr(0, size);
        m_rest.remove_prefix(size);
        return text;
    }

    /// Returns whether no read went past the end.
    bool ok() const noexcept
    {
        return m_ok;
    }

    /// Returns whether no read went past the end and all bytes were read.
    bool finished() const noexcept
    {
        return m_ok && m_rest.empty();
    }

private:
    std::string_view m_rest;
    bool m_ok = true;
};

} // namespace limpet::storage

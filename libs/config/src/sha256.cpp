#include <limpet/config/sha256.hpp>

#include <openssl/evp.h>

#include <cstdlib>
#include <optional>

namespace limpet::config
{

namespace
{

constexpr std::string_view hex_digits = "0123456789abcdef";

std::optional<unsigned> hex_value(char digit)
{
    if (digit >= '0' && digit <= '9')
    {
        return digit - '0';
    }
    if (digit >= 'a' && digit <= 'f')
    {
        return digit - 'a' + 10;
    }
    if (digit >= 'A' && digit <= 'F')
    {
        return digit - 'A' + 10;
    }
    return std::nullopt;
}

} // namespace

std::string_view sha256_digest::view() const noexcept
{
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

sha256_digest sha256(std::string_view bytes)
{
    sha256_digest digest;
    unsigned size = 0;
    const int done = EVP_Digest(bytes.data(),
                                bytes.size(),
                                digest.bytes.data(),
                                &size,
                                EVP_sha256(),
                                nullptr);
    if (done != 1 || size != digest.bytes.size())
    {
        std::abort();
    }
    return digest;
}

std::string to_hex(const sha256_digest& digest)
{
    std::string text;
    text.reserve(2 * digest.bytes.size());
    for (const std::uint8_t byte : digest.bytes)
    {
        text += hex_digits[byte >> 4];
        text += hex_digits[byte & 15];
    }
    return text;
}

outcome<sha256_digest> parse_sha256(std::string_view hex)
{
    const error malformed{error_code::invalid_argument,
                          "must be 64 hexadecimal digits"};
    sha256_digest digest;
    if (hex.size() != 2 * digest.bytes.size())
    {
        return malformed;
    }
    for (std::size_t i = 0; i < digest.bytes.size(); ++i)
    {
        const auto high = hex_value(hex[2 * i]);
        const auto low = hex_value(hex[2 * i + 1]);
        if (!high || !low)
        {
            return malformed;
        }
        digest.bytes[i] = static_cast<std::uint8_t>(*high << 4 | *low);
    }
    return digest;
}

} // namespace limpet::config

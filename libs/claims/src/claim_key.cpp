#include <limpet/claims/claim_key.hpp>

#include <openssl/evp.h>

#include <array>
#include <cstdlib>
#include <string>

namespace limpet::claims
{

namespace
{

std::uint64_t read_number(const std::uint8_t* bytes)
{
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < sizeof(number); ++i)
    {
        number = number << 8 | bytes[i];
    }
    return number;
}

} // namespace

claim_key claim_key_of(const team_id& team, const idempotency_key& key)
{
    // The length prefix distinguishes "a" + "bc" from "ab" + "c".
    std::string text = std::to_string(team.get().size()) + ':';
    text += team.get();
    text += key.get();
    std::array<std::uint8_t, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    const int hashed = EVP_Digest(
        text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    if (hashed != 1)
    {
        std::abort();
    }
    return {read_number(digest.data()), read_number(digest.data() + 8)};
}

} // namespace limpet::claims

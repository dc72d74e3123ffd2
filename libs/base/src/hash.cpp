#include <limpet/base/hash.hpp>

#include <xxhash.h>

#include <array>

namespace limpet
{

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t combine_hashes(std::uint64_t first, std::uint64_t second) noexcept
{
    const std::array<std::uint64_t, 2> words{first, second};
    return XXH3_64bits(words.data(), sizeof(words));
}

} // namespace limpet

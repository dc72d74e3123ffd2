#include <limpet/base/random.hpp>

#include <cmath>

namespace limpet
{

random_source::random_source(std::uint64_t seed)
    : m_engine(seed)
{
}

std::uint64_t random_source::next()
{
    return m_engine();
}

std::uint64_t random_source::below(std::uint64_t bound)
{
    // Draws under the threshold would favour small results.
    const std::uint64_t threshold = (0 - bound) % bound;
    std::uint64_t draw = next();
    while (draw < threshold)
    {
        draw = next();
    }
    return draw % bound;
}

double random_source::uniform()
{
    constexpr int unused_bits = 11;
    constexpr double scale = 0x1.0p-53;
    return static_cast<double>(next() >> unused_bits) * scale;
}

double random_source::exponential(double mean)
{
    return -mean * std::log1p(-uniform());
}

bool random_source::chance(double probability)
{
    return uniform() < probability;
}

} // namespace limpet

/// \file
/// Wrapper that gives each identifier and unit a type of its own.

#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace limpet
{

/// A value of type Rep that does not mix with values of another Tag.
template <class Tag, class Rep>
class strong_type
{
public:
    using rep = Rep;

    strong_type() = default;

    explicit strong_type(Rep value)
        : m_value(std::move(value))
    {
    }

    /// Returns the wrapped value.
    const Rep& get() const noexcept
    {
        return m_value;
    }

    // The check mistakes the rewritten comparisons with 0 for null pointers.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const strong_type&, const strong_type&) = default;

private:
    Rep m_value{};
};

} // namespace limpet

template <class Tag, class Rep>
struct std::hash<limpet::strong_type<Tag, Rep>>
{
    std::size_t
    operator()(const limpet::strong_type<Tag, Rep>& value) const noexcept
    {
        return std::hash<Rep>{}(value.get());
    }
};

/// \file
/// Result type that holds a value or an error.

#pragma once

#include <limpet/base/error.hpp>

#include <utility>
#include <variant>

namespace limpet
{

/// A value of type T or an error.
template <class T>
using outcome = std::variant<T, error>;

/// An outcome without a value.
using status = outcome<std::monostate>;

/// Returns the status of an operation that succeeded.
inline status success()
{
    return std::monostate{};
}

/// Returns whether the outcome holds a value.
template <class T>
bool is_ok(const outcome<T>& result) noexcept
{
    return result.index() == 0;
}

/// Returns the value. The outcome must hold one.
template <class T>
T& value_of(outcome<T>& result)
{
    return std::get<0>(result);
}

/// \copydoc value_of
template <class T>
const T& value_of(const outcome<T>& result)
{
    return std::get<0>(result);
}

/// \copydoc value_of
template <class T>
T&& value_of(outcome<T>&& result)
{
    return std::get<0>(std::move(result));
}

/// Returns the error. The outcome must hold one.
template <class T>
const error& error_of(const outcome<T>& result)
{
    return std::get<1>(result);
}

} // namespace limpet

/// \file
/// Limits how often something happens.

#pragma once

#include <limpet/base/units.hpp>

#include <optional>

namespace limpet::admission
{

/// Collects tokens at a rate that may change. Starts with the tokens of an
/// initial time. Takes the time as an argument; not thread-safe.
class token_bucket
{
public:
    token_bucket() = default;
    explicit token_bucket(duration initial)
        : m_initial(initial)
    {
    }

    /// Adds the tokens since the last call, at `rate` tokens a second and up to
    /// the capacity.
    void refill(double rate, double capacity, time_point now);

    bool has_token() const noexcept
    {
        return m_tokens >= 1;
    }

    /// Removes a token, if there is one.
    void take();

    /// Removes the next token ahead of time.
    void reserve()
    {
        m_tokens -= 1;
    }

    /// Returns after which time there is a token at this rate; nothing if there
    /// never is.
    std::optional<duration> time_to_token(double rate) const;

private:
    duration m_initial{};
    double m_tokens = 0;
    std::optional<time_point> m_refilled_at;
};

} // namespace limpet::admission

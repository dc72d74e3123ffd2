/// \file
/// Bodies of responses that are received whole before they are forwarded.

#pragma once

#include <limpet/base/outcome.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace limpet::gateway
{

/// Bound on the bodies of all response_buffers together. Small bodies do not
/// count, so that a server that sends without end cannot make the responses of
/// others fail. Used on one thread.
class response_buffer_budget
{
public:
    /// Takes bytes from the budget if there are as many.
    bool try_take(std::size_t bytes);

    void give_back(std::size_t bytes);

private:
    std::size_t m_taken = 0;
};

/// The body of one response. The budget must outlive it.
class response_buffer
{
public:
    explicit response_buffer(response_buffer_budget& budget);
    ~response_buffer();

    response_buffer(const response_buffer&) = delete;
    response_buffer& operator=(const response_buffer&) = delete;

    /// Errors: malformed if the body is too large, overloaded if the budget is
    /// used up.
    status append(std::string_view bytes);

    /// Returns the body and leaves the buffer empty.
    std::string take();

private:
    response_buffer_budget& m_budget;
    std::string m_body;
    std::size_t m_taken = 0;
};

} // namespace limpet::gateway

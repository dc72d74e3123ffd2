/// \file
/// Memory of responses that are received before they are forwarded.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/outcome.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace limpet::gateway
{

/// Bound on the memory of all responses together, and of those of each server,
/// so that a server that sends without end cannot make the responses of others
/// fail. Used on one thread.
class response_buffer_budget
{
public:
    /// Takes bytes from the budget if there are as many.
    bool try_take(const engine_id& server, std::size_t bytes);

    void give_back(const engine_id& server, std::size_t bytes);

private:
    std::size_t m_taken = 0;
    std::map<engine_id, std::size_t> m_taken_by_server;
};

/// What one response takes from the budget, which must outlive it. Sizes up to
/// 16 KiB do not count.
class buffer_claim
{
public:
    buffer_claim(response_buffer_budget& budget, engine_id server);
    ~buffer_claim();

    buffer_claim(const buffer_claim&) = delete;
    buffer_claim& operator=(const buffer_claim&) = delete;

    /// Sets the size of what is kept of the response, in bytes. Errors:
    /// overloaded if the budget or the server's share is used up; the claim is
    /// then as before.
    status resize(std::size_t bytes);

private:
    response_buffer_budget& m_budget;
    engine_id m_server;
    std::size_t m_taken = 0;
};

/// The body of one response. The budget must outlive it.
class response_buffer
{
public:
    response_buffer(response_buffer_budget& budget, engine_id server);

    /// Errors: malformed if the body is too large, overloaded if the budget is
    /// used up.
    status append(std::string_view bytes);

    /// Returns the body and leaves the buffer empty.
    std::string take();

private:
    buffer_claim m_claim;
    std::string m_body;
};

} // namespace limpet::gateway

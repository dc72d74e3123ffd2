/// \file
/// Memory of responses that are kept before callers have taken them.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/outcome.hpp>
#include <limpet/base/units.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace limpet::gateway
{

class buffer_claim;

/// Bound on the memory of all responses together, and of those of each server,
/// so that a server that sends without end cannot make the responses of others
/// fail. Responses whose callers have stopped to take them yield to those that
/// need room. Used on one thread.
class response_buffer_budget
{
public:
    /// Budget of a router without a setting for its memory.
    static constexpr std::size_t default_bytes = 40UL * 1024 * 1024;
    /// Time without a byte taken after which a response yields its room.
    static constexpr duration unread_time = seconds(2);

    response_buffer_budget()
        : response_buffer_budget(default_bytes)
    {
    }

    explicit response_buffer_budget(std::size_t total_bytes);

    std::size_t used_bytes() const noexcept
    {
        return m_taken;
    }

private:
    friend class buffer_claim;

    /// Takes bytes from the budget if there are as many, or if responses that
    /// are not read can give them.
    bool try_take(const engine_id& server, std::size_t bytes);
    void give_back(const engine_id& server, std::size_t bytes);
    bool fits(const engine_id& server, std::size_t bytes) const;
    bool evict_one();

    std::size_t m_total;
    std::size_t m_server_total;
    std::size_t m_taken = 0;
    std::map<engine_id, std::size_t> m_taken_by_server;
    /// Claims of responses that are being written to their callers.
    std::set<buffer_claim*> m_written;
};

/// How the budget sees and ends a response that is being written.
struct response_writing
{
    /// Returns since when the caller has taken no byte, if so.
    std::function<std::optional<time_point>()> blocked_since;
    /// Ends the response. Called at most once.
    std::function<void()> end;
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

    /// Lets the response yield its room if its caller does not take it.
    void begin_writing(response_writing writing);

private:
    friend class response_buffer_budget;

    response_buffer_budget& m_budget;
    engine_id m_server;
    std::size_t m_taken = 0;
    response_writing m_writing;
};

/// The body of one response. The budget must outlive it.
class response_buffer
{
public:
    response_buffer(response_buffer_budget& budget, engine_id server);

    /// Errors: malformed if the body is too large, overloaded if the budget is
    /// used up.
    status append(std::string_view bytes);

    /// Returns the body, which counts against the budget until the buffer is
    /// destroyed.
    std::string take();

    /// Lets the response yield its room if its caller does not take it.
    void begin_writing(response_writing writing)
    {
        m_claim.begin_writing(std::move(writing));
    }

private:
    buffer_claim m_claim;
    std::string m_body;
};

} // namespace limpet::gateway

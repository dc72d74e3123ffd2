/// \file
/// An owner's record of the requests that it received from entry routers.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/units.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>

namespace limpet::claims
{

/// Bounds of the ledger.
struct ledger_limits
{
    /// Requests remembered in all.
    std::size_t capacity = 200000;
    /// Time for which finished and refused requests are remembered. Longer
    /// than the longest deadline and than any link to a router that has a
    /// newer link lives on.
    duration retention = seconds(600);
};

/// What the owner does with a request that arrives.
enum class arrival
{
    run,       ///< First arrival; it may be dispatched.
    duplicate, ///< Arrived before; it must not be dispatched again.
    refused,   ///< Promised never to run; answer that it was not run.
    full,      ///< No room to remember it; answer that it was not run.
};

/// What the owner knows about a request that an entry router asks for.
enum class request_state
{
    /// Never arrived and never will be run: the entry may send it elsewhere.
    not_run,
    /// Arrived and has not finished: wait for it or cancel it.
    running,
    /// Finished in this incarnation; its answer may be lost.
    finished,
    /// It was sent to an earlier incarnation, of which nothing is known. The
    /// entry must treat the outcome as unknown.
    other_incarnation,
    /// No room to remember the promise, so none is made. The outcome is
    /// unknown to the entry until it can ask again.
    no_promise,
};

std::string_view to_string(request_state state) noexcept;

/// Lets an entry router find out, over a new link, whether a request that it
/// sent over a lost link may still run. Request ids are unique for ever.
/// State is lost with the process, so each answer is for one incarnation: an
/// entry names the incarnation that it sent the request to, which it learnt
/// from the link's handshake. Not thread-safe.
class dispatch_ledger
{
public:
    dispatch_ledger(incarnation own, const ledger_limits& limits);

    /// Notes that the request arrived.
    arrival arrive(const request_id& request, time_point now);

    /// Notes that the request ended. Unknown requests are ignored.
    void finish(const request_id& request, time_point now);

    /// Returns the state of a request that was sent to the given incarnation.
    /// One that never arrived is refused from then on.
    request_state
    query(const request_id& request, incarnation sent_to, time_point now);

    /// Returns the number of requests remembered.
    std::size_t size() const noexcept
    {
        return m_requests.size();
    }

private:
    enum class phase : std::uint8_t
    {
        running,
        finished,
        refused,
    };

    struct due
    {
        time_point at;
        request_id request;
    };

    void expire(time_point now);
    bool full() const noexcept;

    incarnation m_own;
    ledger_limits m_limits;
    std::unordered_map<request_id, phase> m_requests;
    std::deque<due> m_due;
};

} // namespace limpet::claims

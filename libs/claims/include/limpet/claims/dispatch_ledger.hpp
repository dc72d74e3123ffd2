/// \file
/// Record of the requests that an owner router received from entry routers.

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

/// Limits of the ledger.
struct ledger_limits
{
    /// Maximum number of remembered requests.
    std::size_t capacity = 200000;
    /// Time for which finished and refused requests are remembered. Must be
    /// longer than the longest deadline, and longer than an old link of a
    /// router can stay open after the router opened a newer one.
    duration retention = seconds(600);
};

/// What the owner must do with a request that arrives.
enum class arrival
{
    run,       ///< First arrival; it may be dispatched.
    duplicate, ///< Repeated arrival; it must not be dispatched again.
    refused,   ///< An earlier query was answered not_run; answer not run.
    full,      ///< The ledger is full; answer that it was not run.
};

/// State of a request that an entry router queries.
enum class request_state
{
    /// The request has not arrived and will not be run if it still arrives. The
    /// entry router may send it elsewhere.
    not_run,
    /// The request arrived and has not finished. The entry router may wait for
    /// it or cancel it.
    running,
    /// The request finished in this incarnation. Its answer may be lost.
    finished,
    /// The request was sent to another incarnation, of which this one has no
    /// record. The entry router must treat the outcome as unknown.
    other_incarnation,
    /// The request has not arrived, but the ledger is too full to record that
    /// it must not be run if it still arrives. The outcome is unknown to the
    /// entry router until a later query succeeds.
    no_promise,
};

/// Returns the name of the state.
std::string_view to_string(request_state state) noexcept;

/// Answers, over a new link, whether a request that an entry router sent over a
/// lost link may still run. Request ids are never reused. The ledger is lost
/// with the process, so each answer holds for one incarnation of the owner
/// only: the entry router names the incarnation that it sent the request to,
/// which it received in the link's handshake. Not thread-safe.
class dispatch_ledger
{
public:
    dispatch_ledger(incarnation own, const ledger_limits& limits);

    /// Records that the request arrived.
    arrival arrive(const request_id& request, time_point now);

    /// Records that the request finished. Unknown requests are ignored.
    void finish(const request_id& request, time_point now);

    /// Returns the state of a request that was sent to the given incarnation. A
    /// request that is reported as not_run is refused if it arrives later.
    request_state
    query(const request_id& request, incarnation sent_to, time_point now);

    /// Returns the number of remembered requests.
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

    struct expiry
    {
        time_point at;
        request_id request;
    };

    void expire(time_point now);
    bool is_full() const noexcept;

    incarnation m_own;
    ledger_limits m_limits;
    std::unordered_map<request_id, phase> m_requests;
    std::deque<expiry> m_expiries;
};

} // namespace limpet::claims

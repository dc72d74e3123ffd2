/// \file
/// Faults that tests inject into a fake backend server.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/base/units.hpp>

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace limpet::standin
{

/// Closes the connection after the given number of events.
struct disconnect_fault
{
    std::uint64_t after_events = 0;
};

/// Ends the body regularly, but without the closing event, after the given
/// number of events.
struct truncate_fault
{
    std::uint64_t after_events = 0;
};

/// Answers with the id of another request.
struct wrong_request_id_fault
{
    std::string request;
};

/// Delays the answer.
struct delay_fault
{
    duration delay{};
};

/// Accepts the request and never answers it.
struct hang_fault
{
};

/// Answers with an error status without running the request.
struct error_status_fault
{
    unsigned status = 503;
};

using fault = std::variant<disconnect_fault,
                           truncate_fault,
                           wrong_request_id_fault,
                           delay_fault,
                           hang_fault,
                           error_status_fault>;

/// Injects one kind of fault into the next requests.
struct fault_order
{
    fault kind;
    /// Number of requests that fail.
    std::uint64_t times = 1;
};

/// Parses a fault order, such as
/// {"kind": "die", "after_events": 3, "times": 2}.
outcome<fault_order> parse_fault_order(std::string_view text);

/// First-in, first-out queue of fault orders. Thread-safe.
class fault_queue
{
public:
    void add(fault_order order);

    /// Consumes and returns the fault to inject into the next request, or
    /// nothing if the queue is empty.
    std::optional<fault> take();

    void clear();

private:
    std::mutex m_mutex;
    std::deque<fault_order> m_orders;
};

} // namespace limpet::standin

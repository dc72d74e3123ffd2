/// \file
/// Faults that tests switch on at a fake backend server.

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

/// Sends so many events, then closes the connection.
struct die_fault
{
    std::uint64_t after_events = 0;
};

/// Sends so many events, then ends the body regularly without the closing
/// event.
struct truncate_fault
{
    std::uint64_t after_events = 0;
};

/// Answers under another request's id.
struct cross_fault
{
    std::string request;
};

/// Answers late.
struct late_fault
{
    duration delay{};
};

/// Takes the request and never answers.
struct hang_fault
{
};

/// Answers with an error status without running the request.
struct refuse_fault
{
    unsigned status = 503;
};

using fault = std::variant<die_fault,
                           truncate_fault,
                           cross_fault,
                           late_fault,
                           hang_fault,
                           refuse_fault>;

/// An order to fail the next requests in one way.
struct fault_order
{
    fault kind;
    /// Number of requests that fail.
    std::uint64_t times = 1;
};

/// Parses an order, as {"kind": "die", "after_events": 3, "times": 2}.
outcome<fault_order> parse_fault_order(std::string_view text);

/// Orders that are not used up, in the order they came. Thread-safe.
class fault_switches
{
public:
    void add(fault_order order);

    /// Returns the fault of the next request, if it is to have one.
    std::optional<fault> take();

    void clear();

private:
    std::mutex m_mutex;
    std::deque<fault_order> m_orders;
};

} // namespace limpet::standin

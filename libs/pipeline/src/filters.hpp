/// \file
/// Filters that a request passes before it is placed.

#pragma once

#include "request_context.hpp"

#include <limpet/admission/open_request_cap.hpp>

#include <memory>
#include <mutex>
#include <variant>

namespace limpet::pipeline
{

/// Finds the team of the caller's key.
struct authenticate_filter
{
    filter_result apply(request_context& context) const;
};

/// Reads the target and body, and finds what the request may do.
struct classify_filter
{
    filter_result apply(request_context& context) const;
};

/// Open requests of all teams at this router. Thread-safe.
class open_requests
{
public:
    /// Opens a request unless the team has reached its cap.
    bool open(const team_id& team, std::uint32_t cap);
    void close(const team_id& team);

private:
    std::mutex m_mutex;
    admission::open_request_cap m_caps{0};
};

/// Bounds the open requests of the team. What it admits must be closed.
struct admit_filter
{
    std::shared_ptr<open_requests> open;

    filter_result apply(request_context& context) const;
};

using filter = std::variant<authenticate_filter, classify_filter, admit_filter>;

/// Applies the filter.
filter_result apply(const filter& step, request_context& context);

} // namespace limpet::pipeline

/// \file
/// Filters applied to a request before it is placed on an engine.

#pragma once

#include "request_context.hpp"

#include <limpet/admission/open_request_cap.hpp>

#include <memory>
#include <mutex>
#include <variant>

namespace limpet::pipeline
{

/// Authenticates the caller by its key and sets the team and partner.
struct authenticate_filter
{
    filter_result apply(request_context& context) const;
};

/// Parses the target and body, and sets the request's kind and limits.
struct classify_filter
{
    filter_result apply(request_context& context) const;
};

/// Number of open requests per team at this router. Thread-safe.
class open_requests
{
public:
    /// Counts a new open request and returns true, or returns false if the team
    /// has reached its cap.
    bool open(const team_id& team, std::uint32_t cap);
    void close(const team_id& team);

private:
    std::mutex m_mutex;
    admission::open_request_cap m_caps{0};
};

/// Limits the team's open requests. Each admitted request must be closed.
struct admit_filter
{
    std::shared_ptr<open_requests> open;

    filter_result apply(request_context& context) const;
};

using filter = std::variant<authenticate_filter, classify_filter, admit_filter>;

/// Applies the filter.
filter_result apply(const filter& step, request_context& context);

} // namespace limpet::pipeline

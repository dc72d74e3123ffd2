#include "answers.hpp"

#include "headers.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace limpet::pipeline
{

namespace
{

constexpr std::string_view json_type = "application/json";
constexpr std::string_view text_type = "text/plain; charset=utf-8";

std::string error_body(const error& reason, std::string_view request)
{
    const boost::json::object body{
        {"error",
         boost::json::object{{"code", to_string(reason.code)},
                             {"message", reason.message},
                             {"request", request}}}};
    return boost::json::serialize(body);
}

std::string whole_seconds(duration value)
{
    const auto count = std::chrono::ceil<seconds>(value).count();
    return std::to_string(std::max<seconds::rep>(1, count));
}

std::string whole_milliseconds(duration value)
{
    return std::to_string(std::chrono::ceil<milliseconds>(value).count());
}

} // namespace

std::string_view to_string(run_outcome value) noexcept
{
    switch (value)
    {
    case run_outcome::complete:
        return "complete";
    case run_outcome::not_run:
        return "not-run";
    case run_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

unsigned status_of(error_code code) noexcept
{
    switch (code)
    {
    case error_code::invalid_argument:
    case error_code::malformed:
        return 400;
    case error_code::unauthenticated:
        return 401;
    case error_code::forbidden:
        return 403;
    case error_code::not_found:
        return 404;
    case error_code::conflict:
        return 409;
    case error_code::overloaded:
        return 429;
    case error_code::not_owner:
    case error_code::not_leader:
    case error_code::unavailable:
        return 503;
    case error_code::timeout:
        return 504;
    case error_code::cancelled:
        return 499;
    case error_code::io_error:
    case error_code::corrupt:
        return 502;
    case error_code::internal:
        return 500;
    }
    return 500;
}

http::response make_refusal(const request_id& request, const refusal& why)
{
    http::response answer = make_json(status_of(why.reason.code),
                                      error_body(why.reason, request.get()));
    answer.head.headers.set(headers::request, request.get());
    answer.head.headers.set(headers::outcome, to_string(why.outcome));
    if (why.retry_after > duration::zero())
    {
        answer.head.headers.set(headers::retry_after,
                                whole_seconds(why.retry_after));
        answer.head.headers.set(headers::retry_after_ms,
                                whole_milliseconds(why.retry_after));
    }
    return answer;
}

http::response make_server_refusal(unsigned status, std::string_view reason)
{
    http::response answer =
        make_json(status,
                  error_body({error_code::malformed, std::string(reason)},
                             std::string_view()));
    answer.head.headers.set(headers::outcome, to_string(run_outcome::not_run));
    return answer;
}

http::response make_json(unsigned status, std::string body)
{
    http::response answer;
    answer.head.status = status;
    answer.head.headers.set(headers::content_type, json_type);
    answer.body = std::move(body);
    return answer;
}

http::response make_text(unsigned status, std::string body)
{
    http::response answer;
    answer.head.status = status;
    answer.head.headers.set(headers::content_type, text_type);
    answer.body = std::move(body);
    return answer;
}

} // namespace limpet::pipeline

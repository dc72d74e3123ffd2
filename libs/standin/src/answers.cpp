#include "answers.hpp"

#include <boost/json.hpp>

#include <charconv>

namespace limpet::standin
{

http::response json_answer(unsigned status, std::string body)
{
    http::response answer;
    answer.head.status = status;
    answer.head.headers.set(fields::content_type, "application/json");
    answer.body = std::move(body);
    return answer;
}

http::response error_answer(unsigned status, const error& reason)
{
    const boost::json::object body{
        {"error",
         boost::json::object{{"code", to_string(reason.code)},
                             {"message", reason.message}}}};
    return json_answer(status, boost::json::serialize(body));
}

std::uint64_t number_field(const http::request& call, std::string_view name)
{
    const std::string_view text = call.headers.value_or_empty(name);
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace limpet::standin

#include "operator_read.hpp"

#include <limpet/base/settings_reader.hpp>
#include <limpet/config/authorise.hpp>
#include <limpet/config/operator_api.hpp>

namespace limpet::config
{

namespace
{

constexpr std::string_view bearer = "Bearer ";

error unauthenticated()
{
    return {error_code::unauthenticated,
            "the Authorization header must contain an operator's token"};
}

/// Returns an error if a router has a newer position than this replica, in
/// which case the replica must not accept commands.
std::optional<error> check_up_to_date(const api_context& context)
{
    const position own = context.state.view()->where();
    const bool behind =
        context.highest_heard &&
        compare(*context.highest_heard, own) == position_order::newer;
    if (!behind)
    {
        return std::nullopt;
    }
    return error{error_code::unavailable,
                 "a router has revision " +
                     std::to_string(context.highest_heard->number.get()) +
                     " in force, but this replica only has revision " +
                     std::to_string(own.number.get()) +
                     "; if the group was restored from a backup, start a new "
                     "generation"};
}

std::variant<api_response, command> handle_command(const api_request& request,
                                                   const api_context& context,
                                                   const operator_account* who)
{
    if (const std::optional<error> behind = check_up_to_date(context))
    {
        return response_to(*behind);
    }
    const outcome<boost::json::value> document = parse_sent_json(request.body);
    if (!is_ok(document))
    {
        return response_to(error_of(document));
    }
    outcome<command> parsed = parse_command(value_of(document));
    if (!is_ok(parsed))
    {
        return response_to(error_of(parsed));
    }
    command& order = value_of(parsed);
    order.submitted_unix_ms = context.now_unix_ms;
    if (who == nullptr)
    {
        const auto* put = std::get_if<put_object>(&order.what);
        if (put == nullptr ||
            !std::holds_alternative<operator_account>(put->value))
        {
            return response_to(unauthenticated());
        }
        order.author = operator_id(target_of(order.what).id);
        return std::move(order);
    }
    order.author = who->id;
    const status allowed = authorise(*context.state.view(), *who, order.what);
    if (!is_ok(allowed))
    {
        return response_to(error_of(allowed));
    }
    return std::move(order);
}

} // namespace

std::variant<api_response, command> handle_operator(const api_request& request,
                                                    const api_context& context)
{
    const config_view& view = *context.state.view();
    const std::string_view field = request.authorization;
    const bool has_token = field.starts_with(bearer);
    const sha256_digest token =
        sha256(has_token ? field.substr(bearer.size()) : field);
    const auto* found = has_token ? view.operator_of_token(token) : nullptr;
    const operator_account* who = found == nullptr ? nullptr : &found->value;
    const bool first = view.objects<operator_account>().size() == 0 &&
                       (!context.first_token || *context.first_token == token);
    if (who == nullptr && !first)
    {
        return response_to(unauthenticated());
    }
    if (request.method == "POST" && path_of(request.target) == "/v1/commands")
    {
        return handle_command(request, context, who);
    }
    if (who == nullptr)
    {
        return response_to(error{error_code::not_found,
                                 "no operator exists yet; create one first"});
    }
    if (request.method == "GET")
    {
        return handle_read(request, context, *who);
    }
    return response_to(error{error_code::not_found, "no such resource"});
}

api_response response_to(const command_result& result)
{
    const auto* failed = std::get_if<rejected>(&result);
    return {failed == nullptr ? 200 : http_status_of(failed->code),
            to_json(result)};
}

api_response response_to(const error& reason)
{
    boost::json::object detail;
    detail["code"] = to_string(reason.code);
    detail["message"] = reason.message;
    return {http_status_of(reason.code),
            boost::json::object{{"error", std::move(detail)}}};
}

unsigned http_status_of(error_code code) noexcept
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
    case error_code::cancelled:
        return 503;
    case error_code::timeout:
        return 504;
    case error_code::io_error:
    case error_code::corrupt:
    case error_code::internal:
        break;
    }
    return 500;
}

} // namespace limpet::config

#include "filters.hpp"

#include "headers.hpp"

#include <limpet/base/settings_reader.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace limpet::pipeline
{

namespace
{

constexpr std::string_view chat_target = "/v1/chat/completions";
constexpr std::string_view service_prefix = "/services";
constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::string_view chat_kind = "chat";
constexpr std::size_t max_id_bytes = 200;
/// Highest priority in a template. Requests to engines use the reverse order,
/// in which 0 is the highest.
constexpr std::uint32_t highest_priority = 9;
/// Average number of bytes of text per token, for estimating the prompt's
/// length.
constexpr std::size_t bytes_per_token = 4;
/// Retry delay for a team that has reached its cap of open requests.
constexpr duration open_cap_retry = milliseconds(500);

refusal bad_request(std::string reason)
{
    return {{error_code::invalid_argument, std::move(reason)}};
}

refusal not_found(std::string reason)
{
    return {{error_code::not_found, std::move(reason)}};
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

/// Returns whether the text may be used as a value in header fields and logs.
bool is_plain_id(std::string_view text)
{
    return text.size() <= max_id_bytes && std::all_of(text.begin(),
                                                      text.end(),
                                                      [](char c)
                                                      {
                                                          return c > ' ' &&
                                                                 c < 0x7f;
                                                      });
}

filter_result
read_id(const http::header_list& fields, std::string_view name, std::string& id)
{
    const auto value = fields.find(name);
    if (!value || value->empty())
    {
        return {};
    }
    if (!is_plain_id(*value))
    {
        return bad_request(std::string(name) + " must be at most " +
                           std::to_string(max_id_bytes) +
                           " printable characters without spaces");
    }
    id = *value;
    return {};
}

filter_result read_last_event_id(request_context& context)
{
    const auto text = context.forwarded.headers.find(headers::last_event_id);
    if (!text)
    {
        return {};
    }
    const char* const end = text->data() + text->size();
    const auto parsed =
        std::from_chars(text->data(), end, context.resume_after);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
    {
        return bad_request("Last-Event-ID must be a non-negative integer");
    }
    return {};
}

filter_result read_ids(request_context& context)
{
    const http::header_list& fields = context.forwarded.headers;
    std::string chat;
    std::string key;
    std::string hint;
    for (const auto& [name, id] : {std::pair{headers::chat, &chat},
                                   std::pair{headers::idempotency_key, &key},
                                   std::pair{headers::placement, &hint}})
    {
        filter_result read = read_id(fields, name, *id);
        if (std::holds_alternative<refusal>(read))
        {
            return read;
        }
    }
    context.returning = !chat.empty();
    context.chat = chat_id(chat.empty() ? context.id.get() : chat);
    if (!key.empty())
    {
        context.key = idempotency_key(key);
    }
    if (!hint.empty())
    {
        context.placement_hint = engine_id(hint);
    }
    return read_last_event_id(context);
}

void apply_parameters(request_context& context,
                      const config::team_parameters& parameters)
{
    context.priority = static_cast<std::uint8_t>(
        highest_priority - std::min(parameters.priority(), highest_priority));
    context.max_open_requests = parameters.max_open_requests();
    context.queue_time = parameters.queue_time();
    context.deadline = context.received_at + parameters.deadline();
}

filter_result check_chat_body(request_context& context,
                              const boost::json::object& body)
{
    const boost::json::value* messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array() ||
        messages->get_array().empty())
    {
        return bad_request("messages must be a non-empty array");
    }
    const boost::json::value* stream = body.if_contains("stream");
    if (stream != nullptr && !stream->is_bool())
    {
        return bad_request("stream must be a boolean");
    }
    context.call = chat_call{stream != nullptr && stream->get_bool()};
    const boost::json::value* model = body.if_contains("model");
    if (model != nullptr && !model->is_string())
    {
        return bad_request("model must be a string");
    }
    if (model != nullptr)
    {
        context.model = model_id(std::string(model->get_string()));
    }
    return {};
}

filter_result choose_model(request_context& context,
                           const config::team_parameters& parameters,
                           boost::json::object& body)
{
    if (context.model.get().empty() && !parameters.models().empty())
    {
        context.model = parameters.models().front();
        body["model"] = context.model.get();
        context.forwarded.body = boost::json::serialize(body);
    }
    if (!parameters.allows_model(context.model.get()))
    {
        return not_found("model '" + context.model.get() +
                         "' is not enabled for the team");
    }
    return {};
}

filter_result classify_chat(request_context& context,
                            const config::team_parameters& parameters)
{
    if (context.forwarded.method != "POST")
    {
        return bad_request("chat completions require the POST method");
    }
    auto body = parse_json(context.forwarded.body);
    if (!is_ok(body))
    {
        return refusal{error_of(body)};
    }
    if (!value_of(body).is_object())
    {
        return bad_request("the request body must be a JSON object");
    }
    filter_result checked =
        check_chat_body(context, value_of(body).get_object());
    if (std::holds_alternative<refusal>(checked))
    {
        return checked;
    }
    context.repeatable = parameters.repeatable(chat_kind);
    context.prompt_tokens = static_cast<std::uint32_t>(
        context.forwarded.body.size() / bytes_per_token);
    return choose_model(context, parameters, value_of(body).get_object());
}

filter_result classify_service(request_context& context)
{
    std::string_view path = path_of(context.forwarded.target);
    path.remove_prefix(service_prefix.size());
    const config::service_route* route =
        context.config->route_of(context.partner, path);
    if (route == nullptr)
    {
        return not_found("no service is configured at " + std::string(path));
    }
    context.call = service_call{route->service};
    context.model = model_id(route->service);
    context.repeatable = route->repeatable(context.forwarded.method);
    context.deadline = context.received_at + route->deadline;
    context.prompt_tokens = 1;
    context.forwarded.target.erase(0, service_prefix.size());
    return {};
}

} // namespace

filter_result authenticate_filter::apply(request_context& context) const
{
    const std::string_view field =
        context.caller.received().headers.value_or_empty(
            headers::authorization);
    if (!field.starts_with(bearer_prefix))
    {
        return refusal{{error_code::unauthenticated,
                        "the Authorization header must contain a team's key as "
                        "a bearer token"}};
    }
    const auto digest = config::sha256(field.substr(bearer_prefix.size()));
    const auto* team = context.config->team_of_key(digest);
    if (team == nullptr)
    {
        return refusal{
            {error_code::unauthenticated,
             "the key in the Authorization header is not assigned to a team"}};
    }
    context.team = team->value.id;
    context.partner = team->value.owner;
    return {};
}

filter_result classify_filter::apply(request_context& context) const
{
    context.forwarded = context.caller.received();
    filter_result ids = read_ids(context);
    if (std::holds_alternative<refusal>(ids))
    {
        return ids;
    }
    const auto* team = context.config->find<config::team>(context.team.get());
    const config::team_parameters parameters =
        context.config->parameters_of(team->value);
    apply_parameters(context, parameters);
    const std::string_view path = path_of(context.forwarded.target);
    if (path == chat_target)
    {
        return classify_chat(context, parameters);
    }
    if (path.starts_with(service_prefix) &&
        path.substr(service_prefix.size()).starts_with('/'))
    {
        return classify_service(context);
    }
    return not_found("no resource at " + std::string(path));
}

bool open_requests::open(const team_id& team, std::uint32_t cap)
{
    const std::lock_guard lock(m_mutex);
    m_caps.set(team, cap);
    return m_caps.open(team);
}

void open_requests::close(const team_id& team)
{
    const std::lock_guard lock(m_mutex);
    m_caps.close(team);
}

filter_result admit_filter::apply(request_context& context) const
{
    if (!open->open(context.team, context.max_open_requests))
    {
        return refusal{{error_code::overloaded,
                        "the team has reached its limit of open requests"},
                       run_outcome::not_run,
                       open_cap_retry};
    }
    context.admitted = true;
    return {};
}

filter_result apply(const filter& step, request_context& context)
{
    return std::visit(
        [&context](const auto& item)
        {
            return item.apply(context);
        },
        step);
}

} // namespace limpet::pipeline

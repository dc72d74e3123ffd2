#include "backend_api.hpp"

#include "answers.hpp"
#include "status_report.hpp"

#include <limpet/base/settings_reader.hpp>

#include <charconv>

namespace limpet::pipeline
{

namespace net = boost::asio;

namespace
{

constexpr std::string_view announcements = "/v1/announcements";
constexpr std::string_view incarnation_query = "?incarnation=";

http::response make_error(const error& reason)
{
    const boost::json::object body{
        {"error",
         boost::json::object{{"code", to_string(reason.code)},
                             {"message", reason.message}}}};
    return make_json(status_of(reason.code), boost::json::serialize(body));
}

std::int64_t whole_milliseconds(duration value)
{
    return std::chrono::duration_cast<milliseconds>(value).count();
}

/// Load report of a backend server.
struct load_report
{
    engine_id engine;
    placement::engine_report load;
};

outcome<load_report> parse_load_report(std::string_view text)
{
    const auto document = parse_json(text);
    if (!is_ok(document))
    {
        return error_of(document);
    }
    settings_reader reader(value_of(document), "report");
    load_report report;
    report.engine = engine_id(reader.text("engine"));
    report.load.run = incarnation(reader.number("incarnation", 0, UINT64_MAX));
    report.load.in_flight =
        static_cast<std::uint32_t>(reader.number("in_flight", 0, UINT32_MAX));
    reader.number_or("queued", 0, 0, UINT32_MAX);
    report.load.cached =
        token_count(reader.number_or("cache_tokens", 0, 0, UINT64_MAX));
    const status result = reader.finish();
    if (!is_ok(result))
    {
        return error_of(result);
    }
    return report;
}

/// Cache events of a backend server: chats whose prefixes its cache has
/// evicted.
struct cache_events
{
    engine_id engine;
    std::vector<std::string> dropped;
};

outcome<cache_events> parse_cache_events(std::string_view text)
{
    const auto document = parse_json(text);
    if (!is_ok(document))
    {
        return error_of(document);
    }
    settings_reader reader(value_of(document), "events");
    cache_events events;
    events.engine = engine_id(reader.text("engine"));
    reader.number("incarnation", 0, UINT64_MAX);
    reader.number("sequence", 0, UINT64_MAX);
    reader.texts_or_empty("added");
    events.dropped = reader.texts_or_empty("dropped");
    const status result = reader.finish();
    if (!is_ok(result))
    {
        return error_of(result);
    }
    return events;
}

} // namespace

backend_api::backend_api(backend_api_parts parts)
    : m_parts(std::move(parts))
{
}

net::awaitable<void> backend_api::handle(http::exchange& caller)
{
    const http::request& request = caller.received();
    std::optional<http::response> response = health(request);
    if (!response)
    {
        response = answer(request);
    }
    co_await caller.respond(std::move(*response));
}

std::optional<http::response>
backend_api::health(const http::request& request) const
{
    if (request.target == "/healthz")
    {
        return make_text(200, "ok\n");
    }
    if (request.target == "/readyz")
    {
        const bool ready = m_parts.ready();
        return make_text(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    }
    return std::nullopt;
}

http::response backend_api::answer(const http::request& request)
{
    const std::string_view target = request.target;
    if (request.method == "POST" && target == announcements)
    {
        return handle_announcement(request);
    }
    if (request.method == "DELETE" && target.starts_with(announcements))
    {
        return handle_withdrawal(request);
    }
    if (request.method == "POST" && target == "/v1/load-reports")
    {
        return handle_load_report(request);
    }
    if (request.method == "POST" && target == "/v1/cache-events")
    {
        return handle_cache_events(request);
    }
    if (request.method == "POST" && target == "/v1/faults")
    {
        return set_fault(request);
    }
    if (request.method == "GET" && target == "/metrics")
    {
        return show_metrics();
    }
    if (request.method == "GET" && target == "/v1/status")
    {
        return show_status();
    }
    return make_error(
        {error_code::not_found,
         "no resource for " + request.method + " " + request.target});
}

http::response backend_api::handle_announcement(const http::request& request)
{
    const auto document = parse_json(request.body);
    if (!is_ok(document))
    {
        return make_error(error_of(document));
    }
    const auto server = membership::parse_announcement(value_of(document));
    if (!is_ok(server))
    {
        return make_error(error_of(server));
    }
    const auto result =
        m_parts.members->announce(value_of(server), monotonic_clock::now());
    if (!is_ok(result))
    {
        return make_error(error_of(result));
    }
    const boost::json::object body{
        {"renew_after_ms", whole_milliseconds(value_of(result).renew_after)},
        {"lease_ms", whole_milliseconds(value_of(result).lease)}};
    return make_json(200, boost::json::serialize(body));
}

http::response backend_api::handle_withdrawal(const http::request& request)
{
    std::string_view rest = request.target;
    rest.remove_prefix(announcements.size());
    const std::size_t query = rest.find(incarnation_query);
    if (!rest.starts_with('/') || query == std::string_view::npos)
    {
        return make_error(
            {error_code::invalid_argument,
             "the target must be /v1/announcements/ENGINE?incarnation=N"});
    }
    const engine_id engine(std::string(rest.substr(1, query - 1)));
    const std::string_view number =
        rest.substr(query + incarnation_query.size());
    std::uint64_t run = 0;
    std::from_chars(number.data(), number.data() + number.size(), run);
    const auto view = m_parts.members->view();
    const auto* known = view->find_engine(engine);
    if (known == nullptr || known->engine->server.started.get() != run)
    {
        return make_error(
            {error_code::not_found,
             "no engine '" + engine.get() + "' of this incarnation"});
    }
    membership::announcement last = known->engine->server;
    last.leaving = true;
    m_parts.members->announce(last, monotonic_clock::now());
    return make_json(200, "{}");
}

http::response backend_api::handle_load_report(const http::request& request)
{
    const auto report = parse_load_report(request.body);
    if (!is_ok(report))
    {
        return make_error(error_of(report));
    }
    const load_report& value = value_of(report);
    const auto view = m_parts.members->view();
    const auto* owner = view->owner_of(value.engine);
    if (owner == nullptr)
    {
        return make_error({error_code::not_found,
                           "no engine '" + value.engine.get() + "' is known"});
    }
    load_message message{
        value.engine, value.load.run, value.load.in_flight, value.load.cached};
    m_parts.hub->send(owner->self.vm,
                      wire::channel::exchange,
                      encode({exchange_id(0), std::move(message)}));
    return make_json(200, "{}");
}

http::response backend_api::handle_cache_events(const http::request& request)
{
    const auto events = parse_cache_events(request.body);
    if (!is_ok(events))
    {
        return make_error(error_of(events));
    }
    for (const std::string& name : value_of(events).dropped)
    {
        const std::size_t slash = name.find('/');
        if (slash == std::string::npos)
        {
            continue;
        }
        const auto chat = placement::make_chat_key(
            team_id(name.substr(0, slash)), chat_id(name.substr(slash + 1)));
        m_parts.directory->erase_if_best_holder(chat, value_of(events).engine);
    }
    return make_json(200, "{}");
}

http::response backend_api::set_fault(const http::request& request)
{
    const auto document = parse_json(request.body);
    if (!is_ok(document))
    {
        return make_error(error_of(document));
    }
    const status set = wire::set_fault(*m_parts.hub, value_of(document));
    return is_ok(set) ? make_json(200, "{}") : make_error(error_of(set));
}

http::response backend_api::show_metrics() const
{
    return make_text(200,
                     m_parts.metrics->to_text() +
                         owner_metrics_text(m_parts.owners->engines()) +
                         traffic_text(m_parts.hub->counters()));
}

http::response backend_api::show_status() const
{
    const status_inputs inputs{m_parts.hub->self(),
                               m_parts.members->view(),
                               m_parts.owners->engines(),
                               m_parts.config()};
    return make_json(200, boost::json::serialize(make_status_report(inputs)));
}

} // namespace limpet::pipeline

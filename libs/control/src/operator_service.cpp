#include "operator_service.hpp"

#include "await_callback.hpp"
#include "wall_clock.hpp"

#include <limpet/base/settings_reader.hpp>
#include <limpet/config/sha256.hpp>

#include <boost/json.hpp>

namespace limpet::control
{

namespace net = boost::asio;

namespace
{

constexpr std::string_view bearer = "Bearer ";
constexpr std::string_view group_path = "/v1/group";
constexpr std::string_view backup_path = "/v1/backup";
constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

http::response json_response(unsigned status, const boost::json::value& body)
{
    http::response answer;
    answer.head.status = status;
    answer.head.headers.set("Content-Type", "application/json");
    answer.body = boost::json::serialize(body);
    return answer;
}

http::response to_http(const config::api_response& response)
{
    return json_response(response.status, response.body);
}

http::response bytes_response(std::string_view type, std::string bytes)
{
    http::response answer;
    answer.head.headers.set("Content-Type", type);
    answer.body = std::move(bytes);
    return answer;
}

/// A membership change of the control group.
struct group_change
{
    std::string action;
    replica::replica_id member;
};

outcome<group_change> parse_group_change(std::string_view text)
{
    const auto document = parse_sent_json(text);
    if (!is_ok(document))
    {
        return error_of(document);
    }
    settings_reader reader(value_of(document), "change");
    group_change change;
    change.action = reader.text("action");
    change.member.vm = vm_id(reader.text("vm"));
    change.member.storage =
        incarnation(reader.number("incarnation", 0, UINT64_MAX));
    const bool known = change.action == "add" || change.action == "promote" ||
                       change.action == "remove";
    if (!known)
    {
        reader.fail("action", "must be add, promote or remove");
    }
    const status result = reader.finish();
    if (!is_ok(result))
    {
        return error_of(result);
    }
    return change;
}

} // namespace

operator_service::operator_service(const control_state& state,
                                   const config_source& source,
                                   replica::replica& log,
                                   wire::link_hub& hub)
    : m_state(state),
      m_source(source),
      m_log(log),
      m_hub(hub)
{
}

net::awaitable<void> operator_service::handle(http::exchange& exchange)
{
    http::response answer = co_await answer_to(exchange.received());
    co_await exchange.respond(std::move(answer));
}

net::awaitable<http::response>
operator_service::answer_to(const http::request& request)
{
    if (request.target == "/healthz")
    {
        co_return bytes_response("text/plain", "ok\n");
    }
    if (request.target == "/readyz")
    {
        const bool ready = m_log.view().leader.has_value();
        http::response answer =
            bytes_response("text/plain", ready ? "ready\n" : "no leader\n");
        answer.head.status = ready ? status_ok : status_unavailable;
        co_return answer;
    }
    if (request.method == "POST" && request.target == "/v1/faults")
    {
        co_return set_fault(request);
    }
    if (request.target.starts_with(group_path) || request.target == backup_path)
    {
        co_return co_await answer_group(request);
    }
    // Reads must be linearizable: the answer must include all changes that
    // were acknowledged before the request.
    const std::function<void(replica::status_callback)> barrier =
        [this](replica::status_callback done)
    {
        m_log.read_barrier(std::move(done));
    };
    const status current = co_await await_callback<status>(barrier);
    if (!is_ok(current))
    {
        co_return unavailable(error_of(current));
    }
    const config::force_summary force = m_source.force(monotonic_clock::now());
    const config::api_request call{
        request.method,
        request.target,
        std::string(request.headers.value_or_empty("Authorization")),
        request.body};
    auto handled = config::handle_operator(call,
                                           {m_state.config(),
                                            force,
                                            unix_ms(),
                                            std::nullopt,
                                            m_source.highest_heard()});
    if (const auto* response = std::get_if<config::api_response>(&handled))
    {
        co_return to_http(*response);
    }
    co_return co_await submit(std::get<config::command>(handled));
}

net::awaitable<http::response>
operator_service::submit(const config::command& order)
{
    using result_type = outcome<replica::proposal_result>;
    const std::function<void(replica::proposal_callback)> propose =
        [this, entry = make_entry(order)](replica::proposal_callback done)
    {
        m_log.propose(entry, std::move(done));
    };
    const result_type proposed = co_await await_callback<result_type>(propose);
    if (!is_ok(proposed))
    {
        co_return unavailable(error_of(proposed));
    }
    const auto answer = parse_json(value_of(proposed).answer);
    if (!is_ok(answer))
    {
        co_return to_http(config::response_to(error_of(answer)));
    }
    const auto result = config::parse_result(value_of(answer));
    co_return to_http(is_ok(result) ? config::response_to(value_of(result))
                                    : config::response_to(error_of(result)));
}

net::awaitable<http::response>
operator_service::answer_group(const http::request& request)
{
    if (!may_change_group(request))
    {
        const error reason{error_code::forbidden,
                           "requests to the control group require the token of "
                           "an operator without a scope"};
        co_return to_http(config::response_to(reason));
    }
    if (request.method == "GET" && request.target == backup_path)
    {
        co_return bytes_response("application/octet-stream",
                                 m_state.snapshot());
    }
    if (request.method == "GET")
    {
        co_return show_group();
    }
    co_return co_await change_group(request);
}

net::awaitable<http::response>
operator_service::change_group(const http::request& request)
{
    const auto parsed = parse_group_change(request.body);
    if (!is_ok(parsed))
    {
        co_return to_http(config::response_to(error_of(parsed)));
    }
    const group_change change = value_of(parsed);
    const std::function<void(replica::status_callback)> start =
        [this, change](replica::status_callback done)
    {
        if (change.action == "add")
        {
            m_log.add_learner(change.member, std::move(done));
        }
        else if (change.action == "promote")
        {
            m_log.promote(change.member, std::move(done));
        }
        else
        {
            m_log.remove(change.member, std::move(done));
        }
    };
    const status result = co_await await_callback<status>(start);
    if (!is_ok(result))
    {
        co_return unavailable(error_of(result));
    }
    co_return show_group();
}

http::response operator_service::set_fault(const http::request& request)
{
    const auto document = parse_sent_json(request.body);
    if (!is_ok(document))
    {
        return to_http(config::response_to(error_of(document)));
    }
    const status set = wire::set_fault(m_hub, value_of(document));
    return is_ok(set) ? json_response(status_ok, boost::json::object{})
                      : to_http(config::response_to(error_of(set)));
}

http::response operator_service::show_group() const
{
    const replica::replica_view view = m_log.view();
    boost::json::array members;
    for (const replica::member_view& member : view.members)
    {
        members.push_back(
            boost::json::object{{"vm", member.id.vm.get()},
                                {"incarnation", member.id.storage.get()},
                                {"voter", member.voter},
                                {"match", member.match.get()}});
    }
    const boost::json::object body{
        {"vm", view.self.vm.get()},
        {"incarnation", view.self.storage.get()},
        {"term", view.term.get()},
        {"is_leader", view.is_leader},
        {"leader", view.leader ? view.leader->vm.get() : std::string()},
        {"last", view.last.get()},
        {"committed", view.committed.get()},
        {"applied", view.applied.get()},
        {"snapshot", view.snapshot.get()},
        {"members", std::move(members)}};
    return json_response(status_ok, body);
}

http::response operator_service::unavailable(const error& reason) const
{
    const auto leader = m_log.view().leader;
    const boost::json::object body{
        {"error",
         boost::json::object{
             {"code", to_string(reason.code)},
             {"message", reason.message},
             {"leader", leader ? leader->vm.get() : std::string()}}}};
    const bool retry = reason.code == error_code::not_leader ||
                       reason.code == error_code::unavailable;
    return json_response(
        retry ? status_unavailable : config::http_status_of(reason.code), body);
}

bool operator_service::may_change_group(const http::request& request) const
{
    const std::string_view field =
        request.headers.value_or_empty("Authorization");
    if (!field.starts_with(bearer))
    {
        return false;
    }
    const auto* operator_entry = m_state.config().view()->operator_of_token(
        config::sha256(field.substr(bearer.size())));
    return operator_entry != nullptr && !operator_entry->value.scope;
}

} // namespace limpet::control

#include "control_client.hpp"

#include <limpet/base/settings_reader.hpp>
#include <limpet/http/client.hpp>
#include <limpet/http/endpoint.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <algorithm>
#include <thread>

namespace limpet::ctl
{

namespace
{

constexpr std::size_t max_answer_bytes = 64 * 1024 * 1024;
constexpr unsigned status_ok = 200;
constexpr unsigned service_unavailable = 503;
constexpr duration retry_pause = milliseconds(200);

} // namespace

control_client::control_client(client_settings settings)
    : m_settings(std::move(settings))
{
}

outcome<answer> control_client::get(const std::string& target)
{
    return send("GET", target, {});
}

std::vector<boost::json::value>
control_client::get_from_each(const std::string& target)
{
    std::vector<boost::json::value> bodies;
    for (const std::string& server : m_settings.servers)
    {
        const outcome<answer> received =
            send_once(server, "GET", target, {}, m_settings.timeout);
        if (is_ok(received) && value_of(received).status == status_ok)
        {
            bodies.push_back(value_of(received).body);
        }
    }
    return bodies;
}

outcome<answer> control_client::post(const std::string& target,
                                     const boost::json::value& body)
{
    return send("POST", target, boost::json::serialize(body));
}

outcome<answer> control_client::send(const std::string& method,
                                     const std::string& target,
                                     const std::string& body)
{
    const time_point end = monotonic_clock::now() + m_settings.timeout;
    outcome<answer> last = error{error_code::unavailable, "no server is named"};
    for (std::size_t tries = 1;; ++tries)
    {
        const std::size_t count = m_settings.servers.size();
        const duration left = end - monotonic_clock::now();
        if (count == 0 || left <= duration::zero())
        {
            return last;
        }
        // Limits each try so that one unresponsive server cannot use up the
        // time for trying the other servers.
        const duration share =
            std::max<duration>(m_settings.timeout / count, retry_pause);
        last = send_once(m_settings.servers[m_current],
                         method,
                         target,
                         body,
                         std::min(left, share));
        if (is_ok(last) && value_of(last).status != service_unavailable)
        {
            return last;
        }
        m_current = (m_current + 1) % count;
        const bool all_tried = tries % count == 0;
        if (all_tried && end - monotonic_clock::now() <= retry_pause)
        {
            return last;
        }
        if (all_tried)
        {
            std::this_thread::sleep_for(retry_pause);
        }
    }
}

outcome<answer> control_client::send_once(const std::string& server,
                                          const std::string& method,
                                          const std::string& target,
                                          const std::string& body,
                                          duration timeout)
{
    const auto endpoint = http::parse_endpoint(server);
    if (!is_ok(endpoint))
    {
        return error_of(endpoint);
    }
    http::request request;
    request.method = method;
    request.target = target;
    request.body = body;
    request.headers.set("Authorization", "Bearer " + m_settings.token);
    request.headers.set("Content-Type", "application/json");
    boost::asio::io_context context;
    const auto client = http::client::create({});
    auto pending = boost::asio::co_spawn(
        context,
        client->fetch(
            value_of(endpoint), std::move(request), timeout, max_answer_bytes),
        boost::asio::use_future);
    context.run();
    const auto result = pending.get();
    if (const auto* failure = std::get_if<http::request_failure>(&result))
    {
        return error{failure->reason.code,
                     server + ": " + failure->reason.message};
    }
    const auto& received = std::get<http::response>(result);
    outcome<boost::json::value> parsed = parse_json(received.body);
    if (!is_ok(parsed))
    {
        return error{error_code::malformed,
                     server + ": status " +
                         std::to_string(received.head.status) +
                         " with a body that is not JSON"};
    }
    return answer{received.head.status, value_of(std::move(parsed))};
}

} // namespace limpet::ctl

#include "announcer.hpp"

#include "answers.hpp"

#include <limpet/base/hash.hpp>
#include <limpet/base/log.hpp>
#include <limpet/base/settings_reader.hpp>
#include <limpet/http/endpoint.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace limpet::standin
{

namespace
{

constexpr auto as_result = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr duration answer_timeout = seconds(2);
constexpr duration retry_delay = milliseconds(200);
constexpr duration drain_check_period = milliseconds(20);
constexpr std::size_t max_answer_bytes = 64UL * 1024;
constexpr unsigned drain_announce_attempts = 5;

report_quality reports_of(const server_settings& server)
{
    const auto* engine = std::get_if<engine_settings>(&server.behaviour);
    return engine != nullptr ? engine->reports : report_quality{};
}

boost::json::array to_array(const std::vector<std::string>& texts)
{
    boost::json::array items;
    for (const std::string& text : texts)
    {
        items.emplace_back(text);
    }
    return items;
}

http::request make_post(std::string target, const boost::json::object& body)
{
    http::request message;
    message.method = "POST";
    message.target = std::move(target);
    message.headers.set(fields::content_type, "application/json");
    message.body = boost::json::serialize(body);
    return message;
}

/// Returns the announcement period that the router asks for, at most the
/// fallback.
duration renew_time(const http::response& answer, duration fallback)
{
    const auto document = parse_json(answer.body);
    if (!is_ok(document))
    {
        return fallback;
    }
    settings_reader reader(value_of(document), "answer");
    return std::min(fallback,
                    reader.milliseconds_or("renew_after_ms",
                                           fallback,
                                           milliseconds(1),
                                           std::chrono::hours(1)));
}

} // namespace

announcer::announcer(boost::asio::io_context& context,
                     std::shared_ptr<http::client> client,
                     std::shared_ptr<backend_server> source,
                     const server_settings& server,
                     const standin_settings& all)
    : m_strand(boost::asio::make_strand(context)),
      m_client(std::move(client)),
      m_backend_server(std::move(source)),
      m_server(server),
      m_routers(all.announce_to),
      m_reports(reports_of(server)),
      m_renew_period(all.renew_period),
      m_random(combine_hashes(all.seed, stable_hash(server.id.get()))),
      m_renew_timer(m_strand),
      m_load_timer(m_strand),
      m_cache_timer(m_strand),
      m_drain_timer(m_strand)
{
    // Spreads the announcements of this process's servers over the routers.
    if (!m_routers.empty())
    {
        m_router_index = m_random.below(m_routers.size());
    }
}

void announcer::start()
{
    if (m_routers.empty())
    {
        return;
    }
    using boost::asio::co_spawn;
    using boost::asio::detached;
    const auto self = shared_from_this();
    co_spawn(m_strand, announce_all(self), detached);
    if (m_reports.load_period > duration::zero())
    {
        co_spawn(m_strand, report_load(self), detached);
    }
    if (m_reports.cache_period > duration::zero())
    {
        co_spawn(m_strand, report_cache(self), detached);
    }
}

void announcer::drain(std::function<void()> on_drained)
{
    boost::asio::co_spawn(
        m_strand,
        drain_and_withdraw(shared_from_this(), std::move(on_drained)),
        boost::asio::detached);
}

void announcer::stop()
{
    boost::asio::post(m_strand,
                      [self = shared_from_this()]
                      {
                          self->m_stopped = true;
                          self->m_renew_timer.cancel();
                          self->m_load_timer.cancel();
                          self->m_cache_timer.cancel();
                          self->m_drain_timer.cancel();
                      });
}

boost::asio::awaitable<void>
announcer::announce_all(std::shared_ptr<announcer> /*owner*/)
{
    while (!m_stopped && !m_draining)
    {
        const bool done = co_await announce();
        co_await sleep(m_renew_timer, done ? m_renew_period : retry_delay);
    }
}

boost::asio::awaitable<void>
announcer::report_load(std::shared_ptr<announcer> /*owner*/)
{
    while (!m_stopped)
    {
        co_await sleep(m_load_timer, m_reports.load_period);
        const load_sample load =
            delayed_load(monotonic_clock::now(), m_reports.load_lag);
        if (m_random.chance(m_reports.loss))
        {
            continue;
        }
        http::request message =
            make_post("/v1/load-reports",
                      {{"engine", m_server.id.get()},
                       {"incarnation", m_server.run->get()},
                       {"in_flight", load.in_flight},
                       {"queued", load.queued},
                       {"cache_tokens", load.cached.get()}});
        co_await send(std::move(message));
    }
}

boost::asio::awaitable<void>
announcer::report_cache(std::shared_ptr<announcer> /*owner*/)
{
    while (!m_stopped)
    {
        co_await sleep(m_cache_timer, m_reports.cache_period);
        const cache_changes changes = m_backend_server->take_cache_changes();
        if (changes.added.empty() && changes.dropped.empty())
        {
            continue;
        }
        ++m_cache_sequence;
        if (m_random.chance(m_reports.loss))
        {
            continue;
        }
        http::request message =
            make_post("/v1/cache-events",
                      {{"engine", m_server.id.get()},
                       {"incarnation", m_server.run->get()},
                       {"sequence", m_cache_sequence},
                       {"added", to_array(changes.added)},
                       {"dropped", to_array(changes.dropped)}});
        co_await send(std::move(message));
    }
}

boost::asio::awaitable<void>
announcer::drain_and_withdraw(std::shared_ptr<announcer> /*owner*/,
                              std::function<void()> on_drained)
{
    m_draining = true;
    m_renew_timer.cancel();
    bool announced = m_routers.empty();
    for (unsigned i = 0; i < drain_announce_attempts && !announced; ++i)
    {
        announced = co_await announce();
    }
    while (m_backend_server->load().in_flight +
                   m_backend_server->load().queued >
               0 &&
           !m_stopped)
    {
        co_await sleep(m_drain_timer, drain_check_period);
    }
    if (!m_routers.empty())
    {
        http::request message;
        message.method = "DELETE";
        message.target = "/v1/announcements/" + m_server.id.get() +
                         "?incarnation=" + std::to_string(m_server.run->get());
        co_await send(std::move(message));
    }
    on_drained();
}

boost::asio::awaitable<bool> announcer::announce()
{
    http::request message;
    message.method = "POST";
    message.target = "/v1/announcements";
    message.headers.set(fields::content_type, "application/json");
    message.body = announcement();
    for (std::size_t attempts = 0; attempts < m_routers.size(); ++attempts)
    {
        http::request copy = message;
        const auto result = co_await m_client->fetch(m_routers[m_router_index],
                                                     std::move(copy),
                                                     answer_timeout,
                                                     max_answer_bytes);
        const auto* answer = std::get_if<http::response>(&result);
        if (answer != nullptr && answer->head.status == 200)
        {
            m_renew_period = renew_time(*answer, m_renew_period);
            co_return true;
        }
        log_event(log_level::warn,
                  "announcement.failed",
                  {{"server", m_server.id.get()},
                   {"router", http::to_string(m_routers[m_router_index])},
                   {"status", answer != nullptr ? answer->head.status : 0}});
        m_router_index = (m_router_index + 1) % m_routers.size();
    }
    co_return false;
}

boost::asio::awaitable<bool> announcer::send(http::request message)
{
    const auto result = co_await m_client->fetch(m_routers[m_router_index],
                                                 std::move(message),
                                                 answer_timeout,
                                                 max_answer_bytes);
    const auto* answer = std::get_if<http::response>(&result);
    co_return answer != nullptr && answer->head.status == 200;
}

boost::asio::awaitable<void> announcer::sleep(boost::asio::steady_timer& timer,
                                              duration time)
{
    timer.expires_after(time);
    co_await timer.async_wait(as_result);
}

std::string announcer::announcement() const
{
    boost::json::object body{{"engine", m_server.id.get()},
                             {"incarnation", m_server.run->get()},
                             {"data_centre", m_server.data_centre.get()},
                             {"address", http::to_string(m_server.listen)},
                             {"checks_fencing", m_server.checks_fencing},
                             {"leaving", m_draining}};
    if (const auto* engine = std::get_if<engine_settings>(&m_server.behaviour))
    {
        body["kind"] = "engine";
        body["models"] = to_array(engine->models);
        body["slots"] = engine->slots;
    }
    else
    {
        const auto& service = std::get<service_settings>(m_server.behaviour);
        body["kind"] = "service";
        body["models"] = to_array(service.services);
        body["slots"] = service.slots;
    }
    return boost::json::serialize(body);
}

load_sample announcer::delayed_load(time_point now, duration lag)
{
    m_loads.push_back({now, m_backend_server->load()});
    while (m_loads.size() > 1 && m_loads[1].sampled_at <= now - lag)
    {
        m_loads.pop_front();
    }
    return m_loads.front().load;
}

} // namespace limpet::standin

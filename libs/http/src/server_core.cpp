#include "server_core.hpp"

#include "connection.hpp"

#include <limpet/base/log.hpp>

#include <algorithm>
#include <utility>

namespace limpet::http
{

namespace
{

/// Connections that are refused with an answer at one time: a fraction (1/n) of
/// those that are served, and no more than that.
constexpr std::size_t refusals_divisor = 8;
constexpr std::size_t most_refusals = 64;
/// Interval between two log lines about the bounds.
constexpr duration log_interval = seconds(1);

/// Releases the room of a request.
struct request_claim
{
    explicit request_claim(std::shared_ptr<server_core> holder)
        : core(std::move(holder))
    {
    }

    ~request_claim()
    {
        core->release_request(this);
    }

    request_claim(const request_claim&) = delete;
    request_claim& operator=(const request_claim&) = delete;

    std::shared_ptr<server_core> core;
};

response plain_refusal(unsigned status, std::string_view reason)
{
    response answer;
    answer.head.status = status;
    answer.head.headers.set("Content-Type", "text/plain");
    answer.body = std::string(reason) + "\n";
    return answer;
}

} // namespace

server_core::server_core(const server_limits& bounds,
                         server::handler handler,
                         server::refusal refuse)
    : handle(std::move(handler)),
      m_refuse(std::move(refuse)),
      m_limits(bounds),
      m_requests(bounds.total_request_bytes),
      m_most_refusals(std::clamp<std::size_t>(
          bounds.connections / refusals_divisor, 1, most_refusals))
{
}

response server_core::make_refusal(unsigned status,
                                   std::string_view reason) const
{
    return m_refuse ? m_refuse(status, reason) : plain_refusal(status, reason);
}

server_limits server_core::limits() const
{
    const std::lock_guard lock(m_mutex);
    return m_limits;
}

void server_core::set_limits(const server_limits& limits)
{
    const std::lock_guard lock(m_mutex);
    const std::size_t connections_before = m_limits.connections;
    const std::size_t bytes_before = m_limits.total_request_bytes;
    m_limits = limits;
    m_limits.connections = connections_before;
    m_limits.total_request_bytes = bytes_before;
}

bool server_core::add(const std::shared_ptr<connection>& item)
{
    if (connections >= limits().connections && !find_place())
    {
        return false;
    }
    const std::lock_guard lock(m_mutex);
    if (stopping)
    {
        return false;
    }
    m_open.emplace(item.get(), item);
    connections = m_open.size();
    return true;
}

/// Lets another connection give up its place for a new one, if need be. Returns
/// whether there is a place.
bool server_core::find_place()
{
    const std::vector<std::shared_ptr<connection>> items = all();
    std::vector<connection_activity> activities;
    activities.reserve(items.size());
    for (const auto& item : items)
    {
        activities.push_back(item->activity());
    }
    const place_decision decision =
        decide_place(activities, limits().connections, monotonic_clock::now());
    if (decision.yields)
    {
        ++m_ended_connections;
        log_counts();
        items[*decision.yields]->post_give_up_place();
    }
    if (decision.closes)
    {
        items[*decision.closes]->post_close();
    }
    return decision.has_place;
}

void server_core::set_address(std::string address)
{
    m_address = std::move(address);
}

void server_core::record_refused_connection()
{
    if (!stopping)
    {
        ++m_refused_connections;
        log_counts();
    }
}

server_counts server_core::counts() const
{
    return {m_ended_connections, m_refused_connections, m_without_memory};
}

/// Logs that the bounds are met, as seldom as a log can bear in a flood.
void server_core::log_counts()
{
    const time_point now = monotonic_clock::now();
    time_point next = m_next_log;
    if (now < next ||
        !m_next_log.compare_exchange_strong(next, now + log_interval))
    {
        return;
    }
    const server_counts counted = counts();
    log_event(log_level::warn,
              "callers.limited",
              {{"address", m_address},
               {"connections", connections.load()},
               {"ended", counted.ended_connections},
               {"refused", counted.refused_connections},
               {"without_memory", counted.without_memory}});
}

void server_core::remove(const connection* item)
{
    const std::lock_guard lock(m_mutex);
    m_open.erase(item);
    connections = m_open.size();
}

void server_core::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        stopping = true;
    }
    winding_down = true;
    close_idle();
}

void server_core::close_idle()
{
    for (const auto& item : all())
    {
        item->post_close_if_idle();
    }
}

void server_core::close_all()
{
    for (const auto& item : all())
    {
        item->post_close();
    }
}

bool server_core::resize_request(receive_budget::message_key item,
                                 std::size_t bytes)
{
    std::vector<receive_budget::message_key> evicted;
    bool has_room = false;
    {
        const std::lock_guard lock(m_request_mutex);
        has_room =
            m_requests.resize(item, bytes, monotonic_clock::now(), evicted);
    }
    if (!has_room)
    {
        ++m_without_memory;
        log_counts();
    }
    for (const receive_budget::message_key each : evicted)
    {
        end_receiving(static_cast<const connection*>(each));
    }
    return has_room;
}

void server_core::end_receiving(const connection* item)
{
    std::shared_ptr<connection> found;
    {
        const std::lock_guard lock(m_mutex);
        const auto entry = m_open.find(item);
        found = entry == m_open.end() ? nullptr : entry->second.lock();
    }
    if (found)
    {
        found->post_end_receiving();
    }
}

void server_core::complete_request(receive_budget::message_key item)
{
    const std::lock_guard lock(m_request_mutex);
    m_requests.set_complete(item);
}

void server_core::release_request(receive_budget::message_key item)
{
    const std::lock_guard lock(m_request_mutex);
    m_requests.release(item);
}

std::shared_ptr<void>
server_core::claim_memory(const std::shared_ptr<server_core>& core,
                          std::size_t bytes)
{
    auto claim = std::make_shared<request_claim>(core);
    if (!core->resize_request(claim.get(), bytes))
    {
        return nullptr;
    }
    core->complete_request(claim.get());
    return claim;
}

bool server_core::begin_refusal()
{
    if (++m_refusals <= m_most_refusals)
    {
        return true;
    }
    end_refusal();
    return false;
}

void server_core::end_refusal()
{
    --m_refusals;
}

std::vector<std::shared_ptr<connection>> server_core::all() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<connection>> items;
    items.reserve(m_open.size());
    for (const auto& [key, weak] : m_open)
    {
        if (auto item = weak.lock())
        {
            items.push_back(std::move(item));
        }
    }
    return items;
}

} // namespace limpet::http

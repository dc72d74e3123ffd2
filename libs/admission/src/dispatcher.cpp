#include <limpet/admission/dispatcher.hpp>

#include <algorithm>

namespace limpet::admission
{

namespace
{

/// Weight of the newest request in the moving average of the time in flight.
constexpr double service_time_smoothing = 0.02;

token_count uncached_tokens(token_count prompt, token_count cached)
{
    return token_count(prompt.get() - std::min(prompt.get(), cached.get()));
}

} // namespace

dispatcher::dispatcher(dispatcher_settings settings,
                       const placement::engine_view& engine)
    : m_settings(settings),
      m_limit(settings.limit, engine.slots, engine.run),
      m_queue(settings.queue),
      m_slots(settings.guarantee_margin),
      m_shares(std::make_shared<const share_table>()),
      m_in_service(engine.in_service)
{
}

void dispatcher::set_shares(std::shared_ptr<const share_table> shares)
{
    m_shares = shares;
    m_queue.set_shares(std::move(shares));
}

void dispatcher::set_in_service(bool in_service)
{
    if (in_service && !m_in_service)
    {
        m_limit.on_cold();
    }
    m_in_service = in_service;
}

void dispatcher::take_over(const std::vector<queue_item>& in_flight,
                           std::uint32_t limit,
                           time_point now)
{
    for (const queue_item& item : in_flight)
    {
        start(item, now);
        mark_first_token(m_running.at(item.id), item.id);
    }
    confirm_started_until(now);
    m_limit.take_over(limit);
}

void dispatcher::bring(const offer& request, time_point now)
{
    if (!m_in_service || !m_queue.push(request.item))
    {
        m_rejected.push_back(request);
        return;
    }
    const time_point until = now + max_wait_of(request);
    m_pending.emplace(request.item.id, pending{request, until});
    m_wait_limits.emplace(until, request.item.id);
}

std::vector<dispatch_action>
dispatcher::poll(const placement::load_bound& bound, time_point now)
{
    check_overdue_first_tokens(now);
    std::vector<dispatch_action> actions;
    const std::uint32_t usable = slots(bound);
    start_waiting(usable, now, actions);
    redirect_requests(usable, now, actions);
    refuse_expired(usable, now, actions);
    return actions;
}

void dispatcher::set_ownership(std::uint32_t ownership_bound,
                               std::uint32_t previous_owner_requests) noexcept
{
    m_ownership_bound = ownership_bound;
    m_previous_owner_requests = previous_owner_requests;
}

std::uint32_t dispatcher::slots(const placement::load_bound& bound) const
{
    const std::uint32_t highest =
        std::min({m_limit.limit(), bound.bound(), m_ownership_bound});
    return highest > m_previous_owner_requests
               ? highest - m_previous_owner_requests
               : 0;
}

void dispatcher::first_token(const request_id& id, time_point now)
{
    const auto found = m_running.find(id);
    if (found == m_running.end() || found->second.has_first_token)
    {
        return;
    }
    running_request& item = found->second;
    const duration latency = now - item.started_at;
    if (m_limit.is_on_time(item.uncached, latency))
    {
        confirm_started_until(item.started_at);
    }
    m_limit.on_first_token(item.prompt, item.uncached, latency);
    mark_first_token(item, id);
}

void dispatcher::finish(const request_id& id,
                        token_count work,
                        bool failed,
                        time_point now)
{
    const auto found = m_running.find(id);
    if (found == m_running.end())
    {
        return;
    }
    mark_first_token(found->second, id);
    m_unconfirmed.erase({found->second.started_at, id});
    m_slots.remove(found->second.partner);
    if (failed)
    {
        m_limit.on_failed();
    }
    else
    {
        const double elapsed_seconds =
            to_seconds(now - found->second.started_at);
        m_mean_service_seconds +=
            service_time_smoothing * (elapsed_seconds - m_mean_service_seconds);
        m_limit.on_completed(work, found->second.generation);
    }
    m_running.erase(found);
}

bool dispatcher::withdraw(const request_id& id)
{
    if (!m_queue.erase(id))
    {
        return false;
    }
    erase_pending(id);
    return true;
}

void dispatcher::report(const placement::engine_report& report, time_point now)
{
    while (m_in_flight_maxima.size() > 1 &&
           m_in_flight_maxima[1].first <= now - m_settings.report_lag)
    {
        m_in_flight_maxima.pop_front();
    }
    std::uint32_t highest = in_flight();
    if (!m_in_flight_maxima.empty())
    {
        highest = std::max(highest, m_in_flight_maxima.front().second);
    }
    m_limit.on_report(report, highest);
}

std::uint32_t dispatcher::in_flight() const noexcept
{
    return m_slots.in_flight();
}

std::size_t dispatcher::waiting() const noexcept
{
    return m_queue.size();
}

std::uint32_t dispatcher::room(const placement::load_bound& bound) const
{
    const std::uint32_t usable = slots(bound);
    const auto used = static_cast<std::uint32_t>(in_flight() + waiting());
    return m_in_service && used < usable ? usable - used : 0;
}

std::uint32_t dispatcher::limit() const noexcept
{
    return m_limit.limit();
}

std::optional<time_point> dispatcher::next_wakeup() const
{
    std::optional<time_point> next = m_queue.next_deadline();
    if (!m_wait_limits.empty())
    {
        const time_point wait_limit = m_wait_limits.begin()->first;
        next = next ? std::min(*next, wait_limit) : wait_limit;
    }
    return next;
}

duration dispatcher::first_token_with(token_count prompt,
                                      token_count cached,
                                      token_count importable) const
{
    const duration local =
        m_limit.expected_first_token(uncached_tokens(prompt, cached));
    if (m_settings.import_tokens_per_second <= 0 || importable <= cached)
    {
        return local;
    }
    const double transfer = static_cast<double>(importable.get()) /
                            m_settings.import_tokens_per_second;
    const duration imported =
        m_settings.import_base + from_seconds(transfer) +
        m_limit.expected_first_token(uncached_tokens(prompt, importable));
    return std::min(local, imported);
}

bool dispatcher::is_import_worthwhile(const offer& request) const
{
    const duration local =
        first_token_with(request.prompt, request.cached, token_count(0));
    const duration imported =
        first_token_with(request.prompt, request.cached, request.source_cached);
    return imported + m_settings.min_first_token_saving <= local;
}

duration dispatcher::max_wait_of(const offer& request) const
{
    if (!request.may_go_elsewhere)
    {
        return request.longest_wait;
    }
    const duration warm =
        first_token_with(request.prompt, request.cached, request.source_cached);
    const duration elsewhere =
        first_token_with(request.prompt, token_count(0), request.cached);
    const duration saved = elsewhere - warm;
    if (saved < m_settings.min_first_token_saving ||
        saved < expected_wait(m_queue.size() - 1, in_flight()))
    {
        return duration::zero();
    }
    // A wait must not make a request miss the first-token budget that it would
    // meet at another engine. A request that would miss it there anyway may
    // wait as long as it can meet the budget here.
    const duration budget = m_settings.first_token_budget;
    const duration remaining =
        elsewhere <= budget ? budget - elsewhere : budget - warm;
    return std::clamp(remaining, duration::zero(), m_settings.longest_patience);
}

duration dispatcher::expected_wait(std::size_t ahead, std::uint32_t slots) const
{
    const double completions = static_cast<double>(ahead) + 1;
    const double parallel_requests = std::max<std::uint32_t>(1, slots);
    return from_seconds(completions * m_mean_service_seconds /
                        parallel_requests);
}

void dispatcher::start(const queue_item& item, time_point now)
{
    m_slots.add(item.partner);
    running_request started{
        item.partner, {}, {}, now, false, m_limit.generation()};
    const auto found = m_pending.find(item.id);
    if (found != m_pending.end())
    {
        const offer& request = found->second.request;
        const token_count cached = is_import_worthwhile(request)
                                       ? request.source_cached
                                       : request.cached;
        started.prompt = request.prompt;
        started.uncached = uncached_tokens(started.prompt, cached);
    }
    m_running.emplace(item.id, started);
    m_awaiting_first_token.emplace(now, item.id);
    m_unconfirmed.emplace(now, item.id);
    const std::uint32_t count = in_flight();
    while (!m_in_flight_maxima.empty() &&
           m_in_flight_maxima.back().second <= count)
    {
        m_in_flight_maxima.pop_back();
    }
    m_in_flight_maxima.emplace_back(now, count);
    erase_pending(item.id);
}

void dispatcher::start_waiting(std::uint32_t slots,
                               time_point now,
                               std::vector<dispatch_action>& actions)
{
    const auto is_below = [&](const partner_id& partner)
    {
        return in_flight() < slots &&
               m_slots.is_below_guarantee(partner, slots, *m_shares);
    };
    const auto may_borrow = [&](const partner_id& partner)
    {
        return m_slots.may_start(partner, slots, *m_shares);
    };
    while (m_in_service && m_unconfirmed.size() < m_limit.max_unconfirmed())
    {
        std::optional<queue_item> next = m_queue.pop(is_below);
        if (!next)
        {
            next = m_queue.pop(may_borrow);
        }
        if (!next)
        {
            return;
        }
        const offer request = m_pending.at(next->id).request;
        start(*next, now);
        actions.push_back(start_request{
            next->id,
            is_import_worthwhile(request) ? request.source : std::nullopt});
    }
}

void dispatcher::redirect_requests(std::uint32_t slots,
                                   time_point now,
                                   std::vector<dispatch_action>& actions)
{
    const duration retry = expected_wait(m_queue.size(), slots);
    for (const offer& request : m_rejected)
    {
        if (request.may_go_elsewhere || !m_in_service)
        {
            actions.push_back(go_elsewhere{request.item.id});
            continue;
        }
        actions.push_back(refuse_request{request.item.id,
                                         {refusal_reason::queue_full, retry}});
    }
    m_rejected.clear();
    while (!m_wait_limits.empty() &&
           (!m_in_service || m_wait_limits.begin()->first <= now))
    {
        const request_id id = m_wait_limits.begin()->second;
        m_queue.erase(id);
        erase_pending(id);
        actions.push_back(go_elsewhere{id});
    }
}

void dispatcher::refuse_expired(std::uint32_t slots,
                                time_point now,
                                std::vector<dispatch_action>& actions)
{
    for (const queue_item& item : m_queue.expire(now))
    {
        erase_pending(item.id);
        const duration retry = expected_wait(m_queue.size(), slots);
        actions.push_back(
            refuse_request{item.id, {refusal_reason::deadline, retry}});
    }
}

void dispatcher::check_overdue_first_tokens(time_point now)
{
    for (const auto& [started, id] : m_awaiting_first_token)
    {
        const running_request& item = m_running.at(id);
        if (now - started > m_limit.slow_after(item.prompt))
        {
            m_limit.on_cold();
            return;
        }
    }
}

void dispatcher::erase_pending(const request_id& id)
{
    const auto found = m_pending.find(id);
    if (found != m_pending.end())
    {
        m_wait_limits.erase({found->second.wait_until, id});
        m_pending.erase(found);
    }
}

void dispatcher::mark_first_token(running_request& item, const request_id& id)
{
    item.has_first_token = true;
    m_awaiting_first_token.erase({item.started_at, id});
}

void dispatcher::confirm_started_until(time_point started)
{
    while (!m_unconfirmed.empty() && m_unconfirmed.begin()->first <= started)
    {
        m_unconfirmed.erase(m_unconfirmed.begin());
    }
}

} // namespace limpet::admission

#include <limpet/admission/dispatcher.hpp>

#include <algorithm>

namespace limpet::admission
{

namespace
{

constexpr double service_smoothing = 0.02;

token_count rest_of(token_count prompt, token_count cached)
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
        mark_answered(m_flights.at(item.id), item.id);
    }
    confirm_until(now);
    m_limit.take_over(limit);
}

void dispatcher::bring(const offer& request, time_point now)
{
    if (!m_in_service || !m_queue.push(request.item))
    {
        m_rejected.push_back(request);
        return;
    }
    const time_point until = now + patience_of(request);
    m_pending.emplace(request.item.id, pending{request, until});
    m_patience.emplace(until, request.item.id);
}

std::vector<dispatch_action>
dispatcher::poll(const placement::load_bound& bound, time_point now)
{
    check_overdue(now);
    std::vector<dispatch_action> actions;
    const std::uint32_t usable = slots(bound);
    start_waiting(usable, now, actions);
    send_elsewhere(usable, now, actions);
    refuse_hopeless(usable, now, actions);
    return actions;
}

void dispatcher::set_ownership(std::uint32_t most,
                               std::uint32_t inherited) noexcept
{
    m_most = most;
    m_inherited = inherited;
}

std::uint32_t dispatcher::slots(const placement::load_bound& bound) const
{
    const std::uint32_t highest =
        std::min({m_limit.limit(), bound.bound(), m_most});
    return highest > m_inherited ? highest - m_inherited : 0;
}

void dispatcher::first_token(const request_id& id, time_point now)
{
    const auto place = m_flights.find(id);
    if (place == m_flights.end() || place->second.answered)
    {
        return;
    }
    flight& item = place->second;
    const duration latency = now - item.started_at;
    if (m_limit.is_on_time(item.uncached, latency))
    {
        confirm_until(item.started_at);
    }
    m_limit.on_first_token(item.prompt, item.uncached, latency);
    mark_answered(item, id);
}

void dispatcher::finish(const request_id& id,
                        token_count work,
                        bool failed,
                        time_point now)
{
    const auto place = m_flights.find(id);
    if (place == m_flights.end())
    {
        return;
    }
    mark_answered(place->second, id);
    m_unconfirmed.erase({place->second.started_at, id});
    m_slots.remove(place->second.partner);
    if (failed)
    {
        m_limit.on_failed();
    }
    else
    {
        const double took = to_seconds(now - place->second.started_at);
        m_service_seconds += service_smoothing * (took - m_service_seconds);
        m_limit.on_completed(work, place->second.generation);
    }
    m_flights.erase(place);
}

bool dispatcher::withdraw(const request_id& id)
{
    if (!m_queue.erase(id))
    {
        return false;
    }
    forget(id);
    return true;
}

void dispatcher::report(const placement::engine_report& report, time_point now)
{
    while (m_highest.size() > 1 &&
           m_highest[1].first <= now - m_settings.report_lag)
    {
        m_highest.pop_front();
    }
    std::uint32_t highest = in_flight();
    if (!m_highest.empty())
    {
        highest = std::max(highest, m_highest.front().second);
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
    if (!m_patience.empty())
    {
        const time_point patient = m_patience.begin()->first;
        next = next ? std::min(*next, patient) : patient;
    }
    return next;
}

duration dispatcher::first_token_with(token_count prompt,
                                      token_count cached,
                                      token_count importable) const
{
    const duration local =
        m_limit.expected_first_token(rest_of(prompt, cached));
    if (m_settings.import_tokens_per_second <= 0 || importable <= cached)
    {
        return local;
    }
    const double transfer = static_cast<double>(importable.get()) /
                            m_settings.import_tokens_per_second;
    const duration imported =
        m_settings.import_base + from_seconds(transfer) +
        m_limit.expected_first_token(rest_of(prompt, importable));
    return std::min(local, imported);
}

bool dispatcher::is_import_worthwhile(const offer& request) const
{
    const duration local =
        first_token_with(request.prompt, request.cached, token_count(0));
    const duration imported =
        first_token_with(request.prompt, request.cached, request.source_cached);
    return imported + m_settings.worthwhile_saving <= local;
}

duration dispatcher::patience_of(const offer& request) const
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
    if (saved < m_settings.worthwhile_saving ||
        saved < expected_wait(m_queue.size() - 1, in_flight()))
    {
        return duration::zero();
    }
    // A wait must not push a request over the budget that it would keep at
    // another engine; one that would not keep it there can only gain.
    const duration budget = m_settings.first_token_budget;
    const duration left =
        elsewhere <= budget ? budget - elsewhere : budget - warm;
    return std::clamp(left, duration::zero(), m_settings.longest_patience);
}

duration dispatcher::expected_wait(std::size_t ahead, std::uint32_t slots) const
{
    const double completions = static_cast<double>(ahead) + 1;
    const double lanes = std::max<std::uint32_t>(1, slots);
    return from_seconds(completions * m_service_seconds / lanes);
}

void dispatcher::start(const queue_item& item, time_point now)
{
    m_slots.add(item.partner);
    flight started{item.partner, {}, {}, now, false, m_limit.generation()};
    const auto place = m_pending.find(item.id);
    if (place != m_pending.end())
    {
        const offer& request = place->second.request;
        const token_count cached = is_import_worthwhile(request)
                                       ? request.source_cached
                                       : request.cached;
        started.prompt = request.prompt;
        started.uncached = rest_of(started.prompt, cached);
    }
    m_flights.emplace(item.id, started);
    m_unanswered.emplace(now, item.id);
    m_unconfirmed.emplace(now, item.id);
    const std::uint32_t count = in_flight();
    while (!m_highest.empty() && m_highest.back().second <= count)
    {
        m_highest.pop_back();
    }
    m_highest.emplace_back(now, count);
    forget(item.id);
}

void dispatcher::start_waiting(std::uint32_t slots,
                               time_point now,
                               std::vector<dispatch_action>& actions)
{
    const auto below = [&](const partner_id& partner)
    {
        return in_flight() < slots &&
               m_slots.is_below(partner, slots, *m_shares);
    };
    const auto may_borrow = [&](const partner_id& partner)
    {
        return m_slots.may_start(partner, slots, *m_shares);
    };
    while (m_in_service && m_unconfirmed.size() < m_limit.max_unconfirmed())
    {
        std::optional<queue_item> next = m_queue.pop(below);
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

void dispatcher::send_elsewhere(std::uint32_t slots,
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
    while (!m_patience.empty() &&
           (!m_in_service || m_patience.begin()->first <= now))
    {
        const request_id id = m_patience.begin()->second;
        m_queue.erase(id);
        forget(id);
        actions.push_back(go_elsewhere{id});
    }
}

void dispatcher::refuse_hopeless(std::uint32_t slots,
                                 time_point now,
                                 std::vector<dispatch_action>& actions)
{
    for (const queue_item& item : m_queue.expire(now))
    {
        forget(item.id);
        const duration retry = expected_wait(m_queue.size(), slots);
        actions.push_back(
            refuse_request{item.id, {refusal_reason::deadline, retry}});
    }
}

void dispatcher::check_overdue(time_point now)
{
    for (const auto& [started, id] : m_unanswered)
    {
        const flight& item = m_flights.at(id);
        if (now - started > m_limit.slow_after(item.prompt))
        {
            m_limit.on_cold();
            return;
        }
    }
}

void dispatcher::forget(const request_id& id)
{
    const auto place = m_pending.find(id);
    if (place != m_pending.end())
    {
        m_patience.erase({place->second.patient_until, id});
        m_pending.erase(place);
    }
}

void dispatcher::mark_answered(flight& item, const request_id& id)
{
    item.answered = true;
    m_unanswered.erase({item.started_at, id});
}

void dispatcher::confirm_until(time_point started)
{
    while (!m_unconfirmed.empty() && m_unconfirmed.begin()->first <= started)
    {
        m_unconfirmed.erase(m_unconfirmed.begin());
    }
}

} // namespace limpet::admission

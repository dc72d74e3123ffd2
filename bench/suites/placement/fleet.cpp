#include "fleet.hpp"

#include <algorithm>
#include <cmath>
#include <string>

namespace limpet::bench
{

prefix_cache::prefix_cache(std::uint64_t capacity_tokens)
    : m_capacity(capacity_tokens)
{
}

std::uint32_t prefix_cache::find(std::uint64_t chat) const
{
    const auto place = m_index.find(chat);
    return place == m_index.end() ? 0 : place->second->second;
}

void prefix_cache::store(std::uint64_t chat, std::uint32_t tokens)
{
    const auto place = m_index.find(chat);
    if (place != m_index.end())
    {
        m_used -= place->second->second;
        m_entries.erase(place->second);
        m_index.erase(place);
    }
    m_entries.emplace_front(chat, tokens);
    m_index[chat] = m_entries.begin();
    m_used += tokens;
    while (m_used > m_capacity && m_entries.size() > 1)
    {
        m_used -= m_entries.back().second;
        m_index.erase(m_entries.back().first);
        m_entries.pop_back();
    }
}

void prefix_cache::clear()
{
    m_entries.clear();
    m_index.clear();
    m_used = 0;
}

std::uint64_t prefix_cache::used_tokens() const noexcept
{
    return m_used;
}

double quantile(std::vector<double> values, double part)
{
    if (values.empty())
    {
        return 0;
    }
    const auto last = static_cast<double>(values.size() - 1);
    const auto place = static_cast<std::ptrdiff_t>(std::ceil(part * last));
    std::nth_element(values.begin(), values.begin() + place, values.end());
    return values[static_cast<std::size_t>(place)];
}

fleet::fleet(event_queue& events,
             engine_model model,
             time_point measure_from,
             time_point measure_until)
    : m_events(events),
      m_model(model),
      m_measure_from(measure_from),
      m_measure_until(measure_until)
{
}

std::uint32_t fleet::add_engine(std::uint32_t data_centre, bool warm)
{
    const auto index = static_cast<std::uint32_t>(m_engines.size());
    fake_engine engine{{}, prefix_cache(m_model.cache_tokens)};
    engine.view.id = engine_id("engine-" + std::to_string(index));
    engine.view.run = incarnation(1);
    engine.view.data_centre =
        data_centre_id("dc-" + std::to_string(data_centre));
    engine.view.slots = m_model.slots;
    engine.view.joined_at =
        warm ? time_point{} - std::chrono::hours(24) : m_events.now();
    if (warm)
    {
        engine.work_since_cold =
            std::uint64_t{m_model.slots} * m_model.work_tokens_per_slot;
    }
    m_engines.push_back(std::move(engine));
    ++m_eligible;
    note_mean();
    return index;
}

void fleet::remove_engine(std::uint32_t index)
{
    set_in_service(index, false);
    m_engines[index].alive = false;
    std::vector<std::uint64_t> broken;
    for (const auto& [id, item] : m_flights)
    {
        if (item.engine == index)
        {
            broken.push_back(id);
        }
    }
    std::sort(broken.begin(), broken.end());
    for (const std::uint64_t id : broken)
    {
        end(id, true);
    }
}

void fleet::set_in_service(std::uint32_t index, bool in_service)
{
    fake_engine& engine = m_engines[index];
    if (engine.view.in_service == in_service)
    {
        return;
    }
    engine.view.in_service = in_service;
    const auto load = static_cast<std::int64_t>(engine.in_flight);
    m_in_flight += in_service ? load : -load;
    in_service ? ++m_eligible : --m_eligible;
    note_mean();
}

void fleet::accept_order(const data_centre_id& id, bool in_service)
{
    for (fake_engine& engine : m_engines)
    {
        if (engine.view.data_centre == id)
        {
            engine.ordered_out_at =
                in_service ? time_point::max() : m_events.now();
        }
    }
}

void fleet::turn_cold(std::uint32_t index)
{
    fake_engine& engine = m_engines[index];
    engine.cache.clear();
    engine.slow = true;
    engine.work_since_cold = 0;
    engine.in_flight_since_cold = 0;
    ++engine.colds;
}

void fleet::start(std::uint32_t index,
                  const turn& request,
                  std::optional<std::uint32_t> import_from,
                  const answered& on_first_token,
                  const finished& on_finished)
{
    fake_engine& engine = m_engines[index];
    ++engine.in_flight;
    ++engine.in_flight_since_cold;
    m_in_flight += engine.view.in_service ? 1 : 0;
    note_mean();
    check_dispatch(engine);
    std::uint32_t warm =
        std::min(engine.cache.find(request.chat), request.prompt_tokens);
    double transfer = 0;
    if (import_from && m_engines[*import_from].alive)
    {
        const std::uint32_t found =
            std::min(m_engines[*import_from].cache.find(request.chat),
                     request.prompt_tokens);
        transfer = to_seconds(m_model.import_base);
        if (found > warm)
        {
            transfer += found / m_model.import_tokens_per_second;
            m_measured.imported_tokens += is_measured() ? found - warm : 0;
            warm = found;
        }
    }
    engine.cache.store(request.chat, request.prompt_tokens);
    const double prefill =
        (request.prompt_tokens - warm) / m_model.prefill_tokens_per_second;
    const double nominal = to_seconds(m_model.first_token_base) + prefill;
    const double slowdown = engine.slow ? m_model.cold_slowdown : 1;
    const double first = transfer + nominal * slowdown;
    const duration wait = m_events.now() - request.at;
    if (is_measured())
    {
        ++m_measured.started;
        ++m_measured.partner_started[request.partner];
        m_measured.partner_tokens[request.partner] +=
            request.prompt_tokens + request.output_tokens;
        m_measured.prompt_tokens += request.prompt_tokens;
        m_measured.warm_tokens += warm;
        m_measured.first_token_seconds.push_back(to_seconds(wait) + first);
        m_measured.wait_seconds[request.partner].push_back(to_seconds(wait));
    }
    const std::uint64_t id = m_next_flight++;
    m_flights.emplace(id,
                      flight{index, true, engine.colds, request, on_finished});
    const duration answer = from_seconds(first);
    m_events.after(answer,
                   [this, id, on_first_token]
                   {
                       if (m_flights.contains(id))
                       {
                           on_first_token();
                       }
                   });
    m_events.after(answer + request.output_tokens * token_interval,
                   [this, id]
                   {
                       if (m_flights.contains(id))
                       {
                           end(id, false);
                       }
                   });
}

void fleet::refuse(const turn&)
{
    m_measured.refused += is_measured() ? 1 : 0;
}

void fleet::arrive(const turn& request)
{
    if (!is_measured())
    {
        return;
    }
    ++m_measured.requests;
    ++m_measured.partner_arrived[request.partner];
}

const std::vector<fake_engine>& fleet::engines() const noexcept
{
    return m_engines;
}

std::vector<placement::engine_view> fleet::views() const
{
    std::vector<placement::engine_view> views;
    for (const fake_engine& engine : m_engines)
    {
        if (engine.eligible())
        {
            views.push_back(engine.view);
        }
    }
    return views;
}

double fleet::mean_with(std::uint32_t more) const
{
    return static_cast<double>(m_in_flight + more) /
           std::max<std::uint32_t>(1, m_eligible);
}

std::uint32_t fleet::true_bound() const
{
    const double highest = std::ceil(m_model.load_multiple * mean_with(1));
    return static_cast<std::uint32_t>(
        std::min(highest, static_cast<double>(m_model.slots)));
}

std::uint32_t fleet::eligible_count() const noexcept
{
    return m_eligible;
}

measurements& fleet::measured() noexcept
{
    return m_measured;
}

event_queue& fleet::events() noexcept
{
    return m_events;
}

const engine_model& fleet::model() const noexcept
{
    return m_model;
}

void fleet::note_mean()
{
    const double mean = mean_with(0);
    time_point from = m_events.now();
    while (!m_means.empty() && m_means.back().second <= mean)
    {
        from = m_means.back().first;
        m_means.pop_back();
    }
    m_means.emplace_back(from, mean);
}

double fleet::highest_mean()
{
    // A mean holds until the next one, so that the last one noted before the
    // second began counts too.
    while (m_means.size() > 1 &&
           m_means[1].first <= m_events.now() - seconds(1))
    {
        m_means.pop_front();
    }
    return m_means.front().second;
}

void fleet::check_dispatch(const fake_engine& engine)
{
    if (!is_measured())
    {
        return;
    }
    const auto load = static_cast<double>(engine.in_flight);
    if (engine.view.in_service)
    {
        const double mean = highest_mean();
        const double bound = std::ceil(m_model.load_multiple * mean - 1e-9);
        m_measured.load_over_bound =
            std::max(m_measured.load_over_bound, load / bound);
        m_measured.load_over_mean =
            std::max(m_measured.load_over_mean, load / mean);
    }
    const bool is_out = engine.ordered_out_at < m_events.now() - seconds(3);
    m_measured.late_dispatches += is_out || !engine.alive ? 1 : 0;
    const auto gained = static_cast<double>(engine.work_since_cold) /
                        m_model.work_tokens_per_slot;
    const double bearable = std::min<double>(
        m_model.slots, std::floor(m_model.cold_bearable + gained));
    m_measured.cold_over_bearable = std::max(
        m_measured.cold_over_bearable, engine.in_flight_since_cold / bearable);
}

void fleet::end(std::uint64_t id, bool failed)
{
    const flight item = std::move(m_flights.at(id));
    m_flights.erase(id);
    fake_engine& engine = m_engines[item.engine];
    --engine.in_flight;
    m_in_flight -= engine.view.in_service ? 1 : 0;
    note_mean();
    const std::uint64_t work = failed ? 0 : item.request.output_tokens;
    if (item.colds == engine.colds)
    {
        --engine.in_flight_since_cold;
        engine.work_since_cold += work;
    }
    if (engine.work_since_cold >=
        std::uint64_t{m_model.slots} * m_model.work_tokens_per_slot)
    {
        engine.slow = false;
    }
    if (!failed && item.colds == engine.colds)
    {
        engine.cache.store(item.request.chat,
                           item.request.prompt_tokens +
                               item.request.output_tokens);
    }
    if (is_measured())
    {
        failed ? ++m_measured.cut : ++m_measured.finished;
    }
    item.on_finished(work, failed);
}

bool fleet::is_measured() const
{
    return m_events.now() >= m_measure_from && m_events.now() < m_measure_until;
}

} // namespace limpet::bench

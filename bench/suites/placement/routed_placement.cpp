#include "routed_placement.hpp"

#include <limpet/base/hash.hpp>

#include <algorithm>
#include <string>
#include <variant>

namespace limpet::bench
{

namespace
{

constexpr duration hop = milliseconds(1);
constexpr duration report_interval = seconds(1);

} // namespace

routed_placement::routed_placement(routed_settings settings,
                                   fleet& engines,
                                   std::uint64_t seed)
    : m_settings(std::move(settings)),
      m_fleet(engines),
      m_events(engines.events()),
      m_random(seed),
      m_shares(
          std::make_shared<const admission::share_table>(m_settings.shares))
{
    const auto view =
        std::make_shared<const placement::chooser>(m_fleet.views());
    for (std::uint32_t at = 0; at < m_settings.routers; ++at)
    {
        m_routers.push_back(
            {vm_id("router-" + std::to_string(at)),
             view,
             placement::load_bound(m_settings.bound),
             placement::window_minimum(2 * placement::load_clock_skew),
             milliseconds(m_random.below(21)) - milliseconds(10),
             0,
             placement::spare_list(seconds(2)),
             placement::chat_directory(m_settings.directory_capacity,
                                       std::chrono::hours(1)),
             {}});
        m_routers.back().bound.set_engines(view->size());
        m_routers.back().lowest.record(0, m_events.now());
        m_events.at(time_point{} + placement::load_clock_skew -
                        m_routers.back().clock_offset,
                    [this, at]
                    {
                        send_digest(at);
                    });
    }
    own_new_engines();
}

void routed_placement::arrive(const turn& request)
{
    m_fleet.arrive(request);
    const request_id id(std::to_string(m_next_request++));
    journey item;
    item.request = request;
    item.chat = placement::chat_key(combine_hashes(request.chat, 1));
    item.entry = static_cast<std::uint32_t>(m_random.below(m_routers.size()));
    m_journeys.emplace(id, std::move(item));
    enter(id);
}

void routed_placement::engines_changed()
{
    own_new_engines();
    for (std::uint32_t at = 0; at < m_engines.size(); ++at)
    {
        set_in_service(at, m_fleet.engines()[at].eligible());
    }
    spread_list();
}

void routed_placement::spread_list()
{
    const auto view =
        std::make_shared<const placement::chooser>(m_fleet.views());
    const std::uint64_t version = ++m_list_version;
    for (router& item : m_routers)
    {
        const duration delay = from_seconds(m_random.uniform() *
                                            to_seconds(m_settings.list_delay));
        m_events.after(delay,
                       [this, &item, view, version]
                       {
                           if (version < item.list_version)
                           {
                               return;
                           }
                           item.list_version = version;
                           item.view = view;
                           item.bound.set_engines(view->size());
                       });
    }
}

void routed_placement::set_in_service(std::uint32_t engine, bool in_service)
{
    owned_engine& item = m_engines[engine];
    if (item.in_service == in_service)
    {
        return;
    }
    item.in_service = in_service;
    m_fleet.set_in_service(engine, in_service);
    router& owner = m_routers[item.owner];
    const std::uint32_t load = item.dispatcher.in_flight();
    owner.in_flight += in_service ? load : -std::uint64_t{load};
    owner.lowest.record(owner.in_flight, m_events.now());
    item.dispatcher.set_in_service(in_service);
    pump(engine);
}

void routed_placement::set_data_centre(std::uint32_t data_centre,
                                       bool in_service)
{
    const data_centre_id id("dc-" + std::to_string(data_centre));
    m_fleet.accept_order(id, in_service);
    for (std::uint32_t at = 0; at < m_engines.size(); ++at)
    {
        const fake_engine& engine = m_fleet.engines()[at];
        if (!engine.alive || engine.view.data_centre != id)
        {
            continue;
        }
        const duration delay = from_seconds(m_random.uniform() *
                                            to_seconds(m_settings.list_delay));
        m_events.after(delay,
                       [this, at, in_service]
                       {
                           set_in_service(at, in_service);
                       });
    }
    m_events.after(m_settings.list_delay,
                   [this]
                   {
                       spread_list();
                   });
}

void routed_placement::own_new_engines()
{
    const auto& engines = m_fleet.engines();
    while (m_engines.size() < engines.size())
    {
        const auto at = static_cast<std::uint32_t>(m_engines.size());
        const std::uint32_t owner = owner_of(at);
        admission::dispatcher dispatcher(m_settings.dispatch, engines[at].view);
        dispatcher.set_shares(m_shares);
        if (engines[at].work_since_cold > 0)
        {
            dispatcher.take_over({}, engines[at].view.slots, m_events.now());
        }
        m_engines.push_back({owner, std::move(dispatcher), true, std::nullopt});
        m_routers[owner].engines.push_back(at);
        m_events.after(
            from_seconds(m_random.uniform() * to_seconds(report_interval)),
            [this, at]
            {
                send_report(at);
            });
    }
}

std::uint32_t routed_placement::owner_of(std::uint32_t engine)
{
    // Routers and engines are dealt to the data centres in turn.
    const std::string& text = m_fleet.engines()[engine].view.data_centre.get();
    const auto centre = static_cast<std::uint32_t>(std::stoul(text.substr(3)));
    std::uint32_t best = centre % m_settings.routers;
    std::uint64_t highest = 0;
    for (std::uint32_t at = centre; at < m_settings.routers;
         at += m_settings.data_centres)
    {
        const std::uint64_t draw = combine_hashes(at, engine);
        if (draw >= highest)
        {
            highest = draw;
            best = at;
        }
    }
    return best;
}

std::uint32_t routed_placement::index_of(const engine_id& id) const
{
    return static_cast<std::uint32_t>(std::stoul(id.get().substr(7)));
}

void routed_placement::enter(const request_id& id)
{
    journey& item = m_journeys.at(id);
    placement::route_request request{
        item.chat, item.request.returning, std::nullopt, item.rounds};
    const auto hint = m_hints.find(item.request.chat);
    if (m_settings.hints && hint != m_hints.end())
    {
        request.hint = hint->second;
    }
    item.way = std::make_unique<placement::itinerary>(
        m_routers[item.entry].view, request, m_settings.route, m_events.now());
    item.at = {};
    try_next(id);
}

void routed_placement::try_next(const request_id& id)
{
    journey& item = m_journeys.at(id);
    if (m_events.now() >= item.request.at + m_settings.deadline)
    {
        act(admission::refuse_request{id, {}}, item.engine);
        return;
    }
    if (item.at.is_last)
    {
        ++item.rounds;
        enter(id);
        return;
    }
    item.at =
        item.way->next(m_routers[item.entry].spares, m_random, m_events.now());
    item.engine = index_of(item.way->engines().engine(item.at.engine).id);
    m_events.after(hop,
                   [this, id]
                   {
                       visit(id);
                   });
}

void routed_placement::visit(const request_id& id)
{
    journey& item = m_journeys.at(id);
    const router& owner = m_routers[m_engines[item.engine].owner];
    const placement::chat_holders holders =
        item.request.returning && m_settings.directory
            ? owner.directory.find(item.chat, m_events.now())
            : placement::chat_holders{};
    const engine_id& here = m_fleet.engines()[item.engine].view.id;
    if (item.at.is_first)
    {
        item.way->add_holders(holders);
        if (placement::is_better_elsewhere(holders, here))
        {
            try_next(id);
            return;
        }
    }
    bring(id, placement::cached_at(holders, here));
}

void routed_placement::bring(const request_id& id, token_count cached)
{
    const journey& item = m_journeys.at(id);
    admission::offer offer;
    offer.item.id = id;
    offer.item.partner = partner_id(std::to_string(item.request.partner));
    offer.item.team = team_id(std::to_string(item.request.partner) + "/" +
                              std::to_string(item.request.team));
    offer.item.cost =
        token_count(item.request.prompt_tokens + item.request.output_tokens);
    offer.item.deadline = item.request.at + m_settings.deadline;
    offer.prompt = token_count(item.request.prompt_tokens);
    offer.cached = cached;
    const auto& holder = item.way->best_holder();
    if (holder && holder->engine != m_fleet.engines()[item.engine].view.id)
    {
        offer.source = holder->engine;
        offer.source_cached = holder->tokens;
    }
    offer.may_go_elsewhere = !item.at.is_last;
    offer.longest_wait = item.at.longest_wait;
    m_engines[item.engine].dispatcher.bring(offer, m_events.now());
    pump(item.engine);
}

void routed_placement::pump(std::uint32_t engine)
{
    owned_engine& item = m_engines[engine];
    const auto actions =
        item.dispatcher.poll(m_routers[item.owner].bound, m_events.now());
    for (const admission::dispatch_action& action : actions)
    {
        std::visit(
            [this, engine](const auto& what)
            {
                act(what, engine);
            },
            action);
    }
    const std::optional<time_point> next =
        m_engines[engine].dispatcher.next_wakeup();
    if (next && m_engines[engine].wakeup != next)
    {
        m_engines[engine].wakeup = next;
        m_events.at(*next,
                    [this, engine, when = *next]
                    {
                        if (m_engines[engine].wakeup == when)
                        {
                            m_engines[engine].wakeup.reset();
                            pump(engine);
                        }
                    });
    }
}

void routed_placement::act(const admission::start_request& action,
                           std::uint32_t engine)
{
    const request_id id = action.id;
    std::optional<std::uint32_t> source;
    if (action.import_from)
    {
        source = index_of(*action.import_from);
    }
    count(engine, true);
    m_fleet.start(
        engine,
        m_journeys.at(id).request,
        source,
        [this, id, engine]
        {
            m_engines[engine].dispatcher.first_token(id, m_events.now());
            pump(engine);
        },
        [this, id, engine](std::uint64_t work, bool failed)
        {
            finish(id, engine, work, failed);
        });
}

void routed_placement::act(const admission::go_elsewhere& action, std::uint32_t)
{
    const request_id id = action.id;
    m_events.after(hop,
                   [this, id]
                   {
                       try_next(id);
                   });
}

void routed_placement::act(const admission::refuse_request& action,
                           std::uint32_t)
{
    m_fleet.refuse(m_journeys.at(action.id).request);
    m_journeys.erase(action.id);
}

void routed_placement::finish(const request_id& id,
                              std::uint32_t engine,
                              std::uint64_t work,
                              bool failed)
{
    count(engine, false);
    m_engines[engine].dispatcher.finish(
        id, token_count(work), failed, m_events.now());
    if (!failed)
    {
        record(m_journeys.at(id), engine);
    }
    m_journeys.erase(id);
    pump(engine);
}

void routed_placement::record(const journey& item, std::uint32_t engine)
{
    const engine_id& here = m_fleet.engines()[engine].view.id;
    const token_count tokens(item.request.prompt_tokens +
                             item.request.output_tokens);
    m_hints[item.request.chat] = here;
    const std::uint32_t owner = m_engines[engine].owner;
    const auto add = [&](std::uint32_t at)
    {
        m_routers[at].directory.record(
            item.chat, here, incarnation(1), tokens, m_events.now());
    };
    add(owner);
    if (!item.way->is_news(here))
    {
        return;
    }
    for (const placement::engine_index keeper : item.way->keepers())
    {
        const engine_id& id = item.way->engines().engine(keeper).id;
        const std::uint32_t at = m_engines[index_of(id)].owner;
        if (at != owner)
        {
            add(at);
            ++m_fleet.measured().notes;
        }
    }
}

void routed_placement::count(std::uint32_t engine, bool more)
{
    if (!m_engines[engine].in_service)
    {
        return;
    }
    router& owner = m_routers[m_engines[engine].owner];
    more ? ++owner.in_flight : --owner.in_flight;
    owner.lowest.record(owner.in_flight, m_events.now());
}

placement::load_epoch routed_placement::epoch_at(const router& item) const
{
    const time_point clock = m_events.now() + item.clock_offset;
    return placement::epoch_of(clock.time_since_epoch());
}

void routed_placement::send_digest(std::uint32_t from)
{
    router& item = m_routers[from];
    placement::load_digest digest;
    digest.epoch = epoch_at(item);
    digest.in_flight = item.lowest.lowest(m_events.now());
    for (const std::uint32_t engine : item.engines)
    {
        digest.engines += m_engines[engine].in_service ? 1 : 0;
    }
    item.bound.report(item.id, digest);
    const placement::spare_engine spare = spare_of(item);
    const bool is_late = from % 3 == 0;
    const duration delay = milliseconds(5 + m_random.below(45)) +
                           (is_late ? m_settings.digest_delay : duration{});
    m_events.after(delay,
                   [this, id = item.id, digest, spare]
                   {
                       take_digest(id, digest, spare);
                   });
    m_events.after(placement::load_epoch_length,
                   [this, from]
                   {
                       send_digest(from);
                   });
}

void routed_placement::take_digest(const vm_id& source,
                                   const placement::load_digest& digest,
                                   const placement::spare_engine& spare)
{
    for (router& item : m_routers)
    {
        item.bound.report(source, digest);
        item.bound.advance(epoch_at(item));
        item.spares.report(source, spare);
        for (const std::uint32_t engine : item.engines)
        {
            if (m_engines[engine].dispatcher.waiting() > 0)
            {
                pump(engine);
            }
        }
    }
}

placement::spare_engine routed_placement::spare_of(const router& owner)
{
    placement::spare_engine spare{{}, 0, m_events.now()};
    for (const std::uint32_t engine : owner.engines)
    {
        const std::uint32_t room =
            m_engines[engine].dispatcher.room(owner.bound);
        if (room > spare.room)
        {
            spare.room = room;
            spare.engine = m_fleet.engines()[engine].view.id;
        }
    }
    return spare;
}

void routed_placement::send_report(std::uint32_t engine)
{
    const fake_engine& item = m_fleet.engines()[engine];
    if (!item.alive)
    {
        return;
    }
    const placement::engine_report report{
        item.view.run, item.in_flight, token_count(item.cache.used_tokens())};
    m_events.after(m_settings.report_delay,
                   [this, engine, report]
                   {
                       m_engines[engine].dispatcher.report(report,
                                                           m_events.now());
                       pump(engine);
                   });
    m_events.after(report_interval,
                   [this, engine]
                   {
                       send_report(engine);
                   });
}

} // namespace limpet::bench

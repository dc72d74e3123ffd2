#include "owner_service.hpp"

#include <limpet/base/log.hpp>
#include <limpet/http/endpoint.hpp>
#include <limpet/placement/itinerary.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <chrono>

namespace limpet::pipeline
{

namespace net = boost::asio;

namespace
{

/// Time after which a caller may try an engine again that was not owned here.
constexpr duration not_owner_retry = milliseconds(100);
constexpr double full_percent = 100.0;

placement::engine_view make_engine_view(const membership::engine_record& from)
{
    placement::engine_view view;
    view.id = from.server.engine;
    view.run = from.server.started;
    view.data_centre = from.server.data_centre;
    view.slots = std::max<std::uint32_t>(1, from.server.slots);
    view.in_service = from.accepts_work();
    return view;
}

bool is_in_service(const membership::engine_record& record,
                   const config::config_view& view)
{
    return record.accepts_work() &&
           view.in_service(record.server.data_centre) &&
           view.in_service(record.server.engine);
}

exchange_state to_exchange_state(claims::request_state state)
{
    switch (state)
    {
    case claims::request_state::not_run:
        return exchange_state::refused;
    case claims::request_state::running:
        return exchange_state::running;
    case claims::request_state::finished:
        return exchange_state::finished;
    case claims::request_state::other_incarnation:
    case claims::request_state::no_promise:
        break;
    }
    return exchange_state::unknown;
}

model_id first_model(const membership::engine_record& record)
{
    return record.server.models.empty() ? model_id()
                                        : record.server.models.front();
}

/// Returns the VMs' common clock, which counts load epochs.
duration common_clock()
{
    return std::chrono::duration_cast<duration>(
        std::chrono::system_clock::now().time_since_epoch());
}

std::shared_ptr<const admission::share_table>
make_shares(const config::config_view& view)
{
    auto table = std::make_shared<admission::share_table>();
    view.objects<config::partner>().for_each(
        [&](const config::stored<config::partner>& item)
        {
            table->partners[item.value.id] =
                std::max(1U, item.value.share) / full_percent;
        });
    return table;
}

} // namespace

/// Load bound of one model.
struct owner_service::model_bound
{
    /// Replaces what one engine adds to this router's requests in flight.
    void recount(std::uint32_t& counted, std::uint32_t in_flight)
    {
        own += in_flight;
        own -= counted;
        counted = in_flight;
        bound.set_own(own);
    }

    std::mutex mutex;
    placement::load_bound bound{placement::load_bound_settings{}};
    /// Requests in flight on this router's engines of the model.
    std::uint64_t own = 0;
};

/// One engine's dispatcher and the facts that dispatching needs.
struct owner_service::owned_engine
{
    owned_engine(const membership::engine_record& from,
                 std::shared_ptr<model_bound> model)
        : record(from),
          bound(std::move(model)),
          queue(admission::dispatcher_settings{}, make_engine_view(from))
    {
    }

    std::mutex mutex;
    membership::engine_record record;
    std::shared_ptr<model_bound> bound;
    admission::dispatcher queue;
    /// Requests in flight that the model's bound has counted.
    std::uint32_t counted = 0;
    bool in_service = true;
    /// Whether the list of engines has lost it.
    bool is_gone = false;
};

owner_service::owner_service(net::io_context& context,
                             std::shared_ptr<wire::link_hub> hub,
                             std::shared_ptr<http::client> client,
                             std::shared_ptr<fleet> members,
                             std::shared_ptr<shared_directory> directory)
    : m_context(context),
      m_hub(std::move(hub)),
      m_client(std::move(client)),
      m_fleet(std::move(members)),
      m_directory(std::move(directory)),
      m_shares(std::make_shared<admission::share_table>()),
      m_config(std::make_shared<config::config_view>()),
      m_ledger(m_hub->self().start, {})
{
}

void owner_service::receive(const wire::link_identity& from,
                            exchange_message message)
{
    const exchange_id id = message.exchange;
    if (auto* request = std::get_if<open_message>(&message.content))
    {
        open(from, id, std::move(*request));
        return;
    }
    if (const auto* query = std::get_if<query_message>(&message.content))
    {
        answer_query(from, id, *query);
        return;
    }
    const request_id key = make_exchange_key(from, id);
    if (std::holds_alternative<cancel_message>(message.content))
    {
        cancel(key);
        return;
    }
    if (const auto* credit = std::get_if<credit_message>(&message.content))
    {
        if (const exchange_ptr exchange = find_exchange(key))
        {
            exchange->post_credit(credit->bytes);
        }
        return;
    }
    if (const auto* load = std::get_if<load_message>(&message.content))
    {
        report(load->engine, {load->run, load->in_flight, load->cached});
        return;
    }
    if (const auto* placed = std::get_if<placed_message>(&message.content))
    {
        m_directory->record(
            placement::make_chat_key(placed->team, placed->chat),
            placed->held.engine,
            placed->held.run,
            placed->held.tokens,
            monotonic_clock::now());
    }
}

void owner_service::open(const wire::link_identity& from,
                         exchange_id id,
                         open_message request)
{
    const time_point now = monotonic_clock::now();
    const auto exchange = std::make_shared<served_exchange>(
        m_context, m_hub, m_client, from, id, std::move(request));
    if (!register_exchange(exchange))
    {
        refuse_open(exchange,
                    {error_code::cancelled, "refused after a lost link"},
                    duration::zero());
        return;
    }
    const engine_id& engine_name = exchange->open().engine;
    const auto members = m_fleet->view();
    const membership::engine_entry* entry = members->find_engine(engine_name);
    const auto standing = m_fleet->ownership_of(engine_name, now);
    if (entry == nullptr || standing.mode == membership::ownership_mode::none)
    {
        forget(exchange->key());
        refuse_open(exchange,
                    {error_code::not_owner, "engine is not owned here"},
                    not_owner_retry);
        return;
    }
    const auto holders = holders_of(exchange->open(), now);
    if (exchange->open().is_first && exchange->open().may_go_elsewhere &&
        placement::is_better_elsewhere(holders, engine_name))
    {
        forget(exchange->key());
        refuse_open(exchange, {error_code::overloaded, "cached elsewhere"}, {});
        return;
    }
    const engine_ptr engine = find_or_add_engine(*entry->engine, now);
    {
        const std::lock_guard lock(engine->mutex);
        engine->queue.bring(make_offer(*exchange, now), now);
    }
    poll(engine, now);
}

bool owner_service::register_exchange(const exchange_ptr& exchange)
{
    const std::lock_guard lock(m_exchanges_mutex);
    const auto arrival =
        m_ledger.arrive(exchange->key(), monotonic_clock::now());
    if (arrival != claims::arrival::run)
    {
        return false;
    }
    m_exchanges.emplace(exchange->key(), exchange);
    return true;
}

void owner_service::refuse_open(const exchange_ptr& exchange,
                                error reason,
                                duration retry_after)
{
    exchange->finish_not_run(
        std::move(reason), retry_after, hints_for(exchange->open()));
}

void owner_service::cancel(const request_id& key)
{
    const exchange_ptr exchange = find_exchange(key);
    if (!exchange)
    {
        return;
    }
    if (const engine_ptr engine = find_engine(exchange->open().engine))
    {
        const std::lock_guard lock(engine->mutex);
        if (engine->queue.withdraw(key))
        {
            forget(key);
            exchange->finish_not_run(
                {error_code::cancelled, "caller gave up"}, {}, {});
            return;
        }
    }
    exchange->post_cancel();
}

void owner_service::answer_query(const wire::link_identity& from,
                                 exchange_id id,
                                 const query_message& query)
{
    const request_id key = make_exchange_key(from, id);
    state_message answer;
    {
        const std::lock_guard lock(m_exchanges_mutex);
        answer.value = to_exchange_state(
            m_ledger.query(key, query.sent_to, monotonic_clock::now()));
    }
    m_hub->send(from.vm, wire::channel::exchange, encode({id, answer}));
}

void owner_service::forget(const request_id& key)
{
    const std::lock_guard lock(m_exchanges_mutex);
    m_exchanges.erase(key);
    m_ledger.finish(key, monotonic_clock::now());
}

owner_service::exchange_ptr
owner_service::find_exchange(const request_id& key) const
{
    const std::lock_guard lock(m_exchanges_mutex);
    const auto found = m_exchanges.find(key);
    return found == m_exchanges.end() ? nullptr : found->second;
}

owner_service::engine_ptr
owner_service::find_engine(const engine_id& engine) const
{
    const std::shared_lock lock(m_engines_mutex);
    const auto found = m_engines.find(engine);
    return found == m_engines.end() ? nullptr : found->second;
}

owner_service::engine_ptr
owner_service::find_or_add_engine(const membership::engine_record& record,
                                  time_point now)
{
    if (engine_ptr known = find_engine(record.server.engine))
    {
        return known;
    }
    {
        const std::unique_lock lock(m_engines_mutex);
        engine_ptr& slot = m_engines[record.server.engine];
        if (!slot)
        {
            slot = std::make_shared<owned_engine>(
                record, bound_of(first_model(record)));
            slot->queue.set_shares(m_shares);
            slot->in_service = is_in_service(record, *m_config);
            slot->queue.set_in_service(slot->in_service);
        }
    }
    refresh_bounds(now);
    return find_engine(record.server.engine);
}

std::shared_ptr<owner_service::model_bound>
owner_service::bound_of(const model_id& model)
{
    std::shared_ptr<model_bound>& slot = m_bounds[model];
    if (!slot)
    {
        slot = std::make_shared<model_bound>();
    }
    return slot;
}

void owner_service::refresh_bounds(time_point now)
{
    const vm_id region_sum("region");
    const duration common = common_clock();
    const std::shared_lock lock(m_engines_mutex);
    for (const auto& [model, bound] : m_bounds)
    {
        const auto load = m_fleet->load_of(model, now);
        const std::lock_guard bound_lock(bound->mutex);
        if (load)
        {
            bound->bound.set_engines(load->eligible);
            bound->bound.report(region_sum,
                                {placement::epoch_of(common - load->age),
                                 load->eligible,
                                 load->in_flight});
        }
        bound->bound.advance(placement::epoch_of(common));
    }
}

void owner_service::update(const fleet::view_ptr& members,
                           const config::view_ptr& config)
{
    const time_point now = monotonic_clock::now();
    const auto shares = make_shares(*config);
    std::vector<engine_ptr> engines;
    {
        const std::unique_lock lock(m_engines_mutex);
        m_shares = shares;
        m_config = config;
        for (const auto& [id, engine] : m_engines)
        {
            engines.push_back(engine);
        }
    }
    for (const engine_ptr& engine : engines)
    {
        {
            const std::lock_guard lock(engine->mutex);
            const auto* entry =
                members->find_engine(engine->record.server.engine);
            const bool in_service =
                entry != nullptr && is_in_service(*entry->engine, *config);
            engine->queue.set_shares(shares);
            if (entry != nullptr &&
                entry->engine->server.started != engine->record.server.started)
            {
                engine->queue.report({entry->engine->server.started, 0, {}},
                                     now);
            }
            if (entry != nullptr)
            {
                engine->record = *entry->engine;
            }
            engine->is_gone = entry == nullptr;
            if (in_service != engine->in_service)
            {
                engine->in_service = in_service;
                engine->queue.set_in_service(in_service);
            }
        }
        poll(engine, now);
    }
    forget_gone_engines();
}

void owner_service::forget_gone_engines()
{
    const std::unique_lock lock(m_engines_mutex);
    std::erase_if(m_engines,
                  [](const auto& item)
                  {
                      const std::lock_guard engine_lock(item.second->mutex);
                      const auto& queue = item.second->queue;
                      return item.second->is_gone && queue.in_flight() == 0 &&
                             queue.waiting() == 0;
                  });
}

void owner_service::on_ownership(const membership::ownership_changed& change)
{
    const time_point now = monotonic_clock::now();
    const auto members = m_fleet->view();
    const auto* entry = members->find_engine(change.engine);
    if (change.after == membership::ownership_mode::none)
    {
        release(change.engine, now);
        return;
    }
    if (entry == nullptr)
    {
        return;
    }
    const engine_ptr engine = find_or_add_engine(*entry->engine, now);
    const auto standing = m_fleet->ownership_of(change.engine, now);
    if (standing.inherited)
    {
        const std::lock_guard lock(engine->mutex);
        engine->queue.take_over({}, standing.inherited->limit, now);
    }
}

void owner_service::release(const engine_id& engine, time_point now)
{
    const engine_ptr known = find_engine(engine);
    if (!known)
    {
        return;
    }
    {
        const std::lock_guard lock(known->mutex);
        // Waiting requests go elsewhere; those in flight end here.
        known->in_service = false;
        known->queue.set_in_service(false);
    }
    poll(known, now);
}

void owner_service::on_peer_lost(const vm_id& peer)
{
    std::vector<request_id> lost;
    {
        const std::lock_guard lock(m_exchanges_mutex);
        for (const auto& [key, exchange] : m_exchanges)
        {
            if (exchange->entry().vm == peer && exchange->open().repeatable)
            {
                lost.push_back(key);
            }
        }
    }
    for (const request_id& key : lost)
    {
        cancel(key);
    }
}

void owner_service::report(const engine_id& engine,
                           const placement::engine_report& load)
{
    const engine_ptr found = find_engine(engine);
    if (!found)
    {
        return;
    }
    const time_point now = monotonic_clock::now();
    {
        const std::lock_guard lock(found->mutex);
        found->queue.report(load, now);
    }
    poll(found, now);
}

void owner_service::tick(time_point now)
{
    refresh_bounds(now);
    std::vector<engine_ptr> engines;
    {
        const std::shared_lock lock(m_engines_mutex);
        for (const auto& [id, engine] : m_engines)
        {
            engines.push_back(engine);
        }
    }
    for (const engine_ptr& engine : engines)
    {
        poll(engine, now);
    }
}

std::size_t owner_service::open_count() const
{
    const std::lock_guard lock(m_exchanges_mutex);
    return m_exchanges.size();
}

std::vector<engine_status> owner_service::engines() const
{
    std::vector<engine_status> all;
    const std::shared_lock lock(m_engines_mutex);
    for (const auto& [id, engine] : m_engines)
    {
        const std::lock_guard engine_lock(engine->mutex);
        const std::lock_guard bound_lock(engine->bound->mutex);
        all.push_back({id,
                       engine->queue.in_flight(),
                       engine->queue.waiting(),
                       engine->queue.limit(),
                       engine->bound->bound.bound(),
                       engine->in_service});
    }
    return all;
}

void owner_service::poll(const engine_ptr& engine, time_point now)
{
    std::vector<admission::dispatch_action> actions;
    {
        const std::lock_guard lock(engine->mutex);
        apply_ownership(*engine, now);
        const std::lock_guard bound_lock(engine->bound->mutex);
        model_bound& bound = *engine->bound;
        bound.recount(engine->counted, engine->queue.in_flight());
        actions = engine->queue.poll(bound.bound, now);
        bound.recount(engine->counted, engine->queue.in_flight());
    }
    carry_out(engine, actions);
    publish_load(engine);
}

void owner_service::apply_ownership(owned_engine& engine, time_point now)
{
    const auto standing =
        m_fleet->ownership_of(engine.record.server.engine, now);
    std::uint32_t most = UINT32_MAX;
    if (standing.mode == membership::ownership_mode::none)
    {
        most = 0;
    }
    if (standing.mode == membership::ownership_mode::limited)
    {
        most = placement::limit_settings{}.cold_limit;
    }
    engine.queue.set_ownership(
        most, standing.inherited ? standing.inherited->in_flight : 0);
}

void owner_service::carry_out(
    const engine_ptr& engine,
    const std::vector<admission::dispatch_action>& actions)
{
    for (const admission::dispatch_action& action : actions)
    {
        const request_id& key = std::visit(
            [](const auto& item) -> const request_id&
            {
                return item.id;
            },
            action);
        const exchange_ptr exchange = find_exchange(key);
        if (!exchange)
        {
            continue;
        }
        if (std::holds_alternative<admission::start_request>(action))
        {
            start(engine, exchange);
            continue;
        }
        forget(key);
        if (const auto* no = std::get_if<admission::refuse_request>(&action))
        {
            refuse_open(exchange,
                        {code_of(no->why.reason),
                         std::string(to_string(no->why.reason))},
                        no->why.retry_after);
            continue;
        }
        refuse_open(exchange, {error_code::overloaded, "go_elsewhere"}, {});
    }
}

void owner_service::start(const engine_ptr& engine,
                          const exchange_ptr& exchange)
{
    const time_point now = monotonic_clock::now();
    dispatch_target target;
    {
        const std::lock_guard lock(engine->mutex);
        const auto address =
            http::parse_endpoint(engine->record.server.address);
        target.address =
            is_ok(address) ? value_of(address) : net::ip::tcp::endpoint();
        target.checks_fencing = engine->record.server.checks_fencing;
        target.must_echo_request =
            engine->record.server.kind == membership::server_kind::engine;
    }
    target.fencing =
        m_fleet->ownership_of(exchange->open().engine, now).fencing;
    net::co_spawn(
        exchange->executor(),
        [self = shared_from_this(), engine, exchange, target]()
            -> net::awaitable<void>
        {
            const auto on_first_token = [self, engine, exchange]
            {
                const std::lock_guard lock(engine->mutex);
                engine->queue.first_token(exchange->key(),
                                          monotonic_clock::now());
            };
            const served_result result =
                co_await exchange->run(target, on_first_token);
            self->finish(engine, exchange, result);
        },
        net::detached);
}

void owner_service::finish(const engine_ptr& engine,
                           const exchange_ptr& exchange,
                           const served_result& result)
{
    const time_point now = monotonic_clock::now();
    const open_message& request = exchange->open();
    const token_count tokens(request.cost_tokens + result.events);
    incarnation run;
    {
        const std::lock_guard lock(engine->mutex);
        run = engine->record.server.started;
        engine->queue.finish(exchange->key(), tokens, result.failed, now);
    }
    if (!result.failed && !request.chat.get().empty())
    {
        m_directory->record(
            placement::make_chat_key(request.team, request.chat),
            request.engine,
            run,
            tokens,
            now);
    }
    forget(exchange->key());
    poll(engine, now);
}

void owner_service::publish_load(const engine_ptr& engine)
{
    membership::engine_load load;
    engine_id id;
    {
        const std::lock_guard lock(engine->mutex);
        id = engine->record.server.engine;
        load.in_flight = engine->queue.in_flight();
        load.limit = engine->queue.limit();
        load.eligible = engine->in_service;
    }
    m_fleet->set_load(id, load);
}

placement::chat_holders owner_service::holders_of(const open_message& request,
                                                  time_point now) const
{
    return m_directory->find(
        placement::make_chat_key(request.team, request.chat), now);
}

std::vector<chat_hint>
owner_service::hints_for(const open_message& request) const
{
    std::vector<chat_hint> hints;
    for (const placement::chat_holder& held :
         holders_of(request, monotonic_clock::now()))
    {
        hints.push_back({held.engine, held.run, held.tokens});
    }
    return hints;
}

admission::offer owner_service::make_offer(const served_exchange& exchange,
                                           time_point now) const
{
    const open_message& request = exchange.open();
    admission::offer made;
    made.item.id = exchange.key();
    made.item.partner = request.partner;
    made.item.team = request.team;
    made.item.priority = request.priority;
    made.item.cost = token_count(std::max(1U, request.cost_tokens));
    made.item.deadline = now + std::min(request.deadline, request.queue_time);
    made.prompt = token_count(request.cost_tokens);
    made.may_go_elsewhere = request.may_go_elsewhere;
    made.longest_wait = request.longest_wait;
    made.cached = std::min(
        made.prompt,
        placement::cached_at(holders_of(request, now), request.engine));
    return made;
}

} // namespace limpet::pipeline

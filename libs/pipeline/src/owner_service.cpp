#include "owner_service.hpp"

#include <limpet/base/log.hpp>
#include <limpet/http/endpoint.hpp>
#include <limpet/placement/itinerary.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace limpet::pipeline
{

namespace net = boost::asio;

namespace
{

/// Delay before the entry router retries an engine that this router does not
/// own.
constexpr duration not_owner_retry = milliseconds(100);

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

} // namespace

owner_service::owner_service(net::io_context& context,
                             std::shared_ptr<wire::link_hub> hub,
                             std::shared_ptr<http::client> client,
                             std::shared_ptr<membership_service> members,
                             std::shared_ptr<shared_directory> directory)
    : m_context(context),
      m_hub(std::move(hub)),
      m_client(std::move(client)),
      m_membership(std::move(members)),
      m_directory(std::move(directory)),
      m_engines(m_membership),
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
            placed->holder.engine,
            placed->holder.run,
            placed->holder.tokens,
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
                    {error_code::cancelled,
                     "request is a duplicate, was refused after a state query, "
                     "or exceeds the ledger capacity"},
                    duration::zero());
        return;
    }
    const engine_id& engine_name = exchange->open().engine;
    const auto members = m_membership->view();
    const membership::engine_entry* entry = members->find_engine(engine_name);
    const auto ownership = m_membership->ownership_of(engine_name, now);
    if (entry == nullptr || ownership.mode == membership::ownership_mode::none)
    {
        close_exchange(exchange->key());
        refuse_open(
            exchange,
            {error_code::not_owner, "this router does not own the engine"},
            not_owner_retry);
        return;
    }
    const auto holders = holders_of(exchange->open(), now);
    if (exchange->open().is_first && exchange->open().may_go_elsewhere &&
        placement::is_better_elsewhere(holders, engine_name))
    {
        close_exchange(exchange->key());
        refuse_open(exchange,
                    {error_code::overloaded,
                     "another engine holds a longer prefix of the chat"},
                    {});
        return;
    }
    const owned_engine_ptr engine = m_engines.find_or_add(*entry->engine, now);
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
    if (const owned_engine_ptr engine = m_engines.find(exchange->open().engine))
    {
        const std::lock_guard lock(engine->mutex);
        if (engine->queue.withdraw(key))
        {
            close_exchange(key);
            exchange->finish_not_run({error_code::cancelled,
                                      "request cancelled by its entry router "
                                      "or after the link to it was lost"},
                                     {},
                                     {});
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

void owner_service::close_exchange(const request_id& key)
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

void owner_service::update(const membership_service::view_ptr& members,
                           const config::view_ptr& config)
{
    const time_point now = monotonic_clock::now();
    m_engines.update(*members, config, now);
    poll_all(now);
}

void owner_service::on_ownership(const membership::ownership_changed& change)
{
    const time_point now = monotonic_clock::now();
    const auto members = m_membership->view();
    const auto* entry = members->find_engine(change.engine);
    if (change.after == membership::ownership_mode::none)
    {
        release_engine(change.engine, now);
        return;
    }
    if (entry == nullptr)
    {
        return;
    }
    const owned_engine_ptr engine = m_engines.find_or_add(*entry->engine, now);
    const auto ownership = m_membership->ownership_of(change.engine, now);
    if (ownership.inherited)
    {
        const std::lock_guard lock(engine->mutex);
        engine->queue.take_over({}, ownership.inherited->limit, now);
    }
}

void owner_service::release_engine(const engine_id& engine, time_point now)
{
    const owned_engine_ptr known = m_engines.find(engine);
    if (!known)
    {
        return;
    }
    {
        const std::lock_guard lock(known->mutex);
        // Waiting requests are returned to their entry routers; requests in
        // flight end here.
        known->set_in_service(false);
    }
    poll(known, now);
}

void owner_service::on_peer_lost(const vm_id& peer)
{
    std::vector<request_id> keys;
    {
        const std::lock_guard lock(m_exchanges_mutex);
        for (const auto& [key, exchange] : m_exchanges)
        {
            if (exchange->entry().vm == peer && exchange->open().repeatable)
            {
                keys.push_back(key);
            }
        }
    }
    for (const request_id& key : keys)
    {
        cancel(key);
    }
}

void owner_service::report(const engine_id& engine,
                           const placement::engine_report& load)
{
    const owned_engine_ptr found = m_engines.find(engine);
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
    m_engines.refresh_bounds(now);
    poll_all(now);
}

void owner_service::poll_all(time_point now)
{
    for (const owned_engine_ptr& engine : m_engines.all())
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
    std::vector<engine_status> statuses;
    for (const owned_engine_ptr& engine : m_engines.all())
    {
        const std::lock_guard engine_lock(engine->mutex);
        const std::lock_guard bound_lock(engine->bound->mutex);
        statuses.push_back({engine->record.server.engine,
                            engine->queue.in_flight(),
                            engine->queue.waiting(),
                            engine->queue.limit(),
                            engine->bound->bound.bound(),
                            engine->in_service});
    }
    return statuses;
}

void owner_service::poll(const owned_engine_ptr& engine, time_point now)
{
    std::vector<admission::dispatch_action> actions;
    {
        const std::lock_guard lock(engine->mutex);
        engine->apply_ownership(
            m_membership->ownership_of(engine->record.server.engine, now));
        actions = engine->poll(now);
    }
    execute_actions(engine, actions);
    publish_load(engine);
}

void owner_service::execute_actions(
    const owned_engine_ptr& engine,
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
        close_exchange(key);
        if (const auto* refused =
                std::get_if<admission::refuse_request>(&action))
        {
            refuse_open(exchange,
                        {code_of(refused->why.reason),
                         std::string(to_string(refused->why.reason))},
                        refused->why.retry_after);
            continue;
        }
        refuse_open(exchange, {error_code::overloaded, "go_elsewhere"}, {});
    }
}

void owner_service::start(const owned_engine_ptr& engine,
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
        m_membership->ownership_of(exchange->open().engine, now).fencing;
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

void owner_service::finish(const owned_engine_ptr& engine,
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
    close_exchange(exchange->key());
    poll(engine, now);
}

void owner_service::publish_load(const owned_engine_ptr& engine)
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
    m_membership->set_load(id, load);
}

placement::chat_holders owner_service::holders_of(const open_message& request,
                                                  time_point now) const
{
    return m_directory->find(
        placement::make_chat_key(request.team, request.chat), now);
}

std::vector<prefix_holder>
owner_service::hints_for(const open_message& request) const
{
    std::vector<prefix_holder> hints;
    for (const placement::chat_holder& holder :
         holders_of(request, monotonic_clock::now()))
    {
        hints.push_back({holder.engine, holder.run, holder.tokens});
    }
    return hints;
}

admission::offer owner_service::make_offer(const served_exchange& exchange,
                                           time_point now) const
{
    const open_message& request = exchange.open();
    admission::offer offer;
    offer.item.id = exchange.key();
    offer.item.partner = request.partner;
    offer.item.team = request.team;
    offer.item.priority = request.priority;
    offer.item.cost = token_count(std::max(1U, request.cost_tokens));
    offer.item.deadline = now + std::min(request.deadline, request.queue_time);
    offer.prompt = token_count(request.cost_tokens);
    offer.may_go_elsewhere = request.may_go_elsewhere;
    offer.longest_wait = request.longest_wait;
    offer.cached = std::min(
        offer.prompt,
        placement::cached_at(holders_of(request, now), request.engine));
    return offer;
}

} // namespace limpet::pipeline

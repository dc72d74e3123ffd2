#include "digest_tree.hpp"
#include "engine_registry.hpp"
#include "ownership_tracker.hpp"
#include "prober.hpp"
#include "quorum.hpp"
#include "synchroniser.hpp"

#include <limpet/membership/node.hpp>

#include <algorithm>

namespace limpet::membership
{

namespace
{

/// Time after which a router continues alone if no other router answered.
constexpr auto join_timeout = seconds(5);
constexpr auto join_period = milliseconds(500);
constexpr std::size_t join_fanout = 3;
/// Maximum time for which a new router waits until its records are
/// synchronised before it may own engines.
constexpr auto initial_sync_timeout = seconds(10);
constexpr auto quorum_probe_period = milliseconds(500);
/// Minimum time between snapshots that differ only in engines. It limits the
/// number of snapshots while many engines register at the start of a region.
constexpr auto engine_refresh_period = milliseconds(200);
constexpr auto eviction_period = seconds(10);

} // namespace

struct node::impl
{
    impl(const settings& values,
         peer self,
         incarnation started,
         const std::vector<peer>& seeds,
         std::uint64_t random_seed,
         time_point now)
        : state(values, std::move(self), started, seeds, random_seed, now),
          out(state),
          grants(state),
          probes(state, grants, out, now),
          synchronisation(state, out, now),
          owned(state, grants, out, now),
          registry(state, owned, out, now),
          loads(state, owned, out, seeds, now),
          started_at(now),
          joined(state.routers().size() == 1)
    {
    }

    void tick(time_point now);
    void receive(const message& input, time_point now);
    void refresh(time_point now);
    void join_region(time_point now);
    void become_ready(time_point now);
    void decay_flaps(time_point now);
    void leave(time_point now);
    void merge(const message& input, time_point now);
    bool is_current_incarnation(const message& input) const;
    void reject_unknown_sender(const message& input);
    void report_superseded();
    actions take_actions();

    void
    handle(const message& input, const join_request& content, time_point now);
    void
    handle(const message& input, const join_response& content, time_point now);
    void handle(const message& input, const ping& content, time_point now);
    void handle(const message& input, const ack& content, time_point now);
    void
    handle(const message& input, const sync_request& content, time_point now);
    void
    handle(const message& input, const sync_records& content, time_point now);
    void handle(const message& input, const gossip& content, time_point now);
    void handle(const message& input, const renewals& content, time_point now);
    void handle(const message& input, const hand_over& content, time_point now);
    void handle(const message& input, const collect& content, time_point now);
    void handle(const message& input, const report& content, time_point now);
    void handle(const message& input,
                const data_centre_sums& content,
                time_point now);
    void
    handle(const message& input, const region_sums& content, time_point now);

    const peer& sender_of(const message& input) const
    {
        return state.find_router(input.from)->record.self;
    }

    region_state state;
    outbox out;
    quorum grants;
    prober probes;
    synchroniser synchronisation;
    ownership_tracker owned;
    engine_registry registry;
    digest_tree loads;
    time_point started_at;
    std::uint64_t refreshed_routers = 0;
    time_point next_refresh;
    time_point next_join;
    time_point next_quorum_probe;
    time_point next_eviction;
    std::optional<time_point> joined_at;
    bool joined;
    bool superseded_reported = false;
};

void node::impl::tick(time_point now)
{
    if (state.active())
    {
        join_region(now);
        become_ready(now);
        decay_flaps(now);
        probes.tick(now);
        loads.tick(now);
    }
    synchronisation.tick(now);
    refresh(now);
    owned.tick(now);
    if (owned.needs_quorum() && state.active() && now >= next_quorum_probe)
    {
        next_quorum_probe = now + quorum_probe_period;
        probes.probe_voters(now);
    }
    registry.tick(now);
    if (now >= next_eviction)
    {
        next_eviction = now + eviction_period;
        state.evict_expired(now, now < grants.lease_until());
    }
}

void node::impl::refresh(time_point now)
{
    const bool same_routers = refreshed_routers == state.routers_version();
    if (same_routers && now < next_refresh)
    {
        return;
    }
    refreshed_routers = state.routers_version();
    next_refresh = now + engine_refresh_period;
    owned.refresh(now);
}

void node::impl::join_region(time_point now)
{
    if (joined || now < next_join)
    {
        return;
    }
    if (now - started_at >= join_timeout)
    {
        joined = true;
        joined_at = now;
        return;
    }
    next_join = now + join_period;
    std::vector<const stored_router*> seeds;
    for (const auto& [name, entry] : state.routers())
    {
        if (name != state.self_key())
        {
            seeds.push_back(&entry);
        }
    }
    const auto count = std::min(join_fanout, seeds.size());
    for (std::size_t i = 0; i < count; ++i)
    {
        std::swap(seeds[i], seeds[i + state.random().below(seeds.size() - i)]);
        out.send(seeds[i]->record.self,
                 traffic::membership,
                 join_request{state.self()});
    }
}

void node::impl::become_ready(time_point now)
{
    if (!joined || state.self().ready)
    {
        return;
    }
    const auto since = joined_at.value_or(started_at);
    const bool alone = state.member_count() <= 1;
    if (!alone && !synchronisation.in_sync() &&
        now - since < initial_sync_timeout)
    {
        return;
    }
    const auto& values = state.values();
    const auto flaps = state.self().flaps;
    auto wait = flaps == 0 ? duration(0) : duration(values.hold_down);
    for (unsigned i = 1; i < flaps && wait < values.max_hold_down; ++i)
    {
        wait *= 2;
    }
    const auto changed = state.find_router(state.self_key())->changed_at;
    if (now - changed < std::min(wait, values.max_hold_down))
    {
        return;
    }
    auto record = state.self();
    record.ready = true;
    state.update_self(std::move(record), now);
}

void node::impl::decay_flaps(time_point now)
{
    const auto& own = *state.find_router(state.self_key());
    if (!own.record.ready || own.record.flaps == 0 ||
        now - own.changed_at < 2 * state.values().max_hold_down)
    {
        return;
    }
    auto record = own.record;
    record.flaps = 0;
    state.update_self(std::move(record), now);
}

void node::impl::leave(time_point now)
{
    if (!state.active())
    {
        return;
    }
    auto record = state.self();
    record.state = router_state::left;
    record.ready = false;
    state.update_self(std::move(record), now);
    std::vector<peer> neighbours;
    for (const auto voter : grants.voters())
    {
        const auto* entry = state.find_router(voter);
        if (voter != state.self_key() && entry->record.is_member())
        {
            neighbours.push_back(entry->record.self);
        }
    }
    synchronisation.flush(neighbours);
    owned.refresh(now);
}

bool node::impl::is_current_incarnation(const message& input) const
{
    const auto* known = state.find_router(input.from);
    return known != nullptr && known->record.started == input.started;
}

void node::impl::reject_unknown_sender(const message& input)
{
    const auto* known = state.find_router(input.from);
    const auto* probe = std::get_if<ping>(&input.content);
    // Messages of an earlier incarnation get no answer.
    if (known != nullptr && probe != nullptr &&
        known->record.started < input.started)
    {
        probes.reject_unknown(known->record.self, *probe);
    }
}

void node::impl::merge(const message& input, time_point now)
{
    if (std::holds_alternative<sync_records>(input.content))
    {
        state.merge_synchronised(input.changes, now);
        return;
    }
    state.merge(input.changes, now);
}

void node::impl::receive(const message& input, time_point now)
{
    if (input.from == state.self_key() || state.superseded_by())
    {
        return;
    }
    if (const auto* sums = std::get_if<region_sums>(&input.content);
        sums != nullptr && !sums->relayed)
    {
        loads.on_region_sums(input.from, *sums, now);
        return;
    }
    const auto* known = state.find_router(input.from);
    if (known != nullptr && input.started < known->record.started)
    {
        return;
    }
    state.raise_clock(input.clock);
    if (const auto* request = std::get_if<join_request>(&input.content))
    {
        handle(input, *request, now);
        return;
    }
    merge(input, now);
    if (const auto* answer = std::get_if<join_response>(&input.content))
    {
        state.merge(answer->self, now);
    }
    if (!is_current_incarnation(input))
    {
        reject_unknown_sender(input);
        return;
    }
    owned.on_message(now);
    std::visit(
        [&](const auto& content)
        {
            handle(input, content, now);
        },
        input.content);
}

void node::impl::handle(const message& input,
                        const join_request& content,
                        time_point now)
{
    if (key_of(content.self.self.vm) != input.from ||
        content.self.started != input.started || !state.active())
    {
        return;
    }
    join_response answer;
    const auto* known = state.find_router(input.from);
    if (known != nullptr && !known->is_unconfirmed_seed() &&
        known->record.started < content.self.started &&
        known->record.state != router_state::left)
    {
        answer.former_flaps =
            static_cast<std::uint8_t>(known->record.flaps + 1);
    }
    state.merge(content.self, now);
    state.merge(input.changes, now);
    if (!is_current_incarnation(input))
    {
        return;
    }
    owned.on_message(now);
    answer.self = state.self();
    updates changes;
    const auto& record = state.find_router(input.from)->record;
    if (record.state != router_state::alive)
    {
        changes.router_statuses.push_back(
            region_state::status_of(input.from, record));
    }
    out.send(record.self, traffic::membership, answer, std::move(changes));
}

void node::impl::handle(const message&,
                        const join_response& content,
                        time_point now)
{
    if (joined)
    {
        return;
    }
    joined = true;
    joined_at = now;
    synchronisation.start_fast_sync(now);
    if (content.former_flaps > state.self().flaps)
    {
        auto record = state.self();
        record.flaps = content.former_flaps;
        state.update_self(std::move(record), now);
    }
}

void node::impl::handle(const message& input,
                        const ping& content,
                        time_point now)
{
    if (state.active())
    {
        probes.on_ping(*state.find_router(input.from), content, now);
    }
}

void node::impl::handle(const message& input,
                        const ack& content,
                        time_point now)
{
    if (content.unknown)
    {
        out.send(
            sender_of(input), traffic::membership, join_request{state.self()});
        return;
    }
    probes.on_ack(input.from, content, now);
}

void node::impl::handle(const message& input,
                        const sync_request& content,
                        time_point)
{
    synchronisation.on_request(sender_of(input), content);
}

void node::impl::handle(const message& input,
                        const sync_records& content,
                        time_point now)
{
    synchronisation.on_records(sender_of(input), content, input.changes, now);
}

void node::impl::handle(const message&, const gossip&, time_point) {}

void node::impl::handle(const message&, const renewals& content, time_point now)
{
    for (const auto& item : content.items)
    {
        owned.on_renewal(item, now);
    }
}

void node::impl::handle(const message& input,
                        const hand_over& content,
                        time_point now)
{
    owned.on_hand_over(input.from, content, now);
}

void node::impl::handle(const message& input,
                        const collect& content,
                        time_point now)
{
    if (state.active())
    {
        loads.on_collect(input.from, content, now);
    }
}

void node::impl::handle(const message& input,
                        const report& content,
                        time_point now)
{
    loads.on_report(input.from, content, now);
}

void node::impl::handle(const message& input,
                        const data_centre_sums& content,
                        time_point now)
{
    loads.on_sums(input.from, content, now);
}

void node::impl::handle(const message& input,
                        const region_sums& content,
                        time_point now)
{
    loads.on_region_sums(input.from, content, now);
}

void node::impl::report_superseded()
{
    if (state.superseded_by() && !superseded_reported)
    {
        superseded_reported = true;
        out.add(superseded{*state.superseded_by()});
    }
}

actions node::impl::take_actions()
{
    report_superseded();
    return out.take();
}

node::node(const settings& settings,
           peer self,
           incarnation started,
           const std::vector<peer>& seeds,
           std::uint64_t random_seed,
           time_point now)
    : m_impl(std::make_unique<impl>(
          settings, std::move(self), started, seeds, random_seed, now))
{
}

node::~node() = default;
node::node(node&&) noexcept = default;
node& node::operator=(node&&) noexcept = default;

actions node::tick(time_point now)
{
    m_impl->tick(now);
    return m_impl->take_actions();
}

actions node::receive(std::string_view bytes, time_point now)
{
    const auto decoded = decode(bytes);
    if (is_ok(decoded))
    {
        m_impl->receive(value_of(decoded), now);
    }
    return m_impl->take_actions();
}

outcome<announce_result> node::announce(const announcement& server,
                                        time_point now)
{
    return m_impl->registry.announce(server, now);
}

actions node::leave(time_point now)
{
    m_impl->leave(now);
    return m_impl->take_actions();
}

void node::set_load(const engine_id& engine, const engine_load& load)
{
    m_impl->owned.set_load(key_of(engine), load);
}

std::shared_ptr<const view> node::snapshot() const
{
    return m_impl->owned.current();
}

ownership node::ownership_of(const engine_id& engine, time_point now) const
{
    return m_impl->joined ? m_impl->owned.ownership_of(key_of(engine), now)
                          : ownership{};
}

std::optional<load_digest> node::load_of(const model_id& model,
                                         time_point now) const
{
    return m_impl->loads.load_of(key_of(model), now);
}

std::optional<load_digest> node::load_of(const region_id& region,
                                         const model_id& model,
                                         time_point now) const
{
    return m_impl->loads.load_of(region, key_of(model), now);
}

bool node::joined() const noexcept
{
    return m_impl->joined;
}

std::size_t node::state_bytes() const
{
    return sizeof(impl) + m_impl->state.state_bytes() +
           m_impl->owned.state_bytes() + m_impl->loads.state_bytes();
}

} // namespace limpet::membership

#include <limpet/consensus/message_codec.hpp>
#include <limpet/consensus/persist_queue.hpp>
#include <limpet/consensus/testing/fake_group.hpp>

#include <algorithm>
#include <utility>

namespace limpet::consensus::testing
{

namespace
{

/// Bound of the random offset between the VMs' clocks.
constexpr std::uint64_t clock_spread_seconds = 1000;
/// Interval between attempts to write to a disk that refuses writes.
constexpr duration write_retry_interval = milliseconds(100);

vm_id name_of(std::size_t vm)
{
    return vm_id{"vm-" + std::to_string(vm)};
}

} // namespace

/// One VM. Its disk survives the end and restart of its process.
struct fake_group::vm_state
{
    vm_state(vm_id vm, std::uint64_t seed)
        : name(std::move(vm)),
          disk(seed)
    {
    }

    vm_id name;
    storage::testing::fake_disk disk;
    std::unique_ptr<storage::log_store> store;
    std::unique_ptr<consensus::node> node;
    incarnation storage_number;
    chain_state state_machine;
    log_index snapshot;
    persist_queue pending_writes;
    bool is_write_scheduled = false;
    bool is_writable = true;
    bool is_leader = false;
    /// Increases with each start and crash of the process. Scheduled calls with
    /// an earlier number are ignored.
    std::uint64_t starts = 0;
    duration clock_offset{};
    double drift = 0;
    time_point drift_since;
    std::map<ticket, log_index> reads;
    std::map<ticket, std::uint64_t> commands;
    std::uint64_t next_ticket = 1;
};

fake_group::fake_group(const group_options& options)
    : m_options(options),
      m_random(options.seed)
{
    for (std::size_t vm = 0; vm < options.vms; ++vm)
    {
        m_vms.push_back(
            std::make_unique<vm_state>(name_of(vm), m_random.next()));
        m_vms[vm]->clock_offset =
            seconds(1 + m_random.below(clock_spread_seconds));
        start(vm);
    }
}

fake_group::~fake_group() = default;

duration fake_group::random_between(duration low, duration high)
{
    const auto spread = static_cast<std::uint64_t>((high - low).count());
    return low + duration(m_random.below(spread + 1));
}

time_point fake_group::local_time(const vm_state& state) const
{
    const double passed = to_seconds(m_now - state.drift_since);
    return m_now + state.clock_offset + from_seconds(passed * state.drift);
}

void fake_group::set_drift(std::size_t vm, double drift)
{
    vm_state& state = *m_vms[vm];
    state.clock_offset = local_time(state) - m_now;
    state.drift_since = m_now;
    state.drift = drift;
}

void fake_group::schedule(duration delay, std::function<void()> call)
{
    m_queue.emplace(m_now + delay, std::move(call));
}

void fake_group::schedule_tick(std::size_t vm)
{
    const auto process = m_vms[vm]->starts;
    schedule(m_options.tick_interval,
             [this, vm, process]
             {
                 if (m_vms[vm]->node && m_vms[vm]->starts == process)
                 {
                     step(vm, tick{});
                     schedule_tick(vm);
                 }
             });
}

void fake_group::start(std::size_t vm)
{
    vm_state& state = *m_vms[vm];
    ++state.starts;
    state.pending_writes = {};
    state.is_write_scheduled = false;
    state.is_writable = true;
    state.is_leader = false;
    state.reads.clear();
    state.commands.clear();
    storage::recovered_state found;
    auto opened = storage::log_store::open(
        state.disk, {1 << 14}, incarnation{m_next_incarnation}, found);
    if (!is_ok(opened))
    {
        if (!state.disk.crashed())
        {
            m_checker.fail("opening the storage failed: " +
                           error_of(opened).message);
        }
        return;
    }
    m_next_incarnation = std::max(m_next_incarnation, found.storage.get() + 1);
    state.store = value_of(std::move(opened));
    state.storage_number = found.storage;
    state.state_machine = chain_state{};
    state.snapshot = log_index{};
    if (found.base)
    {
        state.state_machine = chain_state::restore(found.base->data);
        state.snapshot = found.base->index;
        m_checker.on_restored(state.state_machine);
    }
    node_start begin;
    begin.self = name_of(vm);
    for (std::size_t i = 0; i < m_options.vms; ++i)
    {
        begin.group.push_back(name_of(i));
    }
    begin.state = std::move(found);
    begin.seed = m_random.next();
    state.node = std::make_unique<consensus::node>(
        m_options.consensus, std::move(begin), local_time(state));
    schedule_tick(vm);
}

void fake_group::step(std::size_t vm, event what)
{
    vm_state& state = *m_vms[vm];
    if (!state.node)
    {
        return;
    }
    const time_point local = local_time(state);
    auto work = state.node->step(local, std::move(what));
    handle(vm, std::move(work));
    if (state.node)
    {
        const node_view view = state.node->view(local);
        state.is_leader = view.role == node_role::leader;
        m_checker.on_view(view);
        check_leases();
    }
}

/// Checks that no replica leads in a later term while a leader's lease lasts.
void fake_group::check_leases()
{
    const auto leads = [](const std::unique_ptr<vm_state>& state)
    {
        return state->node && state->is_leader;
    };
    if (std::count_if(m_vms.begin(), m_vms.end(), leads) < 2)
    {
        return;
    }
    std::vector<node_view> leaders;
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm)
    {
        if (leads(m_vms[vm]))
        {
            leaders.push_back(view(vm));
        }
    }
    for (const node_view& first : leaders)
    {
        for (const node_view& second : leaders)
        {
            if (first.has_lease && first.term < second.term)
            {
                m_checker.fail(
                    "lease of a leader outlasts the election in term " +
                    std::to_string(second.term.get()));
            }
        }
    }
}

void fake_group::handle(std::size_t vm, actions work)
{
    vm_state& state = *m_vms[vm];
    state.pending_writes.add(std::move(work.persists));
    schedule_write(
        vm, random_between(m_options.min_disk_time, m_options.max_disk_time));
    for (const message& content : work.sends)
    {
        send(vm, content);
    }
    apply(vm, work);
}

void fake_group::apply(std::size_t vm, const actions& work)
{
    vm_state& state = *m_vms[vm];
    if (work.restore)
    {
        state.state_machine = chain_state::restore(work.restore->data);
        state.snapshot = work.restore->index;
        m_checker.on_restored(state.state_machine);
    }
    for (const storage::log_entry& entry : work.apply)
    {
        state.state_machine.apply(entry);
        m_checker.on_applied(entry, state.state_machine);
    }
    for (const request_result& result : work.results)
    {
        const auto read = state.reads.find(result.id);
        const auto command = state.commands.find(result.id);
        const bool done = result.state == request_state::done;
        if (read != state.reads.end() && done)
        {
            m_checker.finish_read(read->second, state.state_machine);
        }
        if (command != state.commands.end() && done)
        {
            m_checker.on_acknowledged(command->second, result.index);
        }
        if (command != state.commands.end() &&
            result.state == request_state::refused)
        {
            m_checker.on_refused(command->second);
        }
    }
    const auto since = state.state_machine.applied.get() - state.snapshot.get();
    if (m_options.snapshot_interval > 0 && since >= m_options.snapshot_interval)
    {
        state.snapshot = state.state_machine.applied;
        step(vm,
             compact{state.snapshot,
                     state.state_machine.save(m_options.snapshot_padding)});
    }
}

void fake_group::send(std::size_t vm, const message& content)
{
    const auto bytes = encode_message(content);
    ++m_sent.messages;
    m_sent.bytes += bytes.size();
    if (std::holds_alternative<snapshot_chunk>(content.body))
    {
        m_sent.snapshot_bytes += bytes.size();
    }
    for (std::size_t to = 0; to < m_vms.size(); ++to)
    {
        if (m_vms[to]->name != content.to.vm || m_cut_links[{vm, to}])
        {
            continue;
        }
        const int copies = m_random.chance(m_network.duplication) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
        {
            if (m_random.chance(m_network.loss))
            {
                continue;
            }
            schedule(random_between(m_network.min_delay, m_network.max_delay),
                     [this, vm, to, bytes]
                     {
                         if (!m_cut_links[{vm, to}])
                         {
                             deliver(to, bytes);
                         }
                     });
        }
    }
}

void fake_group::deliver(std::size_t vm, const std::vector<std::uint8_t>& bytes)
{
    auto content = decode_message(bytes);
    if (!content)
    {
        m_checker.fail("decoding an encoded message failed");
        return;
    }
    step(vm, message_received{std::move(*content)});
}

void fake_group::schedule_write(std::size_t vm, duration delay)
{
    vm_state& state = *m_vms[vm];
    if (state.pending_writes.empty() || state.is_write_scheduled)
    {
        return;
    }
    state.is_write_scheduled = true;
    schedule(delay,
             [this, vm, process = state.starts]
             {
                 if (m_vms[vm]->starts == process)
                 {
                     write_disk(vm);
                 }
             });
}

void fake_group::write_disk(std::size_t vm)
{
    vm_state& state = *m_vms[vm];
    state.is_write_scheduled = false;
    if (!state.node || state.pending_writes.empty())
    {
        return;
    }
    const auto written = state.pending_writes.write(*state.store);
    if (is_ok(written))
    {
        set_writable(vm, true);
        step(vm, persisted{value_of(written)});
        return;
    }
    if (state.disk.crashed())
    {
        crash(vm);
        return;
    }
    set_writable(vm, false);
    schedule_write(vm, write_retry_interval);
}

void fake_group::set_writable(std::size_t vm, bool is_writable)
{
    vm_state& state = *m_vms[vm];
    if (std::exchange(state.is_writable, is_writable) != is_writable)
    {
        step(vm, storage_changed{is_writable});
    }
}

void fake_group::run_for(duration span)
{
    const time_point end = m_now + span;
    while (!m_queue.empty() && m_queue.begin()->first <= end)
    {
        auto next = m_queue.extract(m_queue.begin());
        m_now = next.key();
        next.mapped()();
    }
    m_now = end;
}

bool fake_group::run_until(const std::function<bool()>& condition,
                           duration limit)
{
    const time_point end = m_now + limit;
    while (!condition())
    {
        if (m_now >= end)
        {
            return false;
        }
        run_for(m_options.tick_interval);
    }
    return true;
}

std::uint64_t fake_group::propose(std::size_t vm, std::size_t bytes)
{
    const auto number = m_next_command++;
    if (is_up(vm))
    {
        const ticket id{m_vms[vm]->next_ticket++};
        m_vms[vm]->commands[id] = number;
        step(vm, consensus::propose{{{id, make_command(number, bytes)}}});
    }
    return number;
}

void fake_group::propose_many(std::size_t vm,
                              std::size_t count,
                              std::size_t bytes)
{
    consensus::propose batch;
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto number = m_next_command++;
        const ticket id{m_vms[vm]->next_ticket++};
        m_vms[vm]->commands[id] = number;
        batch.proposals.push_back({id, make_command(number, bytes)});
    }
    step(vm, std::move(batch));
}

void fake_group::read(std::size_t vm)
{
    if (is_up(vm))
    {
        const ticket id{m_vms[vm]->next_ticket++};
        m_vms[vm]->reads[id] = m_checker.begin_read();
        step(vm, read_barrier{id});
    }
}

void fake_group::change(std::size_t vm, const membership_change& change)
{
    step(vm, change_membership{ticket{m_vms[vm]->next_ticket++}, change});
}

void fake_group::hand_over(std::size_t vm)
{
    step(vm, consensus::hand_over{});
}

void fake_group::crash(std::size_t vm)
{
    vm_state& state = *m_vms[vm];
    ++state.starts;
    state.node.reset();
    state.store.reset();
}

void fake_group::restart(std::size_t vm)
{
    vm_state& state = *m_vms[vm];
    crash(vm);
    state.disk.restart();
    start(vm);
}

void fake_group::wipe(std::size_t vm)
{
    m_vms[vm]->disk.wipe();
    // A new incarnation must be higher than all earlier ones.
    ++m_next_incarnation;
}

void fake_group::cut(std::size_t from, std::size_t to, bool is_cut)
{
    m_cut_links[{from, to}] = is_cut;
}

void fake_group::isolate(std::size_t vm, bool is_cut)
{
    for (std::size_t other = 0; other < m_vms.size(); ++other)
    {
        cut(vm, other, is_cut);
        cut(other, vm, is_cut);
    }
}

void fake_group::heal()
{
    m_cut_links.clear();
    m_network = network_faults{};
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm)
    {
        m_vms[vm]->disk.faults() = {};
        if (!is_up(vm))
        {
            restart(vm);
        }
    }
}

bool fake_group::is_up(std::size_t vm) const
{
    return m_vms[vm]->node != nullptr;
}

std::size_t fake_group::size() const
{
    return m_vms.size();
}

std::uint64_t fake_group::starts(std::size_t vm) const
{
    return m_vms[vm]->starts;
}

node_view fake_group::view(std::size_t vm) const
{
    return m_vms[vm]->node->view(local_time(*m_vms[vm]));
}

replica_id fake_group::id(std::size_t vm) const
{
    return {name_of(vm), m_vms[vm]->storage_number};
}

storage::testing::fake_disk& fake_group::disk(std::size_t vm)
{
    return m_vms[vm]->disk;
}

std::optional<std::size_t> fake_group::leader() const
{
    std::optional<std::size_t> found;
    term_number highest;
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm)
    {
        if (!is_up(vm))
        {
            continue;
        }
        const node_view state = view(vm);
        if (state.role == node_role::leader && state.term > highest)
        {
            found = vm;
            highest = state.term;
        }
    }
    return found;
}

bool fake_group::is_whole() const
{
    const auto leading = leader();
    if (!leading)
    {
        return false;
    }
    const node_view state = view(*leading);
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm)
    {
        const bool is_equal = is_up(vm) && m_vms[vm]->state_machine ==
                                               m_vms[*leading]->state_machine;
        if (!is_equal || !state.members.is_voter(id(vm)))
        {
            return false;
        }
        const node_view own = view(vm);
        if (own.members != state.members || own.committed != state.last)
        {
            return false;
        }
    }
    if (state.members.members().size() != m_vms.size())
    {
        return false;
    }
    return m_vms[*leading]->state_machine.applied >=
           m_checker.last_acknowledged();
}

} // namespace limpet::consensus::testing

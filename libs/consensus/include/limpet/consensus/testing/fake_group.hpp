/// \file
/// A group of nodes with their storage over a fake network and fake disks.
/// For tests and benchmarks.

#pragma once

#include <limpet/base/random.hpp>
#include <limpet/consensus/node.hpp>
#include <limpet/consensus/testing/invariant_checker.hpp>
#include <limpet/storage/log_store.hpp>
#include <limpet/storage/testing/fake_disk.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limpet::consensus::testing
{

/// What goes wrong on the network.
struct network_faults
{
    double loss = 0;
    double duplication = 0;
    duration lowest_delay = milliseconds(1);
    duration highest_delay = milliseconds(2);
};

/// Options of a group.
struct group_options
{
    std::size_t vms = 3;
    std::uint64_t seed = 1;
    settings consensus;
    duration tick_interval = milliseconds(30);
    /// Time that a disk takes for a group of writes and their sync.
    duration lowest_disk_time = microseconds(200);
    duration highest_disk_time = milliseconds(5);
    /// Applied entries after which a VM takes a snapshot; 0 for never.
    std::uint64_t snapshot_interval = 0;
    /// Bytes added to each snapshot.
    std::size_t snapshot_padding = 0;
};

/// Messages and bytes sent, by use.
struct traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t snapshot_bytes = 0;
};

/// Runs the real nodes, storage and codec in fake time. After each step the
/// invariant checker looks at the VM that took it.
class fake_group
{
public:
    explicit fake_group(const group_options& options);
    ~fake_group();

    /// Runs all that is due in the given time.
    void run_for(duration span);

    /// Runs until the condition holds. Returns false if it does not within
    /// the time.
    bool run_until(const std::function<bool()>& condition, duration limit);

    /// Proposes a command of the given size at the VM and returns its number.
    std::uint64_t propose(std::size_t vm, std::size_t bytes = 16);

    /// Proposes commands in one step.
    void propose_many(std::size_t vm, std::size_t count, std::size_t bytes);

    /// Asks for a read barrier at the VM.
    void read(std::size_t vm);

    void change(std::size_t vm, const membership_change& change);
    void hand_over(std::size_t vm);

    /// Ends the VM's process. Unsynced writes are lost at the restart.
    void crash(std::size_t vm);
    void restart(std::size_t vm);

    /// Replaces the VM's disk by an empty one. Its process must be down.
    void wipe(std::size_t vm);

    /// Cuts or heals one direction between two VMs.
    void cut(std::size_t from, std::size_t to, bool is_cut);

    /// Cuts or heals both directions between the VM and all others.
    void isolate(std::size_t vm, bool is_cut);

    /// Ends all faults of network and disks and starts VMs that are down.
    void heal();

    /// Sets by how much the VM's clock runs fast, as a part of 1.
    void set_drift(std::size_t vm, double drift);

    bool is_up(std::size_t vm) const;
    std::size_t size() const;
    node_view view(std::size_t vm) const;
    replica_id id(std::size_t vm) const;

    /// Returns the VM that leads in the highest term.
    std::optional<std::size_t> leader() const;

    /// Returns whether each VM is a voter under its present incarnation and
    /// knows that, and has applied the whole log and all acknowledged.
    bool is_whole() const;

    storage::testing::fake_disk& disk(std::size_t vm);

    /// Returns the time in fake time.
    time_point now() const
    {
        return m_now;
    }

    network_faults& network()
    {
        return m_network;
    }

    const traffic& sent() const
    {
        return m_sent;
    }

    const invariant_checker& checker() const
    {
        return m_checker;
    }

    /// Returns how often the VM's node was started.
    std::uint64_t starts(std::size_t vm) const;

private:
    struct vm_state;

    void start(std::size_t vm);
    void step(std::size_t vm, event what);
    void check_leases();
    void handle(std::size_t vm, actions work);
    void send(std::size_t vm, const message& content);
    void deliver(std::size_t vm, const std::vector<std::uint8_t>& bytes);
    void write_disk(std::size_t vm);
    status write_all(vm_state& state);
    void apply(std::size_t vm, const actions& work);
    void schedule(duration delay, std::function<void()> call);
    void schedule_tick(std::size_t vm);
    time_point local_time(const vm_state& state) const;
    duration random_between(duration low, duration high);

    group_options m_options;
    random_source m_random;
    time_point m_now;
    std::multimap<time_point, std::function<void()>> m_queue;
    std::vector<std::unique_ptr<vm_state>> m_vms;
    std::map<std::pair<std::size_t, std::size_t>, bool> m_cuts;
    network_faults m_network;
    traffic m_sent;
    invariant_checker m_checker;
    std::uint64_t m_next_command = 1;
    std::uint64_t m_next_storage = 1;
};

} // namespace limpet::consensus::testing

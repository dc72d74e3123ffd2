/// \file
/// A group of nodes with their storage on a simulated network and simulated
/// disks, for tests and benchmarks.

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

/// Faults and delays of the simulated network. Loss and duplication are
/// probabilities of one message.
struct network_faults
{
    double loss = 0;
    double duplication = 0;
    duration min_delay = milliseconds(1);
    duration max_delay = milliseconds(2);
};

/// Options of a simulated group.
struct group_options
{
    std::size_t vms = 3;
    std::uint64_t seed = 1;
    settings consensus;
    duration tick_interval = milliseconds(30);
    /// Bounds of the time that a disk takes for a batch of writes and their
    /// sync.
    duration min_disk_time = microseconds(200);
    duration max_disk_time = milliseconds(5);
    /// Applied entries after which a VM takes a snapshot; 0 disables snapshots.
    std::uint64_t snapshot_interval = 0;
    /// Padding bytes added to each snapshot.
    std::size_t snapshot_padding = 0;
};

/// Messages and bytes that all VMs have sent.
struct traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t snapshot_bytes = 0;
};

/// Runs the real nodes, storage and codec in simulated time. After each step of
/// a VM the invariant checker checks that VM's state.
class fake_group
{
public:
    explicit fake_group(const group_options& options);
    ~fake_group();

    /// Runs all events that are due within the given time.
    void run_for(duration span);

    /// Runs until the condition holds. Returns false if it does not hold within
    /// the limit.
    bool run_until(const std::function<bool()>& condition, duration limit);

    /// Proposes a command of the given size at the VM. Returns the command's
    /// number.
    std::uint64_t propose(std::size_t vm, std::size_t bytes = 16);

    /// Proposes commands in one step.
    void propose_many(std::size_t vm, std::size_t count, std::size_t bytes);

    /// Requests a linearizable read at the VM.
    void read(std::size_t vm);

    /// Requests a membership change at the VM.
    void change(std::size_t vm, const membership_change& change);
    /// Requests a transfer of leadership away from the VM.
    void hand_over(std::size_t vm);

    /// Ends the VM's process. Writes that were not synced are lost when it
    /// restarts.
    void crash(std::size_t vm);
    void restart(std::size_t vm);

    /// Replaces the VM's disk by an empty one. The VM's process must be down.
    void wipe(std::size_t vm);

    /// Cuts or restores one direction of the link between two VMs.
    void cut(std::size_t from, std::size_t to, bool is_cut);

    /// Cuts or restores both directions of all links of the VM.
    void isolate(std::size_t vm, bool is_cut);

    /// Ends all network and disk faults and restarts VMs that are down.
    void heal();

    /// Sets the rate error of the VM's clock as a fraction: 0.01 is 1 % fast.
    void set_drift(std::size_t vm, double drift);

    bool is_up(std::size_t vm) const;
    std::size_t size() const;
    node_view view(std::size_t vm) const;
    replica_id id(std::size_t vm) const;

    /// Returns the leader of the highest term, if there is one.
    std::optional<std::size_t> leader() const;

    /// Returns whether the group has converged: each VM is up, is a voter under
    /// its current incarnation, has the leader's membership, has committed the
    /// leader's entire log, and is in the leader's state, which includes all
    /// acknowledged commands.
    bool is_whole() const;

    storage::testing::fake_disk& disk(std::size_t vm);

    /// Returns the simulated time.
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

    /// Returns a number that increases with each start and crash of the VM's
    /// process.
    std::uint64_t starts(std::size_t vm) const;

private:
    struct vm_state;

    void start(std::size_t vm);
    void step(std::size_t vm, event what);
    void check_leases();
    void handle(std::size_t vm, actions work);
    void send(std::size_t vm, const message& content);
    void deliver(std::size_t vm, const std::vector<std::uint8_t>& bytes);
    void schedule_write(std::size_t vm, duration delay);
    void write_disk(std::size_t vm);
    void set_writable(std::size_t vm, bool is_writable);
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
    std::map<std::pair<std::size_t, std::size_t>, bool> m_cut_links;
    network_faults m_network;
    traffic m_sent;
    invariant_checker m_checker;
    std::uint64_t m_next_command = 1;
    std::uint64_t m_next_incarnation = 1;
};

} // namespace limpet::consensus::testing

/// \file
/// Implementation of a replica.

#pragma once

#include "disk_writer.hpp"

#include <limpet/consensus/node.hpp>
#include <limpet/replica/replica.hpp>
#include <limpet/storage/posix_file_system.hpp>

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>

namespace limpet::replica
{

/// Owned by the replica. Handlers pending on the io_context hold weak
/// references, so that they have no effect after the replica is destroyed.
class replica::impl : public std::enable_shared_from_this<replica::impl>
{
public:
    static outcome<std::shared_ptr<impl>> open(boost::asio::io_context& context,
                                               replica_settings settings,
                                               replica_callbacks callbacks);

    impl(boost::asio::io_context& context,
         replica_settings settings,
         replica_callbacks callbacks,
         std::unique_ptr<storage::posix_file_system> files);

    void start();
    void propose(std::string command, proposal_callback done);
    void add_contacts(std::vector<vm_id> vms);
    void read_barrier(status_callback done);
    void receive(const vm_id& from, const std::vector<std::uint8_t>& bytes);
    void change(consensus::membership_change change, status_callback done);
    void stop(status_callback done);
    void close();
    replica_view view() const;

private:
    status open_storage();
    void tick();
    void schedule_tick();
    void report_tick();
    void log_role_change();
    void record_round_trip(const consensus::message& content);
    void flush_proposals();
    void dispatch(consensus::event event);
    void execute(consensus::actions work);
    void report_stored(const std::vector<storage::log_entry>& entries) const;
    void apply(const consensus::actions& work);
    void complete_request(const consensus::request_result& result,
                          std::string text);
    void on_persisted(const outcome<consensus::persist_number>& last);
    void record_write_failure(const error& reason);
    void record_written();
    void leave_group(const error& reason);
    void fail_all(const error& reason);
    void take_snapshot_if_due();
    void continue_stop();
    consensus::ticket next_ticket();

    boost::asio::io_context& m_context;
    boost::asio::steady_timer m_timer;
    replica_settings m_settings;
    replica_callbacks m_callbacks;
    std::unique_ptr<storage::posix_file_system> m_files;
    std::unique_ptr<disk_writer> m_writer;
    std::unique_ptr<consensus::node> m_node;
    std::deque<consensus::event> m_events;
    bool m_running = false;
    bool m_stopped = false;
    std::vector<consensus::proposal> m_batch;
    std::map<consensus::ticket, proposal_callback> m_proposals;
    std::map<consensus::ticket, status_callback> m_requests;
    consensus::ticket m_last_ticket;
    log_index m_applied;
    log_index m_snapshot;
    status_callback m_stop_done;
    time_point m_stop_deadline;
    std::uint64_t m_malformed = 0;
    /// When writes began to fail; nothing while they succeed.
    std::optional<time_point> m_failing_since;
    std::uint64_t m_write_failures = 0;
    /// Time at which the next tick is due.
    time_point m_tick_due;
    /// Delays since the last tick.
    tick_delays m_delays;
    /// Last request to write and its time, in their order.
    std::deque<std::pair<consensus::persist_number, time_point>> m_writes;
    /// Role, term and votes of the last role.changed log line.
    consensus::node_role m_role = consensus::node_role::follower;
    term_number m_term;
    std::size_t m_votes = 0;
};

} // namespace limpet::replica

/// \file
/// Thread that executes persist requests.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/consensus/persist_queue.hpp>
#include <limpet/storage/log_store.hpp>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace limpet::replica
{

/// Writes to the log store on a dedicated thread. Requests that arrive during a
/// sync share the next one (group commit). A write that fails is tried again
/// until it succeeds.
class disk_writer
{
public:
    /// Called on the writer's thread after each sync with the number of the
    /// last request that became durable, and with an error when writes begin to
    /// fail.
    using done_callback =
        std::function<void(const outcome<consensus::persist_number>&)>;

    disk_writer(std::unique_ptr<storage::log_store> store, done_callback done);

    /// Tries once to execute all queued requests and joins the thread.
    ~disk_writer();

    disk_writer(const disk_writer&) = delete;
    disk_writer& operator=(const disk_writer&) = delete;

    /// Queues requests. Thread-safe.
    void add(std::vector<consensus::persist_request> requests);

    /// Returns the number of completed syncs of the log. Thread-safe.
    std::uint64_t syncs() const;

private:
    void run();
    bool wait_for_requests(consensus::persist_queue& pending);
    bool wait_for_retry();
    void report(const outcome<consensus::persist_number>& written);

    std::unique_ptr<storage::log_store> m_store;
    done_callback m_done;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<consensus::persist_request> m_queue;
    std::uint64_t m_syncs = 0;
    bool m_stopping = false;
    /// Whether the last write failed. Used on the writer's thread only.
    bool m_is_failing = false;
    std::thread m_thread;
};

} // namespace limpet::replica

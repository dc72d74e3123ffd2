/// \file
/// Thread that executes persist requests.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/consensus/event.hpp>
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
/// sync share the next one (group commit).
class disk_writer
{
public:
    /// Called on the writer's thread after each sync with the number of the
    /// last request that became durable, or once with the error after which
    /// the writer stopped.
    using done_callback =
        std::function<void(const outcome<consensus::persist_number>&)>;

    disk_writer(std::unique_ptr<storage::log_store> store, done_callback done);

    /// Executes all queued requests and joins the thread.
    ~disk_writer();

    disk_writer(const disk_writer&) = delete;
    disk_writer& operator=(const disk_writer&) = delete;

    /// Queues requests. Thread-safe.
    void add(std::vector<consensus::persist_request> requests);

    /// Returns the number of completed syncs of the log. Thread-safe.
    std::uint64_t syncs() const;

private:
    void run();
    status write(const std::vector<consensus::persist_request>& requests);

    std::unique_ptr<storage::log_store> m_store;
    done_callback m_done;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<consensus::persist_request> m_queue;
    std::uint64_t m_syncs = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace limpet::replica

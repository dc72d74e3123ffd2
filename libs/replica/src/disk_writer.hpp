/// \file
/// Thread that carries out persist requests.

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

/// Writes to the log store on a thread of its own. Requests that arrive while
/// a sync is under way share the next one.
class disk_writer
{
public:
    /// Called on the writer's thread after each sync with the last request
    /// that became durable, or once with the failure that ended the work.
    using done_callback =
        std::function<void(const outcome<consensus::persist_number>&)>;

    disk_writer(std::unique_ptr<storage::log_store> store, done_callback done);

    /// Carries out what was added and joins the thread.
    ~disk_writer();

    disk_writer(const disk_writer&) = delete;
    disk_writer& operator=(const disk_writer&) = delete;

    /// Adds requests. Thread-safe.
    void add(std::vector<consensus::persist_request> requests);

    /// Returns the number of syncs of the log so far. Thread-safe.
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

#include "disk_writer.hpp"

namespace limpet::replica
{

disk_writer::disk_writer(std::unique_ptr<storage::log_store> store,
                         done_callback done)
    : m_store(std::move(store)),
      m_done(std::move(done)),
      m_thread(
          [this]
          {
              run();
          })
{
}

disk_writer::~disk_writer()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_one();
    m_thread.join();
}

void disk_writer::add(std::vector<consensus::persist_request> requests)
{
    {
        const std::lock_guard lock(m_mutex);
        for (consensus::persist_request& request : requests)
        {
            m_queue.push_back(std::move(request));
        }
    }
    m_wake.notify_one();
}

std::uint64_t disk_writer::syncs() const
{
    const std::lock_guard lock(m_mutex);
    return m_syncs;
}

void disk_writer::run()
{
    while (true)
    {
        std::vector<consensus::persist_request> requests;
        {
            std::unique_lock lock(m_mutex);
            m_wake.wait(lock,
                        [this]
                        {
                            return m_stopping || !m_queue.empty();
                        });
            requests.swap(m_queue);
        }
        if (requests.empty())
        {
            return;
        }
        const status written = write(requests);
        if (!is_ok(written))
        {
            m_done(error_of(written));
            return;
        }
        {
            const std::lock_guard lock(m_mutex);
            ++m_syncs;
        }
        m_done(requests.back().number);
    }
}

status
disk_writer::write(const std::vector<consensus::persist_request>& requests)
{
    for (const consensus::persist_request& request : requests)
    {
        if (request.hard)
        {
            m_store->set_hard_state(*request.hard);
        }
        if (!request.entries.empty())
        {
            m_store->append(request.entries);
        }
        if (!request.snapshot)
        {
            continue;
        }
        auto saved = m_store->save_snapshot(*request.snapshot);
        if (!is_ok(saved))
        {
            return saved;
        }
    }
    return m_store->sync();
}

} // namespace limpet::replica

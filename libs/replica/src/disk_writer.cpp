#include "disk_writer.hpp"

#include <limpet/base/units.hpp>

#include <utility>

namespace limpet::replica
{

namespace
{

/// Interval between attempts to write to a disk that refuses writes. Short
/// against the time in which operators expect an acknowledgement.
constexpr duration retry_interval = milliseconds(100);

} // namespace

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
    consensus::persist_queue pending;
    while (wait_for_requests(pending))
    {
        for (;;)
        {
            const auto written = pending.write(*m_store);
            report(written);
            if (is_ok(written))
            {
                break;
            }
            if (!wait_for_retry())
            {
                return;
            }
        }
    }
}

/// Waits for requests and moves them to the queue. Returns false if the writer
/// stops and there are none.
bool disk_writer::wait_for_requests(consensus::persist_queue& pending)
{
    std::unique_lock lock(m_mutex);
    m_wake.wait(lock,
                [this]
                {
                    return m_stopping || !m_queue.empty();
                });
    pending.add(std::exchange(m_queue, {}));
    return !pending.empty();
}

/// Returns false if the writer stops.
bool disk_writer::wait_for_retry()
{
    std::unique_lock lock(m_mutex);
    return !m_wake.wait_for(lock,
                            retry_interval,
                            [this]
                            {
                                return m_stopping;
                            });
}

void disk_writer::report(const outcome<consensus::persist_number>& written)
{
    const bool was_failing = std::exchange(m_is_failing, !is_ok(written));
    if (is_ok(written))
    {
        const std::lock_guard lock(m_mutex);
        ++m_syncs;
    }
    if (is_ok(written) || !was_failing)
    {
        m_done(written);
    }
}

} // namespace limpet::replica

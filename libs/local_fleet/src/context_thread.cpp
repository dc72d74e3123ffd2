#include "context_thread.hpp"

#include <ctime>
#include <pthread.h>

namespace limpet::local_fleet
{

context_thread::context_thread()
    : m_work(m_context.get_executor()),
      m_thread(
          [this]
          {
              m_context.run();
          })
{
}

context_thread::~context_thread()
{
    stop();
}

void context_thread::stop()
{
    m_context.stop();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

duration context_thread::processor_time()
{
    clockid_t clock{};
    timespec time{};
    if (pthread_getcpuclockid(m_thread.native_handle(), &clock) != 0 ||
        clock_gettime(clock, &time) != 0)
    {
        return duration::zero();
    }
    return seconds(time.tv_sec) + nanoseconds(time.tv_nsec);
}

} // namespace limpet::local_fleet

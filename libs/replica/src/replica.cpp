#include "replica_impl.hpp"

#include <limpet/replica/replica.hpp>

namespace limpet::replica
{

replica::replica(std::shared_ptr<impl> body)
    : m_impl(std::move(body))
{
}

replica::~replica()
{
    m_impl->close();
}

outcome<std::unique_ptr<replica>>
replica::open(boost::asio::io_context& context,
              replica_settings settings,
              replica_callbacks callbacks)
{
    auto opened =
        impl::open(context, std::move(settings), std::move(callbacks));
    if (!is_ok(opened))
    {
        return error_of(opened);
    }
    return std::unique_ptr<replica>(new replica(value_of(std::move(opened))));
}

void replica::start()
{
    m_impl->start();
}

void replica::propose(std::string command, proposal_callback done)
{
    m_impl->propose(std::move(command), std::move(done));
}

void replica::add_contacts(std::vector<vm_id> vms)
{
    m_impl->add_contacts(std::move(vms));
}

void replica::read_barrier(status_callback done)
{
    m_impl->read_barrier(std::move(done));
}

void replica::receive(const vm_id& from, const std::vector<std::uint8_t>& bytes)
{
    m_impl->receive(from, bytes);
}

void replica::add_learner(replica_id id, status_callback done)
{
    m_impl->change({consensus::change_kind::add_learner, std::move(id)},
                   std::move(done));
}

void replica::promote(replica_id id, status_callback done)
{
    m_impl->change({consensus::change_kind::promote, std::move(id)},
                   std::move(done));
}

void replica::remove(replica_id id, status_callback done)
{
    m_impl->change({consensus::change_kind::remove, std::move(id)},
                   std::move(done));
}

void replica::stop(status_callback done)
{
    m_impl->stop(std::move(done));
}

replica_view replica::view() const
{
    return m_impl->view();
}

} // namespace limpet::replica

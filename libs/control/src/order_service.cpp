#include "order_service.hpp"

#include "await_callback.hpp"

#include <limpet/base/log.hpp>

#include <functional>
#include <utility>

namespace limpet::control
{

namespace net = boost::asio;

namespace
{

/// Time that a repeated order may take to arrive.
constexpr duration repeat_margin = seconds(1);

} // namespace

std::optional<directory::command>
find_new_version(const directory::registration_table& servers,
                 const directory::intent& known)
{
    std::optional<directory::command> order;
    servers.for_each(
        [&order, &known](const directory::registration& each)
        {
            // Of a server that has left, perhaps only the id is known.
            if (!order && !each.service.empty() &&
                known.lacks_version(each.service, each.version))
            {
                order.emplace();
                order->kind = directory::command_kind::add_version;
                order->service = each.service;
                order->software_version = each.version;
            }
        });
    return order;
}

order_service::order_service(const control_state& state,
                             replica::replica& log,
                             directory_feed& feed,
                             follower_reads& reads,
                             departure_recorder& departures,
                             vm_ports self,
                             std::optional<duration> rollout_repeat_time)
    : m_state(state),
      m_log(log),
      m_feed(feed),
      m_reads(reads),
      m_departures(departures),
      m_self(std::move(self)),
      m_rollouts(state, log, feed),
      m_rollout_repeat_time(rollout_repeat_time)
{
}

net::awaitable<status> order_service::submit(directory::command order)
{
    // Another document may come into force while the delta is being
    // replicated. The delta is then rejected, and the complete document is
    // proposed.
    auto done = co_await propose(as_delta(order));
    if (is_ok(done) && value_of(done).answer == other_base_answer)
    {
        done = co_await propose(order);
    }
    if (!is_ok(done))
    {
        co_return error_of(done);
    }
    log_event(log_level::info,
              "order.in_force",
              {{"kind", static_cast<int>(order.kind)},
               {"version", order.version.get()},
               {"data_centre", order.data_centre},
               {"index", value_of(done).index.get()},
               {"version_in_force", m_state.orders().version.get()}});
    co_return success();
}

void order_service::record_versions()
{
    if (m_is_recording || !is_leader())
    {
        return;
    }
    const auto found =
        find_new_version(m_feed.registrations(), m_state.orders());
    if (!found)
    {
        return;
    }
    const directory::command& order = *found;
    m_is_recording = true;
    m_log.propose(
        make_entry(order),
        [this, order](const outcome<replica::proposal_result>& done)
        {
            m_is_recording = false;
            log_event(log_level::info,
                      "version.recorded",
                      {{"service", order.service},
                       {"version", order.software_version},
                       {"reason", is_ok(done) ? "" : error_of(done).message}});
            if (is_ok(done))
            {
                record_versions();
            }
        });
}

directory::command
order_service::as_delta(const directory::command& order) const
{
    const directory::intent& known = m_state.orders();
    if (!order.document || !known.document)
    {
        return order;
    }
    directory::command changed = order;
    changed.document = nullptr;
    changed.change = directory::change_of_version{
        known.version,
        directory::make_delta(known.document->text(), order.document->text())};
    return changed;
}

net::awaitable<outcome<replica::proposal_result>>
order_service::propose(const directory::command& order)
{
    using result = outcome<replica::proposal_result>;
    const std::string entry = make_entry(order);
    // A named variable, because GCC 12 destroys temporaries of an awaited
    // expression twice if they capture objects.
    const std::function<void(std::function<void(result)>)> start =
        [this, entry](std::function<void(result)> call)
    {
        m_log.propose(entry, std::move(call));
    };
    co_return co_await await_callback<result>(start);
}

net::awaitable<outcome<std::shared_ptr<const directory::stored_document>>>
order_service::read_document()
{
    const status known = co_await read_barrier();
    if (!is_ok(known))
    {
        co_return error_of(known);
    }
    co_return m_state.orders().document;
}

net::awaitable<status> order_service::read_barrier()
{
    co_return co_await await_callback<status>(
        [this](std::function<void(status)> call)
        {
            if (is_leader())
            {
                m_log.read_barrier(std::move(call));
                return;
            }
            m_reads.barrier(std::move(call));
        });
}

bool order_service::offers_rollouts() const
{
    return m_rollout_repeat_time.has_value();
}

void order_service::update_rollouts(time_point now)
{
    m_rollouts.update(now);
}

/// Returns whether the operator sent the order of the known rollout again, as
/// its acknowledgement may have been lost. Operators repeat an order for a
/// limited time only; afterwards it begins another rollout.
bool order_service::is_repeated(const rollout::record& known,
                                const rollout::start_order& order) const
{
    const bool is_same =
        known.target == order.target && known.length == order.length;
    return is_same &&
           (!is_finished(known.current) ||
            m_rollouts.known_for(known.service, monotonic_clock::now()) <=
                *m_rollout_repeat_time + repeat_margin);
}

net::awaitable<status> order_service::start_rollout(rollout::start_order order)
{
    // The rollouts known here are the newest once the barrier has passed.
    const status barrier = co_await read_barrier();
    if (!is_ok(barrier))
    {
        co_return barrier;
    }
    const auto found = m_state.orders().rollouts.find(order.service);
    if (found != m_state.orders().rollouts.end())
    {
        if (is_repeated(found->second, order))
        {
            co_return success();
        }
        order.replaces = found->second.id;
    }
    directory::command command;
    command.kind = directory::command_kind::start_rollout;
    command.start = order;
    const auto done = co_await propose(command);
    if (!is_ok(done))
    {
        co_return error_of(done);
    }
    const bool is_refused = value_of(done).answer == other_rollout_answer;
    log_event(is_refused ? log_level::warn : log_level::info,
              "rollout.ordered",
              {{"service", order.service},
               {"target", order.target},
               {"length_ms", to_milliseconds(order.length)},
               {"accepted", !is_refused},
               {"replaces", order.replaces.get()},
               {"index", value_of(done).index.get()}});
    if (is_refused)
    {
        co_return error{error_code::conflict,
                        "another rollout of the service is running"};
    }
    co_return success();
}

net::awaitable<outcome<std::optional<rollout::record>>>
order_service::read_rollout(const std::string& service)
{
    const status known = co_await read_barrier();
    if (!is_ok(known))
    {
        co_return error_of(known);
    }
    const auto found = m_state.orders().rollouts.find(service);
    co_return found == m_state.orders().rollouts.end()
        ? std::optional<rollout::record>()
        : std::optional(found->second);
}

bool order_service::is_leader() const
{
    return m_log.view().is_leader;
}

std::optional<directory::document_version>
order_service::version_in_force() const
{
    const directory::intent& orders = m_state.orders();
    return orders.document ? std::optional(orders.version) : std::nullopt;
}

directory::merge_result
order_service::take(const directory::registration& reported)
{
    return m_feed.take(reported);
}

net::awaitable<status> order_service::record(directory::registration departure)
{
    // A named variable, as in propose().
    const std::function<void(std::function<void(status)>)> start =
        [this, departure](std::function<void(status)> call)
    {
        m_departures.record(departure, std::move(call));
    };
    co_return co_await await_callback<status>(start);
}

net::awaitable<status>
order_service::record_draining(const directory::registration& reported,
                               directory::merge_result taken)
{
    // A server repeats its report with each heartbeat.
    if (taken != directory::merge_result::changed &&
        m_state.departures().has_departed(reported.id, reported.born_ms))
    {
        co_return success();
    }
    co_return co_await record(directory::departure_of(reported));
}

net::awaitable<status> order_service::leave(const engine_id& id)
{
    const directory::merge_result result = m_feed.leave(id);
    if (result == directory::merge_result::ambiguous)
    {
        co_return started_again();
    }
    directory::registration departure;
    departure.id = id;
    const auto* known = m_feed.registrations().find(id);
    // Of a server that was gone before, the leader may know a later start.
    if (known != nullptr && result == directory::merge_result::changed)
    {
        departure = *known;
    }
    departure.state = directory::server_state::gone;
    co_return co_await record(directory::departure_of(departure));
}

std::optional<net::ip::tcp::endpoint> order_service::leader() const
{
    const auto known = m_log.view().leader;
    boost::system::error_code failure;
    if (!known || known->vm == m_self.vm)
    {
        return std::nullopt;
    }
    const auto ip = net::ip::make_address(known->vm.get(), failure);
    if (failure)
    {
        return std::nullopt;
    }
    return net::ip::tcp::endpoint(ip, m_self.operators);
}

} // namespace limpet::control

#include "flooded_fleet.hpp"

#include "group_discovery.hpp"

#include <limpet/consensus/message_codec.hpp>

#include <boost/test/unit_test.hpp>

namespace limpet::control
{

namespace
{

/// Processor time of a whole core for each operation.
constexpr duration frame_receipt_cost = microseconds(14);
constexpr duration frame_send_cost = microseconds(11);
constexpr duration lease_check_cost = nanoseconds(500);
constexpr duration row_cost = nanoseconds(10);
/// Of compression, for each byte of the result.
constexpr duration packed_byte_cost = nanoseconds(60);
/// Least bytes of a registration in a frame that is not packed.
constexpr std::size_t plain_row_bytes = 60;
/// Of reading a document and putting it in force, for each compressed byte.
constexpr duration document_byte_cost = nanoseconds(250);
constexpr duration consensus_message_cost = microseconds(12);
constexpr duration registration_cost = microseconds(100);
/// Of a departure in an entry of the log, with its log line.
constexpr duration departure_cost = microseconds(10);
constexpr duration order_cost = microseconds(300);
constexpr duration tick_cost = microseconds(5);

constexpr duration tick_period = milliseconds(25);
constexpr duration subscribe_period = milliseconds(500);
constexpr duration load_period = milliseconds(100);
constexpr duration retry_delay = milliseconds(300);
constexpr duration warm_up = seconds(10);
constexpr duration observed_time = seconds(12);

/// Bytes of a frame besides its payload, including TCP and IP headers.
constexpr std::size_t frame_overhead_bytes = 60;
constexpr std::size_t load_frame_bytes = 200;

vm_id replica_name(std::size_t index)
{
    return vm_id("replica-" + std::to_string(index));
}

vm_id router_name(std::size_t index)
{
    return vm_id("router-" + std::to_string(index));
}

/// Returns a document that cannot be compressed much and of which a few bytes
/// change from version to version.
std::shared_ptr<const directory::stored_document>
make_document(std::uint64_t version, std::size_t bytes, std::uint64_t seed)
{
    random_source filler(seed);
    std::string text = "[" + std::to_string(version) + ",\"";
    while (text.size() < bytes)
    {
        text += std::to_string(filler.next());
    }
    return std::make_shared<const directory::stored_document>(text + "\"]");
}

/// Returns the compressed bytes of the document or change in the frame.
std::size_t frame_document_bytes(const directory::update& frame)
{
    if (frame.change)
    {
        return frame.change->delta.size();
    }
    return frame.orders->document
               ? frame.orders->document->packed().bytes().size()
               : 0;
}

/// Returns the processor time of packing the frame, if it is packed.
duration packing_cost(const std::string& payload)
{
    const auto frame = directory::decode_update(payload, {});
    BOOST_REQUIRE(is_ok(frame));
    const std::size_t rows = value_of(frame).registrations.size();
    return payload.size() < rows * plain_row_bytes
               ? duration(packed_byte_cost * payload.size())
               : duration::zero();
}

} // namespace

class flooded_fleet::simulated_hub final : public wire::link_hub
{
public:
    simulated_hub(flooded_fleet& fleet, std::size_t replica)
        : m_fleet(fleet),
          m_replica(replica),
          m_self{replica_name(replica),
                 data_centre_id("north"),
                 incarnation(1),
                 ""}
    {
    }

    const wire::link_identity& self() const override
    {
        return m_self;
    }

    void set_peer(const vm_id& /*peer*/,
                  const boost::asio::ip::tcp::endpoint& /*at*/) override
    {
    }

    void remove_peer(const vm_id& /*peer*/) override {}

    status
    send(const vm_id& to, wire::channel /*kind*/, std::string payload) override
    {
        m_fleet.send_directory(m_replica, to, payload);
        return success();
    }

    const wire::traffic_counters& counters() const override
    {
        return m_counters;
    }

    status set_fault(const vm_id& /*peer*/, wire::link_fault /*what*/) override
    {
        return success();
    }

    void close() override {}

private:
    flooded_fleet& m_fleet;
    std::size_t m_replica;
    wire::link_identity m_self;
    wire::traffic_counters m_counters;
};

struct flooded_fleet::replica_process
{
    replica_process(simulated_clock& clock,
                    const simulated_process::budget& limits)
        : process(clock, limits)
    {
    }

    simulated_process process;
    std::shared_ptr<simulated_hub> hub;
    work_meter meter;
    directory::intent orders;
    std::unique_ptr<consensus::node> node;
    std::unique_ptr<directory_feed> feed;
    /// Versions of the configurations by the tickets of their proposals.
    std::map<consensus::ticket, std::uint64_t> proposals;
    std::unique_ptr<departure_recorder> recorder;
    departure_intake intake{[]
                            {
                                return log_position{true, 0};
                            }};
    directory::departure_table departures;
    std::map<consensus::ticket, replica::proposal_callback> reports;
    std::uint64_t last_ticket = 0;
    std::uint64_t rows_charged = 0;
};

struct flooded_fleet::router_process
{
    router_process(simulated_clock& clock,
                   const simulated_process::budget& limits)
        : process(clock, limits)
    {
    }

    simulated_process process;
    incarnation start{1};
    bool is_recovered = false;
    std::uint64_t in_force = 0;
    std::uint64_t document = 0;
    std::set<std::size_t> servers;
    directory::registration_table table;
};

flooded_fleet::flooded_fleet(const flood_options& options)
    : m_options(options),
      m_random(options.seed)
{
}

flooded_fleet::~flooded_fleet() = default;

flood_result flooded_fleet::run()
{
    m_orders.resize(1);
    for (std::size_t i = 0; i < m_options.replicas; ++i)
    {
        m_replicas.push_back(
            std::make_unique<replica_process>(m_clock, m_options.replica));
    }
    for (std::size_t i = 0; i < m_options.replicas; ++i)
    {
        start_replica(i);
    }
    for (std::size_t i = 0; i < m_options.routers; ++i)
    {
        start_router(i);
    }
    for (std::size_t i = 0; i < m_options.known_servers; ++i)
    {
        m_clock.at(time_point(warm_up * i / (2 * m_options.known_servers)),
                   [this]
                   {
                       add_server(random_below(m_replicas.size()));
                   });
    }
    m_clock.run_until(time_point(warm_up - seconds(2)));
    submit_periodically();
    m_clock.run_until(time_point(warm_up));
    m_is_flooded = true;
    m_last_leader = leader();
    m_last_lease = m_clock.now();
    observe_leader();
    observe_routers();
    if (m_options.restarts_routers)
    {
        restart_routers();
    }
    replace_servers();
    end_servers(m_last_leader == none ? 0 : m_last_leader);
    const std::size_t flooded = m_last_leader == none ? 0 : m_last_leader;
    for (std::size_t i = 0; i < m_options.flood_servers; ++i)
    {
        m_clock.at(m_clock.now() +
                       m_options.flood_time * i / m_options.flood_servers,
                   [this, flooded]
                   {
                       add_server(flooded);
                   });
    }
    m_clock.run_until(time_point(warm_up + observed_time));
    for (std::size_t i = 1; i < m_orders.size(); ++i)
    {
        if (!m_orders[i].is_acknowledged)
        {
            m_result.longest_acknowledgement =
                std::max(m_result.longest_acknowledgement,
                         m_clock.now() - m_orders[i].at);
        }
    }
    for (const known_server& each : m_servers)
    {
        if (!each.uninformed.empty())
        {
            m_result.longest_draining = std::max(
                m_result.longest_draining, m_clock.now() - each.draining_at);
        }
        if (each.unaware_routers > 0)
        {
            m_result.longest_unknown = std::max(
                m_result.longest_unknown, m_clock.now() - each.reported_at);
        }
    }
    return m_result;
}

void flooded_fleet::start_replica(std::size_t index)
{
    replica_process& self = *m_replicas[index];
    self.hub = std::make_shared<simulated_hub>(*this, index);
    consensus::settings timing;
    set_group_timing(timing);
    consensus::node_start start;
    start.self = replica_name(index);
    for (std::size_t i = 0; i < m_options.replicas; ++i)
    {
        start.group.push_back(replica_name(i));
    }
    start.state.storage = incarnation(1);
    start.seed = m_random.next();
    self.node = std::make_unique<consensus::node>(
        timing, std::move(start), m_clock.now());

    feed_callbacks callbacks;
    callbacks.orders = [&self]() -> const directory::intent&
    {
        return self.orders;
    };
    callbacks.has_lease = [this, &self]
    {
        self.process.charge(lease_check_cost);
        return self.node->view(m_clock.now()).has_lease;
    };
    callbacks.replicas = [this]
    {
        std::vector<vm_id> all;
        for (std::size_t i = 0; i < m_options.replicas; ++i)
        {
            all.push_back(replica_name(i));
        }
        return all;
    };
    callbacks.is_settled = [this, &self]
    {
        const auto view = self.node->view(m_clock.now());
        return view.applied == view.last;
    };
    callbacks.on_contacts = [](const std::vector<vm_id>&) {};
    callbacks.on_tick = [] {};
    event_loop loop;
    loop.now = [&self]
    {
        return self.process.now();
    };
    loop.call_after = [this, &self](duration delay, std::function<void()> call)
    {
        m_clock.at(self.process.now() + delay,
                   [this, &self, call = std::move(call)]
                   {
                       self.process.post(tick_cost, call);
                   });
    };
    self.feed =
        std::make_unique<directory_feed>(loop,
                                         self.hub,
                                         m_options.server_heartbeat_period,
                                         self.meter,
                                         std::move(callbacks));
    for (std::size_t i = 0; i < m_options.replicas; ++i)
    {
        self.feed->add_contact(replica_name(i));
    }
    make_recorder(index, loop);
    self.intake.start();
    m_clock.at(m_clock.now() + duration(m_random.below(500'000'000)),
               [&self]
               {
                   self.feed->start();
               });
    tick(index);
}

void flooded_fleet::make_recorder(std::size_t replica, const event_loop& loop)
{
    replica_process& self = *m_replicas[replica];
    recorder_callbacks callbacks;
    callbacks.leader = [this, &self]
    {
        const auto state = self.node->view(m_clock.now());
        return known_leader{state.leader ? state.leader->vm : vm_id(),
                            state.term,
                            state.role == consensus::node_role::leader};
    };
    callbacks.propose = [this, &self, replica](std::string entry,
                                               replica::proposal_callback done)
    {
        const consensus::ticket id{++self.last_ticket};
        self.reports[id] = std::move(done);
        consensus::propose batch;
        batch.proposals.push_back({id, std::move(entry)});
        step(replica, std::move(batch));
    };
    callbacks.send =
        [this, replica](const vm_id& to, const wire::call_message& message)
    {
        send_call(replica, to, message);
        return success();
    };
    callbacks.recorded = [&self]() -> const directory::departure_table&
    {
        return self.departures;
    };
    callbacks.servers = [&self]() -> const directory::registration_table&
    {
        return self.feed->registrations();
    };
    callbacks.unix_ms = []
    {
        return std::uint64_t{1};
    };
    self.recorder =
        std::make_unique<departure_recorder>(loop, std::move(callbacks));
}

void flooded_fleet::send_call(std::size_t from,
                              const vm_id& to,
                              const wire::call_message& message)
{
    replica_process& sender = *m_replicas[from];
    replica_process& receiver = *m_replicas[index_of(to)];
    const std::size_t size = encode(message).size() + frame_overhead_bytes;
    const auto deliver = [this, from, &receiver, message]
    {
        if (const auto* answer = std::get_if<wire::reply>(&message))
        {
            receiver.recorder->receive(*answer);
            return;
        }
        receiver.recorder->receive(replica_name(from),
                                   std::get<wire::call>(message));
    };
    sender.process.charge(frame_send_cost);
    m_clock.at(sender.process.send(size) + latency(),
               [this, &receiver, size, deliver]
               {
                   m_clock.at(receiver.process.receive(m_clock.now(), size),
                              [&receiver, deliver]
                              {
                                  receiver.process.post(frame_receipt_cost,
                                                        deliver);
                              });
               });
}

void flooded_fleet::take_departures(
    std::size_t replica, const std::vector<directory::registration>& departed)
{
    replica_process& self = *m_replicas[replica];
    self.process.charge(departure_cost * departed.size());
    self.feed->take_departures(departed);
}

void flooded_fleet::tick(std::size_t replica)
{
    m_replicas[replica]->process.post(tick_cost,
                                      [this, replica]
                                      {
                                          step(replica, consensus::tick{});
                                          m_clock.at(m_clock.now() +
                                                         tick_period,
                                                     [this, replica]
                                                     {
                                                         tick(replica);
                                                     });
                                      });
}

void flooded_fleet::step(std::size_t replica, consensus::event what)
{
    execute(replica,
            m_replicas[replica]->node->step(m_clock.now(), std::move(what)));
}

void flooded_fleet::execute(std::size_t replica, consensus::actions work)
{
    for (const consensus::persist_request& each : work.persists)
    {
        for (const storage::log_entry& entry : each.entries)
        {
            take_departures(replica,
                            m_replicas[replica]->intake.store(entry.index.get(),
                                                              entry.data));
        }
    }
    if (!work.persists.empty())
    {
        const auto last = work.persists.back().number;
        m_clock.at(m_clock.now() + m_options.disk_time,
                   [this, replica, last]
                   {
                       m_replicas[replica]->process.post(
                           tick_cost,
                           [this, replica, last]
                           {
                               step(replica, consensus::persisted{last});
                           });
                   });
    }
    for (const consensus::message& each : work.sends)
    {
        send_consensus(replica, each);
    }
    apply(replica, work);
}

void flooded_fleet::apply(std::size_t replica, const consensus::actions& work)
{
    replica_process& self = *m_replicas[replica];
    for (const storage::log_entry& entry : work.apply)
    {
        if (entry.kind != storage::entry_kind::command)
        {
            continue;
        }
        if (const auto report = departures_in(entry.data))
        {
            self.departures.apply(entry.index.get(), *report);
            continue;
        }
        directory::command order;
        const std::uint64_t version = std::stoull(entry.data);
        order.version = directory::document_version(version);
        order.document =
            make_document(version,
                          m_options.document_bytes,
                          m_options.replaces_document ? version : 1);
        m_orders[version].index = entry.index.get();
        self.orders.apply(entry.index.get(), order);
        self.feed->orders_changed();
    }
    for (const consensus::request_result& each : work.results)
    {
        if (const auto report = self.reports.extract(each.id))
        {
            if (each.state == consensus::request_state::done)
            {
                report.mapped()(replica::proposal_result{each.index, ""});
            }
            else
            {
                report.mapped()(
                    error{error_code::unavailable, "not committed"});
            }
        }
        const auto proposal = self.proposals.extract(each.id);
        if (!proposal)
        {
            continue;
        }
        const std::uint64_t version = proposal.mapped();
        submitted_order& order = m_orders[version];
        if (each.state != consensus::request_state::done)
        {
            m_clock.at(m_clock.now() + retry_delay,
                       [this, version]
                       {
                           submit(version);
                       });
        }
        else if (!std::exchange(order.is_acknowledged, true))
        {
            order.acknowledged_at = m_clock.now();
            m_result.longest_acknowledgement = std::max(
                m_result.longest_acknowledgement, m_clock.now() - order.at);
        }
    }
}

void flooded_fleet::send_consensus(std::size_t from,
                                   const consensus::message& content)
{
    const std::vector<std::uint8_t> bytes = consensus::encode_message(content);
    const std::size_t to = index_of(content.to.vm);
    const std::size_t size = bytes.size() + frame_overhead_bytes;
    m_replicas[from]->process.charge(frame_send_cost);
    m_clock.at(m_replicas[from]->process.send(size) + latency(),
               [this, to, size, bytes]
               {
                   auto& process = m_replicas[to]->process;
                   m_clock.at(
                       process.receive(m_clock.now(), size),
                       [this, to, bytes]
                       {
                           m_replicas[to]->process.post(
                               frame_receipt_cost + consensus_message_cost,
                               [this, to, bytes]
                               {
                                   step(to,
                                        consensus::message_received{
                                            *consensus::decode_message(bytes)});
                               });
                       });
               });
}

void flooded_fleet::send_directory(std::size_t from,
                                   const vm_id& to,
                                   const std::string& payload)
{
    replica_process& sender = *m_replicas[from];
    const std::size_t size = payload.size() + frame_overhead_bytes;
    sender.process.charge(frame_send_cost);
    if (m_is_flooded)
    {
        ++m_result.directory_frames;
        m_result.directory_bytes += size;
    }
    sender.process.charge(packing_cost(payload));
    const bool is_replica = to.get().starts_with("replica-");
    const std::size_t peer = index_of(to);
    m_clock.at(sender.process.send(size) + latency(),
               [this, from, is_replica, peer, size, payload]
               {
                   if (!is_replica)
                   {
                       send_to_router(peer, replica_name(from), size, payload);
                       return;
                   }
                   replica_process& receiver = *m_replicas[peer];
                   m_clock.at(receiver.process.receive(m_clock.now(), size),
                              [this, from, &receiver, payload]
                              {
                                  receiver.process.post(
                                      frame_receipt_cost,
                                      [this, from, &receiver, payload]
                                      {
                                          receiver.feed->receive(
                                              m_replicas[from]->hub->self(),
                                              payload);
                                      });
                              });
               });
}

void flooded_fleet::start_router(std::size_t index)
{
    m_routers.push_back(
        std::make_unique<router_process>(m_clock, m_options.router));
    m_clock.at(m_clock.now() + duration(m_random.below(500'000'000)),
               [this, index]
               {
                   subscribe_periodically(index);
                   send_loads_periodically(index);
               });
}

void flooded_fleet::restart_routers()
{
    for (auto& each : m_routers)
    {
        // Events that were posted to the former process are still to come.
        m_ended_routers.push_back(std::move(each));
        each = std::make_unique<router_process>(m_clock, m_options.router);
        each->start = incarnation(2);
    }
    for (known_server& each : m_servers)
    {
        each.unaware_routers = m_routers.size();
        each.reported_at = m_clock.now();
    }
}

void flooded_fleet::record_recovery(const router_process& router)
{
    m_recovered += router.start == incarnation(2) ? 1 : 0;
    if (m_recovered == m_routers.size() * 95 / 100)
    {
        m_result.recovered = m_clock.now() - time_point(warm_up);
    }
}

void flooded_fleet::subscribe_periodically(std::size_t router)
{
    for (std::size_t i = 0; i < m_replicas.size(); ++i)
    {
        subscribe(router, i);
    }
    m_clock.at(m_clock.now() + subscribe_period,
               [this, router]
               {
                   subscribe_periodically(router);
               });
}

void flooded_fleet::subscribe(std::size_t router, std::size_t replica)
{
    directory::update frame;
    frame.subscribes = true;
    frame.is_router = true;
    frame.forwards = true;
    frame.intent_index = m_routers[router]->in_force;
    frame.document_index = m_routers[router]->document;
    frame.digests = m_routers[router]->table.digests();
    frame.asked_at = m_clock.now();
    const std::string payload = encode(frame, m_clock.now());
    const std::size_t size = payload.size() + frame_overhead_bytes;
    const incarnation start = m_routers[router]->start;
    m_clock.at(m_routers[router]->process.send(size) + latency(),
               [this, router, replica, size, payload, start]
               {
                   replica_process& to = *m_replicas[replica];
                   m_clock.at(
                       to.process.receive(m_clock.now(), size),
                       [this, router, &to, payload, start]
                       {
                           to.process.post(
                               frame_receipt_cost,
                               [this, router, &to, payload, start]
                               {
                                   to.feed->receive({router_name(router),
                                                     data_centre_of(router),
                                                     start,
                                                     ""},
                                                    payload);
                                   const auto rows =
                                       to.feed->registrations().rows_examined();
                                   to.process.charge(row_cost *
                                                     (rows - to.rows_charged));
                                   to.rows_charged = rows;
                               });
                       });
               });
}

void flooded_fleet::send_loads_periodically(std::size_t router)
{
    replica_process& relay = *m_replicas[router % m_replicas.size()];
    m_clock.at(relay.process.receive(m_clock.now(), load_frame_bytes),
               [&relay]
               {
                   relay.process.post(frame_receipt_cost, [] {});
               });
    relay.process.send(load_frame_bytes);
    m_clock.at(m_clock.now() + load_period,
               [this, router]
               {
                   send_loads_periodically(router);
               });
}

data_centre_id flooded_fleet::data_centre_of(std::size_t router) const
{
    return data_centre_id("centre-" +
                          std::to_string(router % m_options.data_centres));
}

/// Delivers a frame that is on its way over the network.
void flooded_fleet::send_to_router(std::size_t to,
                                   const vm_id& from,
                                   std::size_t size,
                                   std::string payload)
{
    router_process& receiver = *m_routers[to];
    m_clock.at(receiver.process.receive(m_clock.now(), size),
               [this, &receiver, to, from, payload = std::move(payload)]
               {
                   receiver.process.post(
                       frame_receipt_cost,
                       [this, &receiver, to, from, payload]
                       {
                           if (m_routers[to].get() == &receiver)
                           {
                               receive_at_router(to, from, payload);
                           }
                       });
               });
}

void flooded_fleet::receive_at_router(std::size_t router,
                                      const vm_id& from,
                                      const std::string& payload)
{
    router_process& self = *m_routers[router];
    const auto decoded = directory::decode_update(payload, m_clock.now());
    BOOST_REQUIRE(is_ok(decoded));
    const directory::update& frame = value_of(decoded);
    if (!frame.forwarded_for.get().empty())
    {
        read_orders(router, index_of(frame.forwarded_for), frame);
        return;
    }
    for (const directory::registration& row : frame.registrations)
    {
        self.table.merge(row);
        const std::size_t index = std::stoull(row.id.get());
        known_server& server = m_servers[index];
        if (row.state != directory::server_state::ready &&
            server.uninformed.erase(router) > 0)
        {
            m_result.longest_draining = std::max(
                m_result.longest_draining, m_clock.now() - server.draining_at);
        }
        if (!self.servers.insert(index).second)
        {
            continue;
        }
        if (--server.unaware_routers == 0 && m_is_flooded)
        {
            m_result.longest_unknown = std::max(
                m_result.longest_unknown, m_clock.now() - server.reported_at);
        }
    }
    if (frame.orders)
    {
        forward_orders(router, from, frame);
        read_orders(router, index_of(from), frame);
    }
    check_recovery(self);
}

void flooded_fleet::check_recovery(router_process& router)
{
    if (router.in_force > 0 && 2 * router.servers.size() > m_servers.size() &&
        !std::exchange(router.is_recovered, true))
    {
        record_recovery(router);
    }
}

/// Puts the orders in force after the time that it takes to read them, and
/// confirms them to the replica.
void flooded_fleet::read_orders(std::size_t router,
                                std::size_t replica,
                                const directory::update& frame)
{
    router_process& self = *m_routers[router];
    self.process.post(document_byte_cost * frame_document_bytes(frame),
                      [this, &self, router, replica, frame]
                      {
                          if (m_routers[router].get() != &self)
                          {
                              return;
                          }
                          apply_orders(self, frame);
                          check_recovery(self);
                          subscribe(router, replica);
                      });
}

void flooded_fleet::apply_orders(router_process& self,
                                 const directory::update& frame)
{
    if (frame.intent_index <= self.document && !frame.is_sure)
    {
        return;
    }
    // A change can be applied to its base only.
    if (frame.change && frame.change->base_index != self.document)
    {
        return;
    }
    self.document = std::max(self.document, frame.intent_index);
    if (frame.is_sure || self.in_force > 0)
    {
        self.in_force = self.document;
    }
}

void flooded_fleet::forward_orders(std::size_t router,
                                   const vm_id& replica,
                                   const directory::update& frame)
{
    constexpr std::uint64_t all = 100;
    if (frame.forward_to.empty() ||
        (m_options.lost_forwards > 0 &&
         m_random.below(all) < m_options.lost_forwards))
    {
        return;
    }
    const std::string payload =
        encode(make_forwarded_update(frame, replica), m_clock.now());
    const std::size_t size = payload.size() + frame_overhead_bytes;
    simulated_process& process = m_routers[router]->process;
    for (const vm_id& each : frame.forward_to)
    {
        process.charge(frame_send_cost);
        m_clock.at(process.send(size) + latency(),
                   [this, to = index_of(each), router, size, payload]
                   {
                       send_to_router(to, router_name(router), size, payload);
                   });
    }
}

void flooded_fleet::add_server(std::size_t replica)
{
    const std::size_t index = m_servers.size();
    known_server added;
    added.row.id = engine_id(std::to_string(index));
    added.row.service = "service";
    added.row.address = "10.0." + std::to_string(index / 250) + "." +
                        std::to_string(index % 250) + ":80";
    added.row.data_centre = data_centre_id("north");
    added.row.version = "v1";
    added.row.born_ms = 1;
    added.reported_at = m_clock.now();
    added.unaware_routers = m_routers.size();
    m_servers.push_back(std::move(added));
    report(replica, index);
    send_heartbeats(index);
}

void flooded_fleet::replace_servers()
{
    for (std::size_t i = 0; i < m_options.replaced_servers; ++i)
    {
        m_clock.at(m_clock.now() +
                       m_options.release_time * i / m_options.replaced_servers,
                   [this, i]
                   {
                       add_server(random_below(m_replicas.size()));
                       replace_server(i);
                   });
    }
}

void flooded_fleet::begin_departure(std::size_t server)
{
    known_server& leaving = m_servers[server];
    leaving.draining_at = m_clock.now();
    for (std::size_t i = 0; i < m_routers.size(); ++i)
    {
        leaving.uninformed.insert(i);
    }
}

/// Deregisters known servers at one replica, one after the other within
/// flood_time.
void flooded_fleet::end_servers(std::size_t replica)
{
    const std::size_t to = m_options.leave_at_leader
                               ? replica
                               : (replica + 1) % m_options.replicas;
    for (std::size_t i = 0; i < m_options.leaving_servers; ++i)
    {
        m_clock.at(m_clock.now() +
                       m_options.flood_time * i / m_options.leaving_servers,
                   [this, to, i]
                   {
                       m_servers[i].has_left = true;
                       begin_departure(i);
                       deregister(to, i);
                   });
    }
}

void flooded_fleet::deregister(std::size_t replica, std::size_t server)
{
    replica_process& to = *m_replicas[replica];
    to.process.post_background(
        registration_cost,
        [this, &to, replica, server]
        {
            directory::registration departure = m_servers[server].row;
            to.feed->leave(departure.id);
            if (!m_options.records_departures)
            {
                return;
            }
            departure.state = directory::server_state::gone;
            to.recorder->record(
                directory::departure_of(departure),
                [this, replica, server](const status& done)
                {
                    if (!is_ok(done))
                    {
                        ++m_result.refused_departures;
                        deregister((replica + 1) % m_options.replicas, server);
                        return;
                    }
                    m_result.longest_departure =
                        std::max(m_result.longest_departure,
                                 m_clock.now() - m_servers[server].draining_at);
                });
        });
}

void flooded_fleet::replace_server(std::size_t server)
{
    constexpr duration drain_time = seconds(2);
    begin_departure(server);
    m_servers[server].row.state = directory::server_state::draining;
    report(random_below(m_replicas.size()), server);
    m_clock.at(m_clock.now() + drain_time,
               [this, server]
               {
                   m_servers[server].has_left = true;
                   deregister(random_below(m_replicas.size()), server);
               });
}

void flooded_fleet::send_heartbeats(std::size_t server)
{
    m_clock.at(m_clock.now() + m_options.server_heartbeat_period,
               [this, server]
               {
                   if (m_servers[server].has_left)
                   {
                       return;
                   }
                   report(random_below(m_replicas.size()), server);
                   send_heartbeats(server);
               });
}

void flooded_fleet::report(std::size_t replica, std::size_t server)
{
    replica_process& to = *m_replicas[replica];
    to.process.post_background(
        registration_cost,
        [this, &to, server]
        {
            directory::registration& row = m_servers[server].row;
            ++row.sequence;
            row.heard_at = m_clock.now();
            const auto taken = to.feed->take(row);
            if (m_options.records_departures &&
                row.state == directory::server_state::draining &&
                taken == directory::merge_result::changed)
            {
                to.recorder->record(directory::departure_of(row),
                                    [](const status& /*done*/) {});
            }
            const auto rows = to.feed->registrations().rows_examined();
            to.process.charge(row_cost * (rows - to.rows_charged));
            to.rows_charged = rows;
        });
}

void flooded_fleet::submit_periodically()
{
    m_orders.push_back({m_clock.now(), false});
    submit(m_orders.size() - 1);
    m_clock.at(m_clock.now() + m_options.order_period,
               [this]
               {
                   submit_periodically();
               });
}

void flooded_fleet::submit(std::uint64_t version)
{
    if (m_orders[version].is_acknowledged)
    {
        return;
    }
    const std::size_t to = leader();
    if (to == none)
    {
        m_clock.at(m_clock.now() + retry_delay,
                   [this, version]
                   {
                       submit(version);
                   });
        return;
    }
    m_replicas[to]->process.post_background(
        order_cost,
        [this, to, version]
        {
            replica_process& self = *m_replicas[to];
            const consensus::ticket id{++self.last_ticket};
            self.proposals[id] = version;
            consensus::propose batch;
            batch.proposals.push_back({id, std::to_string(version)});
            step(to, std::move(batch));
        });
}

/// Compares the routers' configurations with those acknowledged, every 20 ms.
void flooded_fleet::observe_routers()
{
    const time_point now = m_clock.now();
    for (const auto& router : m_routers)
    {
        const auto missing = std::find_if(
            m_orders.begin(),
            m_orders.end(),
            [&router](const submitted_order& each)
            {
                return each.is_acknowledged && each.index > router->in_force;
            });
        if (missing != m_orders.end())
        {
            m_result.longest_outdated = std::max(
                m_result.longest_outdated, now - missing->acknowledged_at);
        }
    }
    m_clock.at(now + milliseconds(20),
               [this]
               {
                   observe_routers();
               });
}

/// Checks for a leader that holds its lease, every 5 ms.
void flooded_fleet::observe_leader()
{
    const std::size_t current = leader();
    if (current != none && current != m_last_leader)
    {
        ++m_result.leader_changes;
        m_last_leader = current;
    }
    const time_point now = m_clock.now();
    if (current != none && m_replicas[current]->node->view(now).has_lease)
    {
        m_last_lease = now;
    }
    m_result.longest_leaderless =
        std::max(m_result.longest_leaderless, now - m_last_lease);
    m_clock.at(now + milliseconds(5),
               [this]
               {
                   observe_leader();
               });
}

std::size_t flooded_fleet::leader() const
{
    std::size_t found = none;
    std::uint64_t highest = 0;
    for (std::size_t i = 0; i < m_replicas.size(); ++i)
    {
        const auto state = m_replicas[i]->node->view(m_clock.now());
        if (state.role == consensus::node_role::leader &&
            state.term.get() > highest)
        {
            found = i;
            highest = state.term.get();
        }
    }
    return found;
}

std::size_t flooded_fleet::random_below(std::size_t bound)
{
    return static_cast<std::size_t>(m_random.below(bound));
}

duration flooded_fleet::latency()
{
    constexpr std::uint64_t spread_us = 3000;
    return milliseconds(1) + microseconds(m_random.below(spread_us));
}

std::size_t flooded_fleet::index_of(const vm_id& vm) const
{
    return std::stoull(vm.get().substr(vm.get().find('-') + 1));
}

} // namespace limpet::control

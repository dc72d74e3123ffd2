/// Simulation of many routers that share servers and learn of each other's load
/// only with a delay. Guards against a popular prompt overloading the servers
/// to which all routers send it.

#include <limpet/base/random.hpp>
#include <limpet/gateway/server_pool.hpp>

#include <boost/test/unit_test.hpp>

#include <functional>
#include <queue>
#include <set>
#include <string>
#include <vector>

using namespace limpet;
using namespace limpet::gateway;

namespace
{

const time_point start(seconds(100));
/// Time from the start of a request to the first event of its response, with
/// which the server reports its load.
constexpr duration first_event = milliseconds(100);

/// Size and load of a simulated fleet.
struct simulation_parameters
{
    std::uint32_t routers = 58;
    std::uint32_t servers = 90;
    double requests_per_s = 500;
    double mean_duration_s = 1.0;
    std::uint64_t affinity_parts = 290;
    /// Fraction of the requests that share one affinity part.
    double hot_fraction = 0.2;
    duration simulated_time = seconds(20);
};

struct event
{
    time_point at;
    std::function<void()> action;

    friend bool operator<(const event& a, const event& b)
    {
        return a.at > b.at;
    }
};

/// Simulates requests at random routers in virtual time.
class fleet_simulation
{
public:
    explicit fleet_simulation(const simulation_parameters& parameters)
        : m_parameters(parameters),
          m_running(parameters.servers, 0)
    {
        for (std::uint32_t i = 0; i < parameters.routers; ++i)
        {
            m_pools.emplace_back(data_centre_id(std::to_string(i % 4)));
            m_pools.back().set_routers(parameters.routers);
            for (std::uint32_t k = 0; k < parameters.servers; ++k)
            {
                m_pools.back().apply(make_server(k));
            }
        }
    }

    /// Returns the fraction of requests sent to a server with more than twice
    /// the mean load plus three, the operators' definition of overload.
    double overloaded_fraction()
    {
        schedule(start,
                 [this]
                 {
                     arrive();
                 });
        while (!m_events.empty() && m_now < start + m_parameters.simulated_time)
        {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.action();
        }
        return static_cast<double>(m_overloaded) /
               static_cast<double>(m_arrived);
    }

    /// Returns the fraction of requests sent to a server that had not run a
    /// request with the same affinity part before. Parts never expire here, as
    /// the simulated time is shorter than the 30 s for which servers keep them.
    double uncached_fraction() const
    {
        return static_cast<double>(m_uncached) / static_cast<double>(m_arrived);
    }

private:
    static directory::registration make_server(std::uint32_t number)
    {
        directory::registration row;
        row.id = engine_id(std::to_string(number));
        row.service = "s";
        row.address = "10.0.0.1:" + std::to_string(1000 + number);
        row.data_centre = data_centre_id(std::to_string(number % 4));
        row.slots = 64;
        return row;
    }

    void schedule(time_point at, std::function<void()> action)
    {
        m_events.push({at, std::move(action)});
    }

    void arrive()
    {
        schedule(m_now + from_seconds(m_random.exponential(
                             1 / m_parameters.requests_per_s)),
                 [this]
                 {
                     arrive();
                 });
        server_pool& pool = m_pools[m_random.below(m_parameters.routers)];
        server_query query;
        query.service = "s";
        const std::uint64_t affinity_part =
            m_random.chance(m_parameters.hot_fraction)
                ? 1
                : m_random.below(m_parameters.affinity_parts);
        query.parts = {{affinity_part + 1, 10000}, {m_random.next(), 300}};
        const auto choice = pool.choose(query, m_now);
        if (const auto* chosen = std::get_if<chosen_server>(&choice))
        {
            run(pool, query, chosen->id, affinity_part);
        }
    }

    void run(server_pool& pool,
             const server_query& query,
             const engine_id& id,
             std::uint64_t affinity_part)
    {
        const std::size_t server = std::stoul(id.get());
        record_arrival(server, affinity_part);
        pool.on_begin(id, query, m_now);
        schedule(m_now + first_event,
                 [this, &pool, id, server]
                 {
                     pool.on_load(id, {m_running[server], 0, 64}, m_now);
                 });
        schedule(m_now + first_event +
                     from_seconds(
                         m_random.exponential(m_parameters.mean_duration_s)),
                 [this, &pool, id, server]
                 {
                     --m_running[server];
                     pool.on_end(id, attempt_outcome::answered, m_now);
                 });
    }

    void record_arrival(std::size_t server, std::uint64_t affinity_part)
    {
        std::uint64_t total = 0;
        for (const std::uint32_t each : m_running)
        {
            total += each;
        }
        const double mean = static_cast<double>(total) /
                            static_cast<double>(m_parameters.servers);
        ++m_arrived;
        m_overloaded += m_running[server] > 2 * mean + 3 ? 1 : 0;
        m_uncached += m_cached.insert({server, affinity_part}).second ? 1 : 0;
        ++m_running[server];
    }

    simulation_parameters m_parameters;
    random_source m_random{1};
    time_point m_now = start;
    std::vector<server_pool> m_pools;
    std::vector<std::uint32_t> m_running;
    std::priority_queue<event> m_events;
    std::set<std::pair<std::size_t, std::uint64_t>> m_cached;
    std::uint64_t m_arrived = 0;
    std::uint64_t m_overloaded = 0;
    std::uint64_t m_uncached = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(shared_servers)

BOOST_AUTO_TEST_CASE(hot_prompt_overloads_no_server_of_a_large_fleet)
{
    fleet_simulation fleet{simulation_parameters{}};
    const double overloaded = fleet.overloaded_fraction();
    BOOST_TEST_MESSAGE("overloaded " << overloaded << ", unread "
                                     << fleet.uncached_fraction());
    BOOST_TEST(overloaded < 0.03);
}

BOOST_AUTO_TEST_CASE(hot_prompt_overloads_no_server_of_a_small_fleet)
{
    simulation_parameters parameters;
    parameters.routers = 9;
    parameters.servers = 18;
    parameters.requests_per_s = 170;
    fleet_simulation fleet{parameters};
    const double overloaded = fleet.overloaded_fraction();
    BOOST_TEST_MESSAGE("overloaded " << overloaded << ", unread "
                                     << fleet.uncached_fraction());
    BOOST_TEST(overloaded < 0.03);
}

BOOST_AUTO_TEST_SUITE_END()

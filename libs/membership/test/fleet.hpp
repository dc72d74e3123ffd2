/// \file
/// Several nodes on a simulated network with a simulated clock.

#pragma once

#include <limpet/base/random.hpp>
#include <limpet/membership/node.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>

namespace limpet::membership
{

/// VM, data centre and region of a simulated router.
struct router_location
{
    std::string vm;
    std::string data_centre;
    std::string region = "r1";
};

/// Returns locations of routers named after their data centre: a1, a2, b1 ...
/// Each character of data_centres names one data centre.
std::vector<router_location> make_locations(const std::string& data_centres,
                                            std::size_t routers_each);

/// Runs nodes and delivers their messages with loss, delay and partitions.
class fleet
{
public:
    explicit fleet(std::vector<router_location> all, std::uint64_t seed = 1);

    /// Starts or restarts a router, each time with a higher incarnation.
    void start(const std::string& vm);

    /// Stops a router without letting it leave.
    void kill(const std::string& vm);

    void leave(const std::string& vm);

    /// Advances the clock by the given time in steps of 50 ms; calls check
    /// after each step.
    void run(duration time, const std::function<void()>& check = {});

    node& at(const std::string& vm)
    {
        return *m_nodes.at(vm);
    }

    bool is_up(const std::string& vm) const
    {
        return m_nodes.contains(vm);
    }

    std::vector<std::string> up() const;

    const std::vector<router_location>& locations() const
    {
        return m_locations;
    }

    /// Announces the engine at the router. Returns whether the router accepted
    /// it.
    bool announce(const std::string& vm, const announcement& server);

    /// Renews the engine every 10 s, each time through a random one of the
    /// given routers.
    void keep_alive(const announcement& server,
                    std::vector<std::string> through);

    void stop_renewing(const std::string& engine)
    {
        m_renewing.erase(engine);
    }

    /// Returns the router's ownership mode of the engine.
    ownership_mode mode(const std::string& vm, const std::string& engine);

    /// Returns the engine's owner according to the router's snapshot; empty if
    /// there is none.
    std::string owner(const std::string& vm, const std::string& engine);

    time_point now{seconds(1000)};
    double loss = 0;
    duration max_delay = milliseconds(5);
    /// Returns whether messages from the first VM to the second are dropped.
    std::function<bool(const std::string&, const std::string&)> is_cut;
    /// Totals of messages and bytes sent, including dropped ones.
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::vector<std::string> superseded_vms;
    random_source random;

private:
    struct in_flight_message
    {
        std::string from;
        std::string to;
        std::string bytes;
    };

    struct renewing
    {
        announcement server;
        std::vector<std::string> through;
        time_point next;
    };

    void execute(const std::string& vm, actions todo);
    void deliver();
    void renew();

    std::vector<router_location> m_locations;
    std::map<std::string, std::unique_ptr<node>> m_nodes;
    std::map<std::string, std::uint64_t> m_incarnations;
    std::multimap<time_point, in_flight_message> m_in_flight;
    std::map<std::string, renewing> m_renewing;
};

/// Returns an engine of model m.
announcement make_engine(const std::string& id,
                         const std::string& data_centre,
                         std::uint64_t started = 1);

} // namespace limpet::membership

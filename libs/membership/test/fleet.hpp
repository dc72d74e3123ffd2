/// \file
/// Several nodes on a small message bus with a clock set by hand.

#pragma once

#include <limpet/base/random.hpp>
#include <limpet/membership/node.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>

namespace limpet::membership
{

/// Where a router of the test runs.
struct router_location
{
    std::string vm;
    std::string data_centre;
    std::string region = "r1";
};

/// Returns routers named after their data centre, a1, a2, b1 ...
std::vector<router_location> make_locations(const std::string& data_centres,
                                            std::size_t routers_each);

/// Runs nodes and delivers their messages with loss, delay and cuts.
class fleet
{
public:
    explicit fleet(std::vector<router_location> all, std::uint64_t seed = 1);

    /// Starts or restarts a router, as a later incarnation.
    void start(const std::string& vm);

    /// Ends a router's process without notice.
    void kill(const std::string& vm);

    void leave(const std::string& vm);

    /// Runs for the time in steps of 50 ms; calls check after each step.
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

    /// Announces the engine at the router; true if it was accepted.
    bool announce(const std::string& vm, const announcement& server);

    /// Renews the engine every 10 s, through each time another router of
    /// those that it reaches.
    void keep_alive(const announcement& server,
                    std::vector<std::string> through);

    void stop_renewing(const std::string& engine)
    {
        m_renewing.erase(engine);
    }

    /// Routers with engines that renew through any router.
    ownership_mode mode(const std::string& vm, const std::string& engine);

    /// Returns the owner by the router's snapshot, empty if none.
    std::string owner(const std::string& vm, const std::string& engine);

    time_point now{seconds(1000)};
    double loss = 0;
    duration max_delay = milliseconds(5);
    /// Whether a message between two VMs is silently lost.
    std::function<bool(const std::string&, const std::string&)> is_cut;
    /// Messages and bytes sent so far.
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

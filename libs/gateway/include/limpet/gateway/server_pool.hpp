/// \file
/// Chooses the backend server of a request.

#pragma once

#include <limpet/directory/registration.hpp>
#include <limpet/directory/route_table.hpp>
#include <limpet/gateway/protocol.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace limpet::gateway
{

/// What a choice depends on.
struct server_query
{
    std::string service;
    /// Parts of the prompt in order; empty without a prompt.
    std::vector<prompt_part> parts;
    std::uint32_t prompt_tokens = 0;
    /// Servers that this request must not get again.
    std::vector<engine_id> excluded;
};

/// A server that can begin the request.
struct chosen_server
{
    engine_id id;
    boost::asio::ip::tcp::endpoint address;
    /// Another server that probably holds the shared parts of the prompt
    /// where this one may not. Copying costs a fraction of reading.
    std::optional<boost::asio::ip::tcp::endpoint> copy_from;
};

/// Why no server was chosen.
enum class no_choice
{
    no_server, ///< None is registered and usable.
    no_room,   ///< All that are usable are full.
};

/// How a request at a server ended.
enum class request_end
{
    answered,    ///< The server gave a whole answer.
    refused,     ///< The server stated that the request has not run.
    failed,      ///< The server gave a whole answer that tells of a failure.
    unreachable, ///< No connection could be made.
    broken,      ///< The server broke off or its answer was unusable.
    abandoned,   ///< The caller left or the time was up.
};

std::string_view to_string(request_end end) noexcept;

/// The servers that registered, with the load that this router gave them and
/// that they state. Loads of other routers are known late: a server's
/// statement, less this router's own requests at that moment, is taken as
/// theirs until the next one. Takes the time as an argument; not thread-safe.
class server_pool
{
public:
    /// `home` is the data centre of this router.
    explicit server_pool(data_centre_id home);

    /// Takes a registration as a replica told it.
    void apply(const directory::registration& news);

    void set_plan(std::shared_ptr<const directory::route_table> plan);
    void set_taken_out(std::set<std::string> data_centres);

    /// Sets the number of routers that share the servers, this one included.
    void set_routers(std::uint32_t count);

    std::variant<chosen_server, no_choice> choose(const server_query& query,
                                                  time_point now);

    /// Notes a request that is being sent to the server.
    void
    on_begin(const engine_id& id, const server_query& query, time_point now);

    /// Notes its end.
    void on_end(const engine_id& id, request_end how, time_point now);

    /// Notes the load that the server stated.
    void on_load(const engine_id& id, const server_load& load, time_point now);

    /// Returns how many requests this router has at the servers of a service.
    std::uint32_t own_load(const std::string& service) const;

    std::size_t size() const noexcept
    {
        return m_rows.size();
    }

private:
    struct row
    {
        directory::registration known;
        boost::asio::ip::tcp::endpoint address;
        bool is_reachable = false;
        std::uint32_t own = 0;
        /// Requests of other routers by the last statement.
        double foreign = 0;
        time_point stated_at{};
        /// Failures in a row, and the time before which no request is sent.
        std::uint32_t failures = 0;
        time_point rests_until{};
        /// Part of the latest requests that failed, as of a moment.
        double failing = 0;
        time_point failing_at{};
        /// Requests that may still begin while the server is cold.
        double cold_tokens = 0;
        time_point cold_filled_at{};
        /// Prompt parts that this router sent lately, and when.
        std::unordered_map<std::uint64_t, time_point> parts;
    };

    /// What this router found out about the way to a data centre.
    struct way
    {
        /// Servers in a row that could not be reached.
        std::set<engine_id> unreachable;
        time_point rests_until{};
    };

    /// Returns when this router last sent the part there, unless long ago.
    static std::optional<time_point>
    sent_at(const row& each, std::uint64_t part, time_point now);
    static void forget_old_parts(row& each, time_point now);
    /// Returns the part of the server's latest requests that failed.
    static double failing_part(const row& each, time_point now);
    void note_reach(const row& each, bool is_reached, time_point now);
    bool is_cut_off(const row& each, time_point now) const;
    std::vector<row*> usable(const server_query& query, time_point now);
    bool
    is_usable(const row& each, const server_query& query, time_point now) const;
    bool has_cold_room(row& each, time_point now);
    double load_of(const row& each, time_point now) const;
    double capacity_of(const row& each) const;
    std::optional<boost::asio::ip::tcp::endpoint>
    find_holder(const row& chosen,
                const server_query& query,
                const std::vector<const row*>& order,
                time_point now) const;
    std::vector<const row*> ranked(const server_query& query) const;
    double cost_of(const row& each,
                   const server_query& query,
                   std::size_t rank,
                   time_point now) const;

    data_centre_id m_home;
    std::map<engine_id, row> m_rows;
    std::shared_ptr<const directory::route_table> m_plan;
    std::set<std::string> m_taken_out;
    std::uint32_t m_routers = 1;
    std::map<data_centre_id, way> m_ways;
};

} // namespace limpet::gateway

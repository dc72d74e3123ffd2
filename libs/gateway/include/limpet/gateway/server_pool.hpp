/// \file
/// Selects a backend server for each request.

#pragma once

#include <limpet/admission/refusal_backoff.hpp>
#include <limpet/admission/token_bucket.hpp>
#include <limpet/directory/load_peer.hpp>
#include <limpet/directory/registration.hpp>
#include <limpet/directory/route_table.hpp>
#include <limpet/gateway/protocol.hpp>
#include <limpet/gateway/rollout_tracker.hpp>
#include <limpet/origins/version_records.hpp>
#include <limpet/quarantine/message.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <deque>
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

/// Properties of a request that determine the selection.
struct server_query
{
    std::string service;
    /// Parts of the prompt in order; empty without a prompt.
    std::vector<prompt_part> parts;
    std::uint32_t prompt_tokens = 0;
    /// Servers that this request already tried and must not be sent to again.
    std::vector<engine_id> excluded;
    /// The server whose limit allows this request, as reserved before.
    std::optional<engine_id> reserved;
    /// The only version that may serve the request: the one that began the
    /// stream. Any version may serve without it.
    std::optional<origins::version_key> version;
    /// Whether the request begins a stream that other routers may continue.
    bool is_resumable = false;
    /// Uniform over all values; selects requests that move to another version.
    std::uint64_t draw = 0;
};

/// Where a router's knowledge of the other routers' requests comes from.
enum class load_source
{
    none,     ///< Nothing is known; they are assumed to have none.
    report,   ///< The server reported its load to this router.
    exchange, ///< The other routers tell it by way of a replica.
};

std::string_view to_string(load_source source) noexcept;

/// What this router assumed of the servers' load when it selected one.
struct load_assessment
{
    /// Requests assumed at the selected server, and of these this router's.
    double assumed_load = 0;
    std::uint32_t own_requests = 0;
    load_source source = load_source::none;
    /// Age of the server's report, or of the last message of the exchange.
    duration age{};
    /// Mean of the loads assumed at the candidates, and the load above which
    /// none of them is selected.
    double mean_load = 0;
    double load_bound = 0;
    /// Position of the selected server in the rendezvous order; nothing for a
    /// request without a prompt.
    std::optional<std::size_t> rank;
};

/// A server with capacity for the request.
struct chosen_server
{
    engine_id id;
    boost::asio::ip::tcp::endpoint address;
    /// Version of its software, as text and as key.
    std::string version;
    origins::version_key version_key;
    /// Names this start of the server.
    quarantine::server_key start_key;
    /// Whether the server's load reports tell how long work takes there: its
    /// VM is shared, so that requests may have to wait at it.
    bool tells_slowdown = false;
    /// Another server whose prefix cache probably holds the prompt's common
    /// parts, where this server's cache may not. A copy costs a fraction of a
    /// prefill.
    std::optional<boost::asio::ip::tcp::endpoint> copy_from;
    load_assessment assessment;
};

/// Why no server was selected.
enum class selection_failure
{
    no_server, ///< No registered server is usable.
    no_room,   ///< All usable servers are at their limits.
    limited,   ///< All usable servers name limits, and those with room have
               ///< reached them; or all are brittle, and this router has no
               ///< requests there whose end would allow another.
    closed,    ///< All usable servers have turned requests away and are sent
               ///< none for a time.
};

/// A request that a server's limit allows this router at a later time.
struct limit_reservation
{
    engine_id server;
    time_point at;
};

/// What the limits of a service's servers allow.
struct limit_forecast
{
    /// The next request that this router may send; nothing if only others may.
    std::optional<limit_reservation> next;
    /// Requests a second that a router may send on average.
    double mean_rate = 0;
};

/// How an attempt at a server ended.
enum class attempt_outcome
{
    answered,    ///< The server gave a complete response.
    refused,     ///< The server guaranteed that the request has not run.
    failed,      ///< The server gave a complete error response.
    unreachable, ///< No connection, or the server's VM stopped acknowledging.
    broken,      ///< The response was cut off or unusable.
    abandoned,   ///< The caller disconnected or the deadline passed.
};

std::string_view to_string(attempt_outcome end) noexcept;

/// Registered servers with the load from this router and from the others, which
/// exchange the numbers of their requests in flight by way of the replicas.
/// Without the exchange, the load that a server reported, less this router's
/// own requests at that moment, counts as the other routers' load until the
/// next report. Takes the time as an argument; not thread-safe.
class server_pool
{
public:
    /// `home` is this router's data centre.
    explicit server_pool(data_centre_id home);

    /// Adds or updates a server with a registration from a control replica.
    void apply(const directory::registration& registration, time_point now);

    /// Sets the versions that the control group has recorded.
    void set_recorded_versions(const origins::version_sets& recorded,
                               time_point now);

    /// Has servers selected by the services' rollouts from now on.
    void enable_rollouts(double exposure_share, rollout::reporter_key reporter);

    /// Sets the rollouts that the control group has recorded.
    void set_rollouts(const rollout::record_map& rollouts, time_point now);

    /// Records the outcome of an attempt as evidence about the server's
    /// version.
    void on_outcome(const engine_id& id,
                    const attempt_report& report,
                    time_point sent_at);

    /// Returns the state of the rollouts, or null if they are not enabled.
    const rollout_tracker* rollouts() const noexcept
    {
        return m_rollouts ? &*m_rollouts : nullptr;
    }

    /// Returns the version of a service's servers if all servers that were
    /// registered at any time since then have the same and none other was
    /// recorded since, as far as this router was told.
    std::optional<origins::version_key>
    only_version(origins::service_key service, time_point since) const;

    /// Returns the services of all servers.
    std::set<origins::service_key> services() const;

    void set_plan(std::shared_ptr<const directory::route_table> plan);
    void set_taken_out(std::set<std::string> data_centres);

    /// Sets the number of routers that share the servers, including this one.
    void set_routers(std::uint32_t count);

    /// Sets the names of the routers that share the servers' limits. Until
    /// then, all routers have equal shares.
    void set_router_names(const vm_id& self, std::set<vm_id> routers);

    std::variant<chosen_server, selection_failure>
    choose(const server_query& query, time_point now);

    /// Records that an attempt at the server starts.
    void
    on_begin(const engine_id& id, const server_query& query, time_point now);

    /// Records the end of an attempt.
    void on_end(const engine_id& id, attempt_outcome outcome, time_point now);

    /// Records that the server refused a request, and the time for which it
    /// asks this router to be sent nothing.
    void on_refused(const engine_id& id,
                    std::optional<duration> requested,
                    time_point now);

    /// Records that the server began to answer a request. Returns whether more
    /// requests may be sent because of it.
    bool on_accepted(const engine_id& id, time_point now);

    /// Records that an answer of the server says that it leaves. No request is
    /// sent to this start of the server any more, whatever its registration
    /// says, and the other routers are told.
    void on_leaving(const engine_id& id, time_point now);

    /// Records that an answer carries a field that cannot be read, which then
    /// changes nothing. Logged once for each start of a server and field.
    void on_unreadable(const engine_id& id,
                       std::string_view field,
                       const std::string& text);

    /// Returns after which time one of the servers that are closed for the
    /// query may be sent a request again; nothing if none is.
    std::optional<duration> time_to_opening(const server_query& query,
                                            time_point now) const;

    /// Returns the requests a second that this router may send to the servers
    /// that are closed for the query once they are open: a slot takes about one
    /// a second, and the routers share the slots.
    double rate_after_opening(const server_query& query, time_point now) const;

    /// Records the load that the server reported.
    void on_load(const engine_id& id, const server_load& load, time_point now);

    /// Records what an answer says of the requests a second that the server
    /// takes from all routers together: nothing if it names no limit. The
    /// request was sent at `sent_at`.
    void on_limit(const engine_id& id,
                  std::optional<double> limit,
                  time_point sent_at,
                  time_point now);

    /// Records what an answer says of the requests that the server may refuse
    /// in a second for want of room without falling over: nothing if it is not
    /// brittle.
    void on_brittle(const engine_id& id,
                    std::optional<double> refusals_per_s,
                    time_point now);

    /// Returns whether servers of the server's service say that they are
    /// brittle.
    bool is_brittle(const engine_id& id, time_point now) const;

    /// Returns what the limits allow, for a query for which all usable servers
    /// have limits.
    limit_forecast forecast_limits(const server_query& query, time_point now);

    /// Reserves the request for the caller, who sends it as reserved.
    void reserve(const limit_reservation& reserved);

    /// Returns the number of servers that name limits.
    std::size_t limited_servers() const;

    /// Returns the number of registered servers that leave, by their answers.
    std::size_t leaving_servers() const;

    /// Returns the number of servers that are sent nothing, as they turn
    /// requests away.
    std::size_t closed_servers(time_point now) const;

    /// Returns the next message to the peer of the exchange: how many requests
    /// this router has in flight. Returns nothing while an answer is due.
    std::optional<directory::load_update> take_load_update(time_point now);

    /// Applies a message of the peer: how many the other routers have.
    void on_load_update(const directory::load_update& update, time_point now);

    /// Handles the loss of the link to the peer.
    void on_load_peer_lost();

    /// Forgets what was exchanged, as another peer takes its place.
    void on_load_peer_replaced();

    /// Returns whether the server is of another data centre while this router's
    /// has servers of the service, too.
    bool is_farther_than_others(const engine_id& id) const;

    /// Returns the number of this router's requests in flight at the servers of
    /// a service.
    std::uint32_t requests_in_flight(const std::string& service) const;

    /// Returns how many prompt parts are remembered as sent to servers, which
    /// is bounded for all servers together.
    std::size_t tracked_parts() const;

    std::size_t size() const noexcept
    {
        return m_servers.size();
    }

private:
    /// Time for which a server that has just become cold has collected
    /// requests that may start.
    static constexpr duration initial_cold_time = seconds(1);

    /// What this router may send to a brittle server besides replacements, and
    /// what it was computed from.
    struct brittle_allowance
    {
        admission::token_bucket requests;
        /// The share in force: of the refusals that the server stands, or of
        /// the rate at which it is sent requests while there is much room.
        double share = 0;
        double full_share = 0;
        double open_share = 0;
        std::optional<double> refusals;
        double open_rate = 0;
        std::uint32_t turn = 0;
        std::uint64_t shared_among = 0;
    };

    struct server_record
    {
        directory::registration registration;
        boost::asio::ip::tcp::endpoint address;
        bool has_valid_address = false;
        std::uint64_t load_key = 0;
        origins::service_key service;
        origins::version_key version;
        /// When this router first had this registration's start and version.
        time_point known_since{};
        quarantine::server_key start_key;
        /// When a server that has left was last registered.
        time_point left_at{};
        /// This router's requests in flight at the server.
        std::uint32_t own_requests = 0;
        /// Requests of other routers according to the last load report.
        double other_routers_requests = 0;
        time_point load_reported_at{};
        std::uint32_t waiting_requests = 0;
        /// The last slowdown that the server reported, if it ever did.
        std::optional<double> slowdown;
        /// Consecutive failures, and the end of the backoff after them.
        std::uint32_t failures = 0;
        time_point backoff_until{};
        /// Moving average of the fraction of requests that failed, 0 to 1, and
        /// the time of its last update.
        double failure_rate = 0;
        time_point failure_rate_at{};
        /// Requests that may start while the server is cold.
        admission::token_bucket cold_requests{initial_cold_time};
        /// Requests that the server's limit allows this router, its share of
        /// the limit, and what the share was computed from.
        admission::token_bucket limited_requests;
        double limit_share = 0;
        std::optional<directory::server_limit> shared_limit;
        std::uint64_t shared_among = 0;
        brittle_allowance brittle;
        /// When this router's requests that it may replace ended at the server
        /// while it is brittle.
        std::deque<time_point> replacements;
        /// Fields of answers that were logged as unreadable.
        std::set<std::string, std::less<>> unreadable_fields;
        admission::refusal_backoff refusals;
        /// Whether an answer, to this router or another, said that the server
        /// leaves.
        bool is_leaving = false;
        /// Prompt parts that this router recently sent to the server, with the
        /// time of the last send.
        std::unordered_map<std::uint64_t, time_point> parts;
    };

    /// A version that a server had before it started again with another.
    struct former_version
    {
        origins::service_key service;
        origins::version_key version;
        time_point left_at;
    };

    /// Reachability of another data centre from this router.
    struct reachability
    {
        /// Servers found unreachable since any server there was last reached.
        std::set<engine_id> unreachable;
        time_point backoff_until{};
    };

    using server_groups = std::vector<std::vector<server_record*>>;

    std::variant<chosen_server, selection_failure>
    choose_among(const std::vector<server_record*>& candidates,
                 const server_query& query,
                 time_point now);
    server_groups rollout_groups(const std::vector<server_record*>& candidates,
                                 const server_query& query,
                                 time_point now);
    std::vector<server_record*>
    with_recorded_versions(std::vector<server_record*> candidates,
                           time_point now) const;
    static std::vector<server_record*>
    used_target_servers(std::vector<server_record*> target,
                        const rollout::exposure_budget& budget,
                        time_point now);
    void record_former_version(const server_record& former, time_point now);
    static bool was_registered_since(const server_record& each,
                                     time_point since);
    /// Returns when this router last sent the part to the server, or nothing if
    /// it never did or the entry has expired.
    static std::optional<time_point>
    sent_at(const server_record& each, std::uint64_t part, time_point now);
    static void evict_expired_parts(server_record& each, time_point now);
    /// Returns the fraction of recent requests that failed, decayed to `now`.
    static double decayed_failure_rate(const server_record& each,
                                       time_point now);
    void record_reachability(const server_record& each,
                             bool is_reached,
                             time_point now);
    bool is_data_centre_unreachable(const server_record& each,
                                    time_point now) const;
    std::vector<server_record*> usable(const server_query& query,
                                       time_point now);
    bool is_usable(const server_record& each,
                   const server_query& query,
                   time_point now) const;
    bool is_eligible(const server_record& each,
                     const server_query& query) const;
    void allow_trials(origins::service_key service);
    void publish(directory::server_limit notice);
    void apply_notice(const directory::server_limit& notice);
    double trial_position(std::uint64_t server) const;
    /// Returns whether the request may begin its stream at the server: other
    /// routers would not continue it at a server of another version.
    bool may_begin_stream(const server_record& each,
                          const server_query& query,
                          time_point now) const;
    bool has_cold_capacity(server_record& each, time_point now);
    const directory::server_limit* find_brittle(origins::service_key service,
                                                time_point now) const;
    bool was_refused_within(origins::service_key service,
                            duration time,
                            time_point now) const;
    void record_full(const server_record& each, time_point now);
    static bool has_waiting_requests(const server_record& each, time_point now);
    void allow_replacement(server_record& each, time_point now);
    static void take_brittle_capacity(server_record& each);
    double share_of_allowed(const server_record& each,
                            double allowed,
                            std::uint32_t turn) const;
    void update_brittle_shares(server_record& each,
                               const directory::server_limit& known,
                               time_point now);
    bool has_brittle_capacity(server_record& each, time_point now);
    bool is_limited(const server_record& each) const;
    bool has_limited_capacity(server_record& each,
                              const server_query& query,
                              time_point now);
    double share_of_limit(const server_record& each,
                          const directory::server_limit& limit) const;
    void update_limit_share(server_record& each, time_point now);
    directory::server_limit current_turn(const directory::server_limit& limit,
                                         time_point now) const;
    double mean_load_of(const std::vector<server_record*>& candidates,
                        time_point now) const;
    bool are_all_limited(const std::vector<server_record*>& candidates) const;
    double load_of(const server_record& each, time_point now) const;
    double slowdown_of(const server_record& each, time_point now) const;
    load_source load_source_of(const server_record& each, time_point now) const;
    double capacity_of(const server_record& each) const;
    std::optional<boost::asio::ip::tcp::endpoint>
    find_copy_source(const server_record& chosen,
                     const server_query& query,
                     const std::vector<const server_record*>& order,
                     time_point now) const;
    load_assessment assess(const server_record& chosen,
                           double mean_load,
                           double load_bound,
                           std::optional<std::size_t> rank,
                           time_point now) const;
    std::vector<const server_record*>
    rendezvous_order(const server_query& query) const;
    double cost_of(const server_record& each,
                   const server_query& query,
                   std::size_t rank,
                   time_point now) const;

    data_centre_id m_home;
    std::map<engine_id, server_record> m_servers;
    std::vector<former_version> m_former_versions;
    origins::version_records m_recorded_versions;
    directory::load_peer m_load_peer;
    time_point m_load_peer_heard_at{};
    std::shared_ptr<const directory::route_table> m_plan;
    std::set<std::string> m_taken_out;
    std::uint32_t m_routers = 1;
    vm_id m_self;
    std::set<vm_id> m_router_names;
    /// Number of changes of the routers' names and number.
    std::uint64_t m_router_changes = 0;
    directory::limit_table m_limits;
    std::map<data_centre_id, reachability> m_reachability;
    /// Nothing unless rollouts are enabled.
    std::optional<rollout_tracker> m_rollouts;
};

} // namespace limpet::gateway

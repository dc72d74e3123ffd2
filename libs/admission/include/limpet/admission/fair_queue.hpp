/// \file
/// Fair queue in front of one engine.

#pragma once

#include <limpet/admission/drr_ring.hpp>
#include <limpet/admission/share_table.hpp>
#include <limpet/base/ids.hpp>
#include <limpet/base/units.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace limpet::admission
{

/// A request that waits for an engine.
struct queue_item
{
    request_id id;
    partner_id partner;
    team_id team;
    /// Priority within the team; 0 is served first.
    std::uint8_t priority = 0;
    /// Estimated tokens to prefill and to generate.
    token_count cost{1};
    /// Time after which the request must not start.
    time_point deadline;
};

/// Capacities of a fair queue.
struct queue_settings
{
    /// Most waiting requests of one partner.
    std::size_t partner_capacity = 256;
    /// Most waiting requests of one team.
    std::size_t team_capacity = 64;
};

/// Hierarchical fair queue: partners, and teams within a partner, are scheduled
/// by deficit round robin over the estimated cost. A team's requests are served
/// by priority, then in the order of arrival. Not thread-safe.
class fair_queue
{
public:
    /// Returns whether the partner may start a request now.
    using partner_filter = std::function<bool(const partner_id&)>;

    explicit fair_queue(queue_settings settings);

    /// Replaces the shares, for requests that are pushed from now on.
    void set_shares(std::shared_ptr<const share_table> shares);

    /// Returns whether the request's partner and team are below their
    /// capacities.
    bool has_room(const queue_item& item) const;

    /// Adds the request. Returns false if a capacity is reached or a request
    /// with this id is already queued.
    bool push(const queue_item& item);

    /// Removes and returns the request to start next among those of partners
    /// that pass the filter, or nothing.
    std::optional<queue_item> pop(const partner_filter& may_start);

    /// Removes the request. Returns whether it was queued.
    bool erase(const request_id& id);

    /// Removes and returns the requests whose deadline has passed.
    std::vector<queue_item> expire(time_point now);

    /// Returns the earliest deadline, or nothing if the queue is empty.
    std::optional<time_point> next_deadline() const;

    /// Returns the number of waiting requests.
    std::size_t size() const noexcept;

    /// Returns the number of the partner's waiting requests.
    std::size_t size_of(const partner_id& partner) const;

private:
    /// Priority, then order of arrival.
    using queue_position = std::pair<std::uint8_t, std::uint64_t>;

    struct team_queue
    {
        std::map<queue_position, request_id> requests;
    };

    struct partner_queue
    {
        std::size_t size = 0;
        std::unordered_map<team_id, team_queue> teams;
        drr_ring<team_id> ring;
    };

    struct waiting_request
    {
        queue_item item;
        queue_position position;
    };

    std::optional<double> head_cost(const partner_queue& partner,
                                    const team_id& team) const;
    std::optional<team_id> select_team(partner_queue& partner);
    const queue_item& head(const partner_queue& partner,
                           const team_id& team) const;
    void remove(const request_id& id);

    queue_settings m_settings;
    std::shared_ptr<const share_table> m_shares;
    std::unordered_map<request_id, waiting_request> m_waiting;
    std::unordered_map<partner_id, partner_queue> m_partners;
    drr_ring<partner_id> m_ring;
    std::set<std::pair<time_point, request_id>> m_deadlines;
    std::uint64_t m_next_arrival = 0;
};

} // namespace limpet::admission

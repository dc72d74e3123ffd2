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
    /// 0 is served first within its team.
    std::uint8_t priority = 0;
    /// Estimated tokens to prefill and to generate.
    token_count cost{1};
    /// Time after which the request must not start any more.
    time_point deadline;
};

/// Bounds of a fair queue.
struct queue_settings
{
    /// Most waiting requests of one partner.
    std::size_t partner_capacity = 256;
    /// Most waiting requests of one team.
    std::size_t team_capacity = 64;
};

/// Waiting requests, served by partner, then team, then priority. Partners and
/// teams get service by deficit round robin over the estimated cost; a team's
/// requests go by priority, then in the order of their arrival. Not
/// thread-safe.
class fair_queue
{
public:
    /// Tells whether the partner may start a request now.
    using partner_filter = std::function<bool(const partner_id&)>;

    explicit fair_queue(queue_settings settings);

    /// Uses the shares from now on.
    void set_shares(std::shared_ptr<const share_table> shares);

    /// Returns whether the request's partner and team have room for it.
    bool has_room(const queue_item& item) const;

    /// Adds the request. Returns false if there is no room or a request of
    /// this id waits already.
    bool push(const queue_item& item);

    /// Removes and returns the request to start next among the partners that
    /// the filter lets pass, or nothing.
    std::optional<queue_item> pop(const partner_filter& may_start);

    /// Removes the request. Returns whether it waited.
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
    using place = std::pair<std::uint8_t, std::uint64_t>;

    struct team_queue
    {
        std::map<place, request_id> requests;
    };

    struct partner_queue
    {
        std::size_t size = 0;
        std::unordered_map<team_id, team_queue> teams;
        drr_ring<team_id> ring;
    };

    struct waiting
    {
        queue_item item;
        place at;
    };

    std::optional<double> head_cost(const partner_queue& partner,
                                    const team_id& team) const;
    std::optional<team_id> select_team(partner_queue& partner);
    const queue_item& head(const partner_queue& partner,
                           const team_id& team) const;
    void remove(const request_id& id);

    queue_settings m_settings;
    std::shared_ptr<const share_table> m_shares;
    std::unordered_map<request_id, waiting> m_waiting;
    std::unordered_map<partner_id, partner_queue> m_partners;
    drr_ring<partner_id> m_ring;
    std::set<std::pair<time_point, request_id>> m_deadlines;
    std::uint64_t m_arrivals = 0;
};

} // namespace limpet::admission

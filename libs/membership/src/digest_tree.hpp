/// \file
/// Aggregation of load over a region.

#pragma once

#include "outbox.hpp"
#include "ownership_tracker.hpp"

#include <limpet/membership/load_digest.hpp>

#include <set>

namespace limpet::membership
{

/// Aggregates load over one tree of routers per data centre. The root starts
/// each round with a collect message, which also distributes the region's sums
/// down the tree; reports return the sums of the subtrees to the root. The
/// roots of a region then exchange the sums of their data centres. The sums are
/// therefore at most one period and a few message delays old. One router of
/// each region, its gateway, exchanges sums with other regions.
class digest_tree
{
public:
    digest_tree(region_state& state,
                const ownership_tracker& owned,
                outbox& out,
                const std::vector<peer>& seeds,
                time_point now);

    void tick(time_point now);
    void on_collect(key from, const collect& round, time_point now);
    void on_report(key from, const report& answer, time_point now);
    void on_sums(key from, const data_centre_sums& input, time_point now);
    void on_region_sums(key from, const region_sums& input, time_point now);

    std::optional<load_digest> load_of(model_key model, time_point now) const;
    std::optional<load_digest>
    load_of(const region_id& region, model_key model, time_point now) const;

    std::size_t state_bytes() const;

private:
    /// Load sums and the time at which they were received.
    struct timed_sums
    {
        load_sums sums;
        time_point received;

        duration age(time_point now) const
        {
            return now - received + milliseconds(sums.age_ms);
        }
    };

    struct other_region
    {
        std::vector<peer> contacts;
        std::optional<timed_sums> sums;
    };

    /// This router's position in the tree, computed from its own records.
    struct tree_position
    {
        std::uint64_t version = 0;
        key parent = 0;
        std::vector<key> children;
        /// Tree roots of the region's data centres.
        std::vector<key> roots;
        key gateway = 0;
        bool is_root = false;
    };

    void update_position();
    void begin_round(time_point now);
    void send_collect(time_point now);
    void complete_round(time_point now);
    load_sums sum_subtree(time_point now) const;
    void sum_region(time_point now);
    void send(key to, const body& content);
    void exchange_regions(time_point now);
    void relay(key to, region_sums content);
    void update_contacts(other_region& region, const region_sums& input);
    std::vector<router_record> own_contacts() const;

    region_state& m_state;
    const ownership_tracker& m_owned;
    outbox& m_out;
    tree_position m_position;
    std::uint32_t m_round = 0;
    time_point m_next_round;
    time_point m_next_exchange;
    /// Time at which the current round completes without the missing reports;
    /// unset between rounds.
    std::optional<time_point> m_round_deadline;
    std::set<key> m_awaited;
    std::map<key, timed_sums> m_reports;
    std::map<key, timed_sums> m_data_centres;
    std::optional<timed_sums> m_region_sums;
    std::map<region_id, other_region> m_other_regions;
};

} // namespace limpet::membership

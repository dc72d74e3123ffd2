/// \file
/// The routers' own decision code over the fake engines.

#pragma once

#include "fleet.hpp"

#include <limpet/admission/dispatcher.hpp>
#include <limpet/base/random.hpp>
#include <limpet/placement/chat_directory.hpp>
#include <limpet/placement/chooser.hpp>
#include <limpet/placement/itinerary.hpp>
#include <limpet/placement/load_bound.hpp>
#include <limpet/placement/route.hpp>
#include <limpet/placement/spare_list.hpp>
#include <limpet/placement/window_minimum.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace limpet::bench
{

/// How the routers are set up and what befalls their messages.
struct routed_settings
{
    std::uint32_t routers = 9;
    std::uint32_t data_centres = 4;
    placement::route_settings route;
    admission::dispatcher_settings dispatch;
    placement::load_bound_settings bound;
    admission::share_table shares;
    /// Latest that a router learns of a change of the list of engines.
    duration list_delay = milliseconds(1500);
    /// Delay of the engines' reports about themselves.
    duration report_delay = seconds(1);
    /// Additional delay of the digests of a third of the routers.
    duration digest_delay{};
    /// Whether callers send the placement hint back.
    bool hints = false;
    /// Whether the owners keep the directory of chats.
    bool directory = true;
    std::size_t directory_capacity = 60'000;
    duration deadline = seconds(10);
};

/// Entry routers and engine owners with their digests.
class routed_placement
{
public:
    routed_placement(routed_settings settings,
                     fleet& engines,
                     std::uint64_t seed);

    void arrive(const turn& request);

    /// Takes note that engines came or went; each router learns of it later.
    void engines_changed();

    /// Takes the engines of a data centre out of service or back.
    void set_data_centre(std::uint32_t data_centre, bool in_service);

private:
    struct router
    {
        vm_id id;
        std::shared_ptr<const placement::chooser> view;
        placement::load_bound bound;
        placement::window_minimum lowest{2 * placement::load_clock_skew};
        /// Difference of the router's clock from the true time.
        duration clock_offset{};
        std::uint64_t in_flight = 0;
        placement::spare_list spares;
        placement::chat_directory directory;
        std::vector<std::uint32_t> engines;
        std::uint64_t list_version = 0;
    };

    struct owned_engine
    {
        std::uint32_t owner = 0;
        admission::dispatcher dispatcher;
        bool in_service = true;
        std::optional<time_point> wakeup;
    };

    struct journey
    {
        turn request;
        placement::chat_key chat;
        std::uint32_t entry = 0;
        std::unique_ptr<placement::itinerary> way;
        placement::stop at;
        std::uint32_t engine = 0;
        std::uint32_t rounds = 0;
    };

    void enter(const request_id& id);
    void try_next(const request_id& id);
    placement::spare_engine spare_of(const router& owner);
    void visit(const request_id& id);
    void bring(const request_id& id, token_count cached);
    void pump(std::uint32_t engine);
    void act(const admission::start_request& action, std::uint32_t engine);
    void act(const admission::go_elsewhere& action, std::uint32_t engine);
    void act(const admission::refuse_request& action, std::uint32_t engine);
    void finish(const request_id& id,
                std::uint32_t engine,
                std::uint64_t work,
                bool failed);
    void record(const journey& item, std::uint32_t engine);
    void send_digest(std::uint32_t from);
    placement::load_epoch epoch_at(const router& item) const;
    void take_digest(const vm_id& source,
                     const placement::load_digest& digest,
                     const placement::spare_engine& spare);
    void send_report(std::uint32_t engine);
    void own_new_engines();
    void spread_list();
    void count(std::uint32_t engine, bool more);
    void set_in_service(std::uint32_t engine, bool in_service);
    std::uint32_t owner_of(std::uint32_t engine);
    std::uint32_t index_of(const engine_id& id) const;

    routed_settings m_settings;
    fleet& m_fleet;
    event_queue& m_events;
    random_source m_random;
    std::shared_ptr<const admission::share_table> m_shares;
    std::vector<router> m_routers;
    std::vector<owned_engine> m_engines;
    std::unordered_map<request_id, journey> m_journeys;
    std::unordered_map<std::uint64_t, engine_id> m_hints;
    std::uint64_t m_next_request = 0;
    std::uint64_t m_list_version = 0;
};

} // namespace limpet::bench

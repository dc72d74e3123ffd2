#include "config_fixture.hpp"

#include <limpet/config/testing/fake_fleet.hpp>

#include <functional>

namespace limpet::config
{

struct fleet_fixture : config_fixture
{
    fleet_fixture()
    {
        build({});
    }

    void build(const testing::fleet_options& options)
    {
        fleet = std::make_unique<testing::fake_fleet>(options);
        fleet->load(machine);
    }

    /// Submits a change to one object and returns the new revision.
    revision submit_change()
    {
        const auto mark =
            fleet->state().view()->mark_of({object_kind::partner, "bureau"});
        const command_result result = fleet->submit(make_command(
            "root",
            document("change-" + std::to_string(++changes),
                     mark->changed_at.get(),
                     R"("put": {"kind": "partner", "id": "bureau"})")));
        return std::get<accepted>(result).number;
    }

    bool is_in_force_everywhere(revision number) const
    {
        for (std::size_t i = 0; i < fleet->size(); ++i)
        {
            if (fleet->node_of(i) != nullptr && fleet->revision_of(i) < number)
            {
                return false;
            }
        }
        return true;
    }

    /// Returns the index of the first router whose relay role matches.
    std::size_t find_router(bool relay) const
    {
        for (std::size_t i = 0; i < fleet->size(); ++i)
        {
            if (fleet->node_of(i)->is_relay(fleet->now()) == relay)
            {
                return i;
            }
        }
        return fleet->size();
    }

    std::unique_ptr<testing::fake_fleet> fleet;
    int changes = 0;
};

BOOST_FIXTURE_TEST_SUITE(config_distribution, fleet_fixture)

BOOST_AUTO_TEST_CASE(change_is_in_force_everywhere_and_reported)
{
    fleet->run(seconds(3));
    const revision number = submit_change();
    fleet->run(milliseconds(500));
    BOOST_TEST(is_in_force_everywhere(number));
    BOOST_REQUIRE(fleet->in_force_after(number).has_value());
    BOOST_TEST(to_milliseconds(*fleet->in_force_after(number)) < 200);
    fleet->run(seconds(1));
    for (std::size_t i = 0; i < 3; ++i)
    {
        const force_summary summary = fleet->summary_at(i);
        BOOST_TEST((summary.lowest == number));
        BOOST_TEST(!summary.complete);
        BOOST_TEST(summary.data_centres.size() == 4U);
    }
    fleet->run(seconds(12));
    BOOST_TEST(fleet->summary_at(0).complete);
}

BOOST_AUTO_TEST_CASE(router_without_configuration_serves_nothing)
{
    fleet->set_links(
        [](const vm_id&, const vm_id&)
        {
            return false;
        });
    fleet->run(seconds(10));
    BOOST_TEST((fleet->node_of(0)->view() == nullptr));
    fleet->set_links({});
    fleet->run(seconds(10));
    BOOST_TEST(is_in_force_everywhere(machine.view()->where().number));
}

BOOST_AUTO_TEST_CASE(changes_during_network_fault_arrive_within_bound)
{
    using filter = testing::fake_fleet::link_filter;
    const auto is_control = [](const vm_id& vm)
    {
        return vm.get().starts_with("control");
    };
    fleet->run(seconds(3));
    const vm_id relay = fleet->name_of(find_router(true));
    const vm_id first_control = testing::fake_fleet::control_name(0);
    struct
    {
        std::string name;
        filter works;
    } const cases[] = {
        {"relay cut off from control",
         [&](const vm_id& from, const vm_id& to)
         {
             return !((from == relay && is_control(to)) ||
                      (to == relay && is_control(from)));
         }},
        {"relay receives nothing from control",
         [&](const vm_id& from, const vm_id& to)
         {
             return !(is_control(from) && to == relay);
         }},
        {"peers receive nothing from the relay",
         [&](const vm_id& from, const vm_id& to)
         {
             return from != relay || is_control(to);
         }},
        {"relay receives nothing from its peers",
         [&](const vm_id& from, const vm_id& to)
         {
             return to != relay || is_control(from);
         }},
        {"control replica cut off from routers",
         [&](const vm_id& from, const vm_id& to)
         {
             return from != first_control && to != first_control;
         }},
        {"only one control replica reachable",
         [&](const vm_id& from, const vm_id& to)
         {
             const auto hidden = [&](const vm_id& vm)
             {
                 return is_control(vm) && vm != first_control;
             };
             return !hidden(from) && !hidden(to);
         }},
    };
    for (const auto& each : cases)
    {
        fleet->set_links(each.works);
        for (int i = 0; i < 5; ++i)
        {
            const revision number = submit_change();
            fleet->run(seconds(16));
            BOOST_TEST(is_in_force_everywhere(number), each.name);
        }
        fleet->set_links({});
        fleet->run(seconds(30));
    }
    BOOST_TEST(fleet->reverts() == 0U);
}

BOOST_AUTO_TEST_CASE(isolated_data_centre_keeps_serving_and_catches_up)
{
    for (const int missed : {3, 200})
    {
        testing::fleet_options options;
        options.settings.max_updates = 32;
        options.settings.part_bytes = 512;
        build(options);
        fleet->run(seconds(3));
        const data_centre_id cut = fleet->data_centre_of(fleet->name_of(0));
        const revision before = fleet->revision_of(0);
        fleet->set_links(
            [&](const vm_id& from, const vm_id& to)
            {
                return (fleet->data_centre_of(from) == cut) ==
                       (fleet->data_centre_of(to) == cut);
            });
        // Control replica 0 stands in the cut-off data centre; it stays
        // without the others' quorum, so it is not reachable either.
        revision last;
        for (int i = 0; i < missed; ++i)
        {
            last = submit_change();
        }
        fleet->run(seconds(20));
        BOOST_TEST((fleet->node_of(0)->view() != nullptr));
        BOOST_TEST((fleet->revision_of(0) >= before));
        const force_summary summary = fleet->summary_at(1);
        BOOST_TEST((summary.lowest < last));
        const auto silent = std::count_if(summary.data_centres.begin(),
                                          summary.data_centres.end(),
                                          [](const data_centre_force& each)
                                          {
                                              return each.silent;
                                          });
        BOOST_TEST(silent == 1);
        fleet->set_links({});
        fleet->run(seconds(16));
        BOOST_TEST(is_in_force_everywhere(last));
        BOOST_TEST((fleet->summary_at(1).lowest == last));
        BOOST_TEST(fleet->reverts() == 0U);
    }
}

BOOST_AUTO_TEST_CASE(lagging_router_is_named)
{
    fleet->run(seconds(3));
    const std::size_t peer = find_router(false);
    const vm_id name = fleet->name_of(peer);
    fleet->set_links(
        [&](const vm_id& from, const vm_id& to)
        {
            return from != name && to != name;
        });
    const revision number = submit_change();
    fleet->run(seconds(10));
    std::vector<vm_id> lagging;
    for (const data_centre_force& each : fleet->summary_at(2).data_centres)
    {
        lagging.insert(lagging.end(),
                       each.report.lagging.begin(),
                       each.report.lagging.end());
    }
    BOOST_REQUIRE(lagging.size() == 1U);
    BOOST_TEST((lagging.front() == name));
    BOOST_TEST((fleet->summary_at(2).lowest < number));
}

BOOST_AUTO_TEST_CASE(restored_backup_of_the_same_generation_is_refused)
{
    fleet->run(seconds(3));
    const state_machine backup = fleet->state();
    const revision kept = submit_change();
    fleet->run(seconds(1));
    fleet->load(backup);
    fleet->run(seconds(10));
    BOOST_TEST((fleet->revision_of(0) == kept));
    // The restored group issues the same revision with different content.
    fleet->submit(make_command(
        "root",
        document(
            "other",
            0,
            R"("put": {"kind": "data_centre", "id": "x", "region": "r"})")));
    fleet->run(seconds(10));
    BOOST_TEST((fleet->node_of(0)->refused().has_value()));
    BOOST_TEST((fleet->node_of(0)->view()->find<data_centre>("x") == nullptr));
    state_machine renewed = backup;
    BOOST_REQUIRE(is_ok(renewed.begin_generation(2, kept)));
    fleet->load(renewed);
    fleet->run(seconds(16));
    BOOST_TEST(is_in_force_everywhere(renewed.view()->where().number));
    BOOST_TEST(fleet->reverts() == 0U);
}

// Injects random message loss, duplication, reordering, network partitions and
// router restarts with and without a stored configuration. No router may revert
// to an older position, and all routers must converge to one configuration.
BOOST_AUTO_TEST_CASE(random_faults_never_revert_and_converge)
{
    for (std::uint64_t seed = 1; seed <= interleavings(60); ++seed)
    {
        random_source random(seed);
        testing::fleet_options options;
        options.seed = seed;
        options.loss = 0.1;
        options.duplication = 0.1;
        options.late = 0.3;
        options.settings.max_updates = 8;
        options.settings.part_bytes = 700;
        build(options);
        revision last;
        for (int step = 0; step < 25; ++step)
        {
            const std::size_t chosen = random.below(fleet->size());
            const vm_id cut = fleet->name_of(chosen);
            switch (random.below(6))
            {
            case 0:
                fleet->stop_router(chosen, seconds(1));
                break;
            case 1:
                if (fleet->node_of(chosen) == nullptr)
                {
                    fleet->start_router(chosen, random.chance(0.7));
                }
                break;
            case 2:
                fleet->set_links(
                    [cut](const vm_id& from, const vm_id&)
                    {
                        return from != cut;
                    });
                break;
            case 3:
                fleet->set_links({});
                break;
            default:
                last = submit_change();
                break;
            }
            fleet->run(from_seconds(random.uniform()));
        }
        last = submit_change();
        fleet->set_links({});
        for (std::size_t i = 0; i < fleet->size(); ++i)
        {
            if (fleet->node_of(i) == nullptr)
            {
                fleet->start_router(i, random.chance(0.5));
            }
        }
        fleet->run(seconds(60));
        BOOST_TEST(is_in_force_everywhere(last), "seed " << seed);
        BOOST_TEST(fleet->reverts() == 0U);
        const std::string expected = encode_view(*fleet->state().view());
        for (std::size_t i = 0; i < fleet->size(); ++i)
        {
            BOOST_TEST((encode_view(*fleet->node_of(i)->view()) == expected));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace limpet::config

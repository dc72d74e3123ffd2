#include "fleet.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace limpet::membership
{

namespace
{

using cut = std::pair<std::string, std::string>;

/// Simulated routers and engines, the active faults and the invariants that
/// must hold.
struct faulty_fleet
{
    explicit faulty_fleet(std::uint64_t seed)
        : routers(make_locations("abc", 3), seed)
    {
        routers.is_cut = [this](const std::string& from, const std::string& to)
        {
            return is_cut(from, to);
        };
        for (std::size_t i = 0; i < 12; ++i)
        {
            const std::string data_centre(1, "abc"[i % 3]);
            auto server = make_engine("e" + std::to_string(i), data_centre);
            server.checks_fencing = i % 2 == 0;
            routers.keep_alive(
                server,
                {data_centre + "1", data_centre + "2", data_centre + "3"});
            engines.push_back(std::move(server));
        }
    }

    bool is_cut(const std::string& from, const std::string& to) const
    {
        const bool apart = !cut_off_data_centre.empty() &&
                           (from.substr(0, 1) == cut_off_data_centre) !=
                               (to.substr(0, 1) == cut_off_data_centre);
        return apart || isolated.contains(from) || isolated.contains(to) ||
               one_way.contains({from, to});
    }

    std::string random_vm()
    {
        return routers
            .locations()[routers.random.below(routers.locations().size())]
            .vm;
    }

    /// Checks the invariants, which hold at any time and under any fault.
    void check()
    {
        const auto running = routers.up();
        for (const auto& server : engines)
        {
            check_engine(server, running);
        }
    }

    void check_engine(const announcement& server,
                      const std::vector<std::string>& running)
    {
        std::vector<std::string> full;
        std::vector<std::string> ordering;
        for (const auto& vm : running)
        {
            const auto standing =
                routers.at(vm).ownership_of(server.engine, routers.now);
            if (standing.mode == ownership_mode::full)
            {
                full.push_back(vm);
            }
            if (standing.may_order)
            {
                ordering.push_back(vm);
                check_number(server.engine.get(), vm, standing.fencing);
            }
        }
        const auto& id = server.engine.get();
        if (full.size() > 1)
        {
            BOOST_ERROR(id << " has two full owners, " << full[0] << " and "
                           << full[1]);
        }
        if (!server.checks_fencing && ordering.size() > 1)
        {
            BOOST_ERROR(id << " receives orders from two routers");
        }
    }

    /// Checks that a new fencing number is higher than all earlier ones of the
    /// engine and that no two routers use the same one.
    void check_number(const std::string& engine,
                      const std::string& vm,
                      fencing_number number)
    {
        auto& seen = numbers[engine];
        const auto found = seen.find(number);
        if (found != seen.end())
        {
            BOOST_TEST(found->second == vm,
                       engine << " fencing number used by two routers");
            return;
        }
        BOOST_TEST((seen.empty() || seen.rbegin()->first < number),
                   engine << " fencing number decreased at " << vm);
        seen.emplace(number, vm);
    }

    void run(duration time)
    {
        routers.run(time,
                    [this]
                    {
                        check();
                    });
    }

    void heal()
    {
        cut_off_data_centre.clear();
        isolated.clear();
        one_way.clear();
        routers.loss = 0;
        routers.max_delay = milliseconds(5);
        for (const auto& where : routers.locations())
        {
            if (!routers.is_up(where.vm))
            {
                routers.start(where.vm);
            }
        }
    }

    void check_converged()
    {
        for (const auto& vm : routers.up())
        {
            BOOST_TEST(routers.at(vm).snapshot()->routers().size() ==
                           routers.locations().size(),
                       vm << " does not list all routers");
            for (const auto& server : engines)
            {
                const auto& id = server.engine.get();
                const auto owner = routers.owner(vm, id);
                BOOST_TEST(owner == routers.owner("a1", id));
                BOOST_TEST(owner.substr(0, 1) == server.data_centre.get());
                BOOST_TEST((routers.mode(vm, id) == ownership_mode::full) ==
                               (owner == vm),
                           id << " at " << vm);
            }
        }
    }

    fleet routers;
    std::vector<announcement> engines;
    std::string cut_off_data_centre;
    std::set<std::string> isolated;
    std::set<cut> one_way;
    std::map<std::string, std::map<fencing_number, std::string>> numbers;
};

struct fault
{
    const char* name;
    void (*inject)(faulty_fleet&);
};

const fault faults[] = {
    {"killed",
     [](faulty_fleet& f)
     {
         f.routers.kill(f.random_vm());
     }},
    {"restarted",
     [](faulty_fleet& f)
     {
         const auto vm = f.random_vm();
         f.routers.kill(vm);
         f.routers.start(vm);
     }},
    {"flapping",
     [](faulty_fleet& f)
     {
         const auto vm = f.random_vm();
         for (int i = 0; i < 4; ++i)
         {
             f.routers.kill(vm);
             f.run(milliseconds(f.routers.random.below(6000)));
             f.routers.start(vm);
             f.run(milliseconds(f.routers.random.below(6000)));
         }
     }},
    {"left",
     [](faulty_fleet& f)
     {
         const auto vm = f.random_vm();
         if (f.routers.is_up(vm))
         {
             f.routers.leave(vm);
             f.run(seconds(1));
             f.routers.kill(vm);
         }
     }},
    {"isolated",
     [](faulty_fleet& f)
     {
         f.isolated.insert(f.random_vm());
     }},
    {"one_way_cut",
     [](faulty_fleet& f)
     {
         for (int i = 0; i < 4; ++i)
         {
             f.one_way.insert({f.random_vm(), f.random_vm()});
         }
     }},
    {"data_centre_cut_off",
     [](faulty_fleet& f)
     {
         f.cut_off_data_centre = "b";
     }},
    {"lossy",
     [](faulty_fleet& f)
     {
         f.routers.loss = 0.3;
     }},
    {"slow",
     [](faulty_fleet& f)
     {
         f.routers.max_delay = milliseconds(900);
     }},
};

constexpr int fault_count = sizeof(faults) / sizeof(faults[0]);

void inject_and_heal(int first, int second, std::uint64_t seed)
{
    faulty_fleet fleet(seed);
    fleet.run(seconds(25));
    faults[first].inject(fleet);
    fleet.run(milliseconds(fleet.routers.random.below(12000)));
    if (second != first)
    {
        faults[second].inject(fleet);
    }
    fleet.run(seconds(30));
    fleet.heal();
    fleet.run(seconds(100));
    fleet.check_converged();
}

} // namespace

BOOST_AUTO_TEST_SUITE(faults_test)

BOOST_DATA_TEST_CASE(single_and_paired_faults_keep_invariants_and_converge,
                     boost::unit_test::data::xrange(fault_count) *
                         boost::unit_test::data::xrange(fault_count),
                     first,
                     second)
{
    BOOST_TEST_CONTEXT(faults[first].name << " then " << faults[second].name)
    {
        inject_and_heal(first, second, 100 * first + second);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace limpet::membership

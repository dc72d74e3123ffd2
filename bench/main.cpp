/// \file
/// limpet-bench: runs benchmark suites and judges their figures.

#include "report.hpp"
#include "suite.hpp"

#include <gflags/gflags.h>

#include <iostream>
#include <set>
#include <sstream>

DEFINE_string(
    suite,
    "deterministic",
    "Suites to run, separated by commas; 'deterministic' for all whose "
    "figures depend on the seed alone, 'all' for every suite");
DEFINE_uint64(seed, 1, "Seed of the random numbers");
DEFINE_uint64(scale, 1, "Multiplier of the amount of work");
DEFINE_bool(json, false, "Print each figure as a line of JSON");
DEFINE_bool(list, false, "List the suites and exit");

namespace
{

using namespace limpet::bench;

std::set<std::string> split_names(const std::string& text)
{
    std::set<std::string> names;
    std::istringstream stream(text);
    std::string name;
    while (std::getline(stream, name, ','))
    {
        names.insert(name);
    }
    return names;
}

bool is_selected(const suite& entry, const std::set<std::string>& names)
{
    return names.contains("all") || names.contains(entry.name) ||
           (names.contains("deterministic") && entry.deterministic);
}

bool all_known(const std::set<std::string>& names)
{
    std::set<std::string> known{"all", "deterministic"};
    for (const suite& entry : registered_suites())
    {
        known.insert(entry.name);
    }
    for (const std::string& name : names)
    {
        if (!known.contains(name))
        {
            std::cerr << "limpet-bench: no suite named '" << name
                      << "'; --list shows them\n";
            return false;
        }
    }
    return true;
}

} // namespace

int main(int argc, char* argv[])
{
    gflags::SetUsageMessage(
        "runs benchmark suites; exits 1 when a figure breaks its bound");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_list)
    {
        for (const suite& entry : registered_suites())
        {
            std::cout << entry.name << "\n";
        }
        return 0;
    }
    const std::set<std::string> names = split_names(FLAGS_suite);
    if (!all_known(names))
    {
        return 2;
    }
    report figures;
    for (const suite& entry : registered_suites())
    {
        if (is_selected(entry, names))
        {
            entry.run({FLAGS_seed, FLAGS_scale}, figures);
            figures.print_new(FLAGS_json);
        }
    }
    return figures.ok() ? 0 : 1;
}

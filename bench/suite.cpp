#include "suite.hpp"

#include <algorithm>
#include <utility>

namespace limpet::bench
{

namespace
{

std::vector<suite>& registry()
{
    static std::vector<suite> suites;
    return suites;
}

} // namespace

suite_registration::suite_registration(suite entry)
{
    registry().push_back(std::move(entry));
}

std::vector<suite> registered_suites()
{
    std::vector<suite> suites = registry();
    std::sort(suites.begin(),
              suites.end(),
              [](const suite& left, const suite& right)
              {
                  return left.name < right.name;
              });
    return suites;
}

} // namespace limpet::bench

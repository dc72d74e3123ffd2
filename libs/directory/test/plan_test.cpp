#include <limpet/directory/route_table.hpp>

#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::directory;

namespace
{

route make_route(std::string name, std::string prefix, std::string host = "h")
{
    route result;
    result.name = std::move(name);
    result.host = std::move(host);
    result.prefix = std::move(prefix);
    result.services = {{"s", 1}};
    return result;
}

plan small_plan()
{
    plan result;
    result.version = document_version(3);
    result.services["s"].name = "s";
    result.routes = {make_route("short", "/a/"), make_route("long", "/a/b/")};
    result.tenants = {{"t1", {"k1", "k2"}, {}}, {"t2", {"k3"}, {}}};
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(plans)

BOOST_AUTO_TEST_CASE(valid_plan_is_accepted)
{
    BOOST_TEST(is_ok(check(small_plan())));
}

BOOST_AUTO_TEST_CASE(invalid_plan_is_rejected_with_the_reason)
{
    struct
    {
        void (*corrupt)(plan&);
        std::string reason;
    } const cases[] = {
        {[](plan& each)
         {
             each.routes[0].services[0].service = "x";
         },
         "route short: unknown service x"},
        {[](plan& each)
         {
             each.routes[1].prefix = "/a/";
         },
         "route long: another route has the same host and prefix"},
        {[](plan& each)
         {
             each.routes[0].services[0].weight = 0;
         },
         "route short: the weights add up to 0"},
        {[](plan& each)
         {
             each.routes[0].timeout = duration::zero();
         },
         "route short: the timeout must not be 0"},
        {[](plan& each)
         {
             each.tenants[1].keys.push_back("k1");
         },
         "tenants t1 and t2 share a key"},
    };
    for (const auto& each : cases)
    {
        plan corrupted = small_plan();
        each.corrupt(corrupted);
        const status result = check(corrupted);
        BOOST_REQUIRE(!is_ok(result));
        BOOST_TEST(error_of(result).message == each.reason);
    }
}

BOOST_AUTO_TEST_CASE(longest_prefix_of_the_host_wins)
{
    plan result = small_plan();
    result.routes.push_back(make_route("other", "/", "Other.Example"));
    const route_table table(result);
    BOOST_TEST(table.find_route("h", "/a/x")->name == "short");
    BOOST_TEST(table.find_route("h:80", "/a/b/x?q=/c")->name == "long");
    BOOST_TEST(table.find_route("other.example", "/a/b/")->name == "other");
    BOOST_TEST(table.find_route("h", "/b/") == nullptr);
    BOOST_TEST(table.find_route("h", "/a") == nullptr);
    BOOST_TEST(table.find_route("", "/a/") == nullptr);
}

BOOST_AUTO_TEST_CASE(each_key_finds_its_tenant)
{
    const route_table table(small_plan());
    BOOST_TEST(table.find_tenant("k2")->name == "t1");
    BOOST_TEST(table.find_tenant("k3")->name == "t2");
    BOOST_TEST(table.find_tenant("") == nullptr);
}

BOOST_AUTO_TEST_CASE(services_are_picked_by_weight)
{
    route split = make_route("r", "/");
    split.services = {{"s", 90}, {"zero", 0}, {"t", 10}};
    std::map<std::string, int> picked;
    for (std::uint64_t draw = 0; draw < 1000; ++draw)
    {
        ++picked[pick_service(split, draw)];
    }
    BOOST_TEST(picked["s"] == 900);
    BOOST_TEST(picked["t"] == 100);
    BOOST_TEST(picked.count("zero") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

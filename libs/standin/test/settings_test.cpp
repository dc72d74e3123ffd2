#include <limpet/base/settings_reader.hpp>
#include <limpet/standin/settings.hpp>

#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::standin;

namespace
{

struct settings_case
{
    const char* server;
    const char* message;
};

const settings_case invalid_servers[] = {
    {R"({"data_centre":"d","listen":"127.0.0.1:0","models":["m"]})",
     "standin.servers[0].id: is required"},
    {R"({"id":"e","data_centre":"d","listen":"nowhere","models":["m"]})",
     "standin.servers[0].listen: \"nowhere\" is not an IP number and a port"},
    {R"({"id":"e","data_centre":"d","listen":"127.0.0.1:0"})",
     "standin.servers[0].models: must list at least one model"},
    {R"({"id":"e","data_centre":"d","listen":"127.0.0.1:0","kind":"x"})",
     "standin.servers[0].kind: must be \"engine\" or \"service\""},
    {R"({"id":"e","data_centre":"d","listen":"127.0.0.1:0","models":["m"],
         "reports":{"loss":2}})",
     "standin.servers[0].reports.loss: must be between 0 and 1"},
    {R"({"id":"e","data_centre":"d","listen":"127.0.0.1:0","models":["m"],
         "speed":1})",
     "standin.servers[0].speed: is not a known setting"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(settings_suite)

BOOST_AUTO_TEST_CASE(settings_invalid_server_error_has_path_and_reason)
{
    for (const settings_case& item : invalid_servers)
    {
        const std::string text =
            R"({"servers":[)" + std::string(item.server) + "]}";
        const auto document = parse_json(text);
        BOOST_REQUIRE(is_ok(document));
        const auto settings = parse_standin_settings(value_of(document));
        BOOST_REQUIRE(!is_ok(settings));
        BOOST_TEST(error_of(settings).message == item.message);
    }
}

BOOST_AUTO_TEST_SUITE_END()

#include "config_fixture.hpp"

#include <limpet/config/object_json.hpp>

namespace limpet::config
{

BOOST_AUTO_TEST_SUITE(config_documents)

BOOST_AUTO_TEST_CASE(malformed_command_names_field_and_reason)
{
    struct
    {
        std::string text;
        std::string message;
    } const cases[] = {
        {R"({"expected_revision": 0, "remove": {"kind": "team", "id": "a"}})",
         "command.operation: is required"},
        {R"({"operation": "o", "remove": {"kind": "team", "id": "a"}})",
         "command.expected_revision: is required"},
        {R"({"operation": "o", "expected_revision": 0})",
         "command: must have exactly one of put, remove and set_service"},
        {R"({"operation": "o", "expected_revision": 0, "extra": 1,
             "remove": {"kind": "team", "id": "a"}})",
         "command.extra: is not a known setting"},
        {R"({"operation": "o", "expected_revision": 0,
             "put": {"kind": "thing", "id": "a"}})",
         "command.put.kind: must be partner"},
        {R"({"operation": "o", "expected_revision": 0,
             "put": {"kind": "partner", "id": "a b"}})",
         "command.put.id: must be 1 to 64 letters"},
        {R"({"operation": "o", "expected_revision": 0,
             "put": {"kind": "template", "id": "t", "partner": "p",
             "parameters": {"models": ["m"], "priority": 10}}})",
         "command.put.parameters.priority: must be between 0 and 9"},
        {R"({"operation": "o", "expected_revision": 0,
             "put": {"kind": "template", "id": "t", "partner": "p",
             "parameters": {"priority": 1}}})",
         "command.put.parameters.models: is required"},
        {R"({"operation": "o", "expected_revision": 0,
             "put": {"kind": "team", "id": "t", "partner": "p",
             "template": "x", "overrides": {"prio": 1}}})",
         "command.put.overrides.prio: is not a known setting"},
        {R"({"operation": "o", "expected_revision": 0,
             "put": {"kind": "team", "id": "t", "partner": "p",
             "template": "x", "keys_sha256": ["abc"]}})",
         "command.put.keys_sha256: must be 64 hexadecimal digits"},
        {R"({"operation": "o", "expected_revision": 0,
             "put": {"kind": "team", "id": "t", "partner": "p",
             "template": "x", "overrides": {"routes": [{"kind": "a"},
             {"kind": "b", "repeatable": 1}]}}})",
         "command.put.overrides.routes[1].repeatable: must be true or false"},
        {R"({"operation": "o", "expected_revision": 0,
             "put": {"kind": "service_route", "id": "p/", "service": "s"}})",
         "command.put.id: must be a partner and a path"},
        {R"({"operation": "o", "expected_revision": 0,
             "set_service": {"kind": "team", "id": "t",
             "in_service": true}})",
         "command.set_service.kind: must be data_centre or backend_server"},
        {R"({"operation": "o", "expected_revision": 0,
             "set_service": {"kind": "data_centre", "id": "t"}})",
         "command.set_service.in_service: is required"},
    };
    for (const auto& each : cases)
    {
        const auto json = parse_json(each.text);
        BOOST_REQUIRE_MESSAGE(is_ok(json), each.text);
        const outcome<command> order = parse_command(value_of(json));
        BOOST_REQUIRE_MESSAGE(!is_ok(order), each.text);
        BOOST_TEST((error_of(order).code == error_code::invalid_argument));
        BOOST_TEST(error_of(order).message.starts_with(each.message),
                   error_message(order));
    }
}

BOOST_FIXTURE_TEST_CASE(view_of_a_snapshot_equals_its_source, config_fixture)
{
    const std::string bytes = encode_view(*machine.view());
    const outcome<config_view> copy = decode_view(bytes);
    BOOST_REQUIRE_MESSAGE(is_ok(copy), error_message(copy));
    BOOST_TEST(encode_view(value_of(copy)) == bytes);
    BOOST_TEST((value_of(copy).where() == machine.view()->where()));
    BOOST_TEST((value_of(copy).team_of_key(sha256("utility-key")) != nullptr));
}

BOOST_FIXTURE_TEST_CASE(snapshot_cut_or_extended_is_refused, config_fixture)
{
    const std::string bytes = machine.snapshot();
    for (std::size_t size = 0; size < bytes.size(); size += 97)
    {
        BOOST_TEST(!is_ok(state_machine::restore(bytes.substr(0, size))));
    }
    BOOST_TEST(!is_ok(state_machine::restore(bytes + "{}\n")));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace limpet::config

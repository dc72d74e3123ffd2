#include "config_fixture.hpp"

#include <limpet/config/document_plan.hpp>
#include <limpet/config/operator_api.hpp>

namespace limpet::config
{

struct api_fixture : config_fixture
{
    std::variant<api_response, command> send(const std::string& method,
                                             const std::string& target,
                                             const std::string& token,
                                             const std::string& body = "")
    {
        return handle_operator({method, target, "Bearer " + token, body},
                               {machine, force, 5, {}});
    }

    api_response get(const std::string& target, const std::string& token)
    {
        return std::get<api_response>(send("GET", target, token));
    }

    force_summary force{
        revision(3),
        true,
        {{{data_centre_id("dc1"), revision(3), 2, {vm_id("r1")}},
          vm_id("r2"),
          true}}};
};

BOOST_FIXTURE_TEST_SUITE(config_operator_api, api_fixture)

BOOST_AUTO_TEST_CASE(request_gets_the_status_of_its_operator)
{
    const std::string team = R"({"operation": "o", "expected_revision": 0,
        "put": {"kind": "team", "id": "t", "partner": "bureau",
        "template": "chat-bureau"}})";
    struct
    {
        std::string method;
        std::string target;
        std::string token;
        std::string body;
        unsigned status;
    } const cases[] = {
        {"GET", "/v1/objects", "wrong", "", 401},
        {"POST", "/v1/commands", "wrong", team, 401},
        {"POST", "/v1/commands", "utility-token", team, 403},
        {"POST", "/v1/commands", "root-token", "{", 400},
        {"POST", "/v1/commands", "root-token", "{}", 400},
        {"DELETE", "/v1/objects", "root-token", "", 404},
        {"GET", "/v1/objects", "root-token", "", 200},
        {"GET", "/v1/objects/thing", "root-token", "", 404},
        {"GET", "/v1/objects/team", "root-token", "", 200},
        {"GET", "/v1/objects/team/none", "root-token", "", 404},
        {"GET", "/v1/objects/team/team-bureau", "root-token", "", 200},
        {"GET", "/v1/objects/team/team-bureau", "bureau-token", "", 200},
        {"GET", "/v1/objects/team/team-bureau", "utility-token", "", 404},
        {"GET", "/v1/objects/operator/root", "utility-token", "", 404},
        {"GET",
         "/v1/objects/service_route/bureau/alerts",
         "root-token",
         "",
         200},
        {"GET", "/v1/operations/setup-0", "root-token", "", 200},
        {"GET", "/v1/operations/none", "root-token", "", 404},
        {"GET", "/v1/history?after=x", "root-token", "", 400},
        {"GET", "/v1/in-force", "bureau-token", "", 200},
        {"GET", "/v1/none", "root-token", "", 404},
    };
    for (const auto& each : cases)
    {
        const auto result =
            send(each.method, each.target, each.token, each.body);
        const auto* answer = std::get_if<api_response>(&result);
        BOOST_REQUIRE(answer != nullptr);
        BOOST_TEST(answer->status == each.status,
                   each.target << " " << each.token);
    }
    const auto order =
        std::get<command>(send("POST", "/v1/commands", "bureau-token", team));
    BOOST_TEST(order.author.get() == "op-bureau");
    BOOST_TEST(order.submitted_unix_ms == 5U);
    BOOST_TEST(response_to(machine.apply(++index, order)).status == 200U);
}

BOOST_AUTO_TEST_CASE(empty_state_takes_only_the_first_operator_by_its_token)
{
    const state_machine empty(1);
    const std::string body =
        R"({"operation": "o", "expected_revision": 0, "put":
            {"kind": "operator", "id": "root", "token_sha256": ")" +
        to_hex(sha256("a")) + "\"}}";
    const auto submit_with = [&](const std::string& token)
    {
        return handle_operator(
            {"POST", "/v1/commands", "Bearer " + token, body},
            {empty, force, 5, sha256("first")});
    };
    BOOST_TEST(std::holds_alternative<command>(submit_with("first")));
    BOOST_TEST(std::holds_alternative<api_response>(submit_with("other")));
    const auto read = handle_operator(
        {"GET", "/v1/objects/operator/root", "Bearer first", ""},
        {empty, force, 5, sha256("first")});
    BOOST_TEST(std::get<api_response>(read).status == 404U);
}

BOOST_AUTO_TEST_CASE(group_behind_its_routers_takes_no_command)
{
    position ahead = machine.view()->where();
    for (const unsigned status : {400U, 503U})
    {
        const auto answer =
            handle_operator({"POST", "/v1/commands", "Bearer root-token", "{}"},
                            {machine, force, 5, {}, ahead});
        BOOST_TEST(std::get<api_response>(answer).status == status);
        ahead.number = revision(ahead.number.get() + 1);
    }
}

BOOST_AUTO_TEST_CASE(team_shows_its_parameters_in_force)
{
    const auto body = get("/v1/objects/team/team-bureau", "root-token").body;
    BOOST_TEST(body.at("in_force").at("priority").to_number<int>() == 7);
    BOOST_TEST(body.at("author").as_string() == "op-bureau");
    const auto listed = get("/v1/objects/team", "utility-token").body;
    BOOST_REQUIRE(listed.as_array().size() == 1U);
    BOOST_TEST(listed.as_array()[0].at("object").at("id").as_string() ==
               "team-utility");
}

BOOST_AUTO_TEST_CASE(history_pages_and_hides_the_other_partner)
{
    const auto first = get("/v1/history?after=0&limit=2", "root-token").body;
    BOOST_TEST(first.at("changes").as_array().size() == 2U);
    BOOST_TEST(first.at("last").to_number<int>() == 2);
    const auto rest = get("/v1/history?after=2", "root-token").body;
    BOOST_TEST(rest.at("changes").as_array().size() == index - 2);
    const auto seen = get("/v1/history", "utility-token").body;
    for (const auto& each : seen.at("changes").as_array())
    {
        const auto& put = each.at("put").as_object();
        BOOST_TEST((!put.contains("partner") ||
                    put.at("kind").as_string() == "data_centre" ||
                    put.at("partner").as_string() == "utility"));
    }
}

BOOST_AUTO_TEST_CASE(file_entry_becomes_a_command_only_if_it_differs)
{
    const auto shown =
        parse_in_force(get("/v1/objects/team/team-bureau", "root-token").body);
    BOOST_REQUIRE_MESSAGE(is_ok(shown), error_message(shown));
    const object_in_force& current = value_of(shown);
    const auto entry_of = [](const std::string& text)
    {
        return parse_entry(value_of(parse_json(text)));
    };
    const std::string same =
        R"({"kind": "team", "id": "team-bureau", "partner": "bureau",
            "template": "chat-bureau", "overrides": {"priority": 7},
            "keys_sha256": [")" +
        to_hex(sha256("bureau-key")) + "\"]";
    BOOST_TEST(
        !command_for(value_of(entry_of(same + "}")), current, operation_id("o"))
             .has_value());
    const auto changed = value_of(entry_of(
        R"({"kind": "team", "id": "team-bureau", "partner": "bureau",
            "template": "chat-bureau", "overrides": {"share": 9}})"));
    const auto order = command_for(changed, current, operation_id("o"));
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST((order->expected == current.changed_at));
    const std::vector<field_difference> expected = {
        {"keys_sha256", "[\"" + to_hex(sha256("bureau-key")) + "\"]", "[]"},
        {"overrides.priority", "7", ""},
        {"overrides.share", "", "9"}};
    BOOST_TEST((differences(current.value, changed.wanted) == expected));
    BOOST_TEST(
        (command_for(changed, std::nullopt, operation_id("o"))->expected ==
         revision(0)));
    const auto based = value_of(entry_of(same + R"(, "revision": 4})"));
    BOOST_TEST((based.based_on == revision(4)));
    const auto sent = value_of(entry_of(
        R"({"operation": "mine", "expected_revision": 3,
            "remove": {"kind": "team", "id": "team-bureau"}})"));
    BOOST_TEST(
        (command_for(sent, current, operation_id("o"))->operation.get() ==
         "mine"));
    BOOST_TEST(!is_ok(entry_of(R"({"id": "x"})")));
    BOOST_TEST(!is_ok(entry_of(same + R"(, "revision": "x"})")));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace limpet::config

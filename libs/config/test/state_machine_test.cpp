#include "config_fixture.hpp"

#include <limpet/base/random.hpp>
#include <limpet/config/authorise.hpp>

#include <map>
#include <set>

namespace limpet::config
{

BOOST_FIXTURE_TEST_SUITE(config_state_machine, config_fixture)

struct refusal_case
{
    std::string name;
    std::string author;
    std::uint64_t expected;
    std::string what;
    error_code code;
    std::string field;
};

BOOST_AUTO_TEST_CASE(command_that_breaks_a_rule_is_refused_by_field)
{
    const std::string digest = to_hex(sha256("bureau-key"));
    const std::uint64_t template_at =
        revision_of(object_kind::team_template, "chat-bureau");
    const std::uint64_t root_at =
        revision_of(object_kind::operator_account, "root");
    const std::uint64_t partner_at =
        revision_of(object_kind::partner, "bureau");
    const auto invalid = error_code::invalid_argument;
    const refusal_case cases[] = {
        {"unknown operator",
         "nobody",
         0,
         R"("put": {"kind": "partner", "id": "p3"})",
         error_code::unauthenticated,
         "author"},
        {"guarantees above 100",
         "root",
         0,
         R"("put": {"kind": "partner", "id": "p3", "guaranteed_percent": 21})",
         invalid,
         "guaranteed_percent"},
        {"template of an unknown partner",
         "root",
         0,
         R"("put": {"kind": "template", "id": "x", "partner": "p3",
            "parameters": {"models": ["m"]}})",
         invalid,
         "partner"},
        {"template moved to another partner",
         "root",
         template_at,
         R"("put": {"kind": "template", "id": "chat-bureau",
            "partner": "utility", "parameters": {"models": ["m"]}})",
         invalid,
         "partner"},
        {"team with an unknown template",
         "root",
         0,
         R"("put": {"kind": "team", "id": "t", "partner": "bureau",
            "template": "none"})",
         invalid,
         "template"},
        {"team with a template of another partner",
         "root",
         0,
         R"("put": {"kind": "team", "id": "t", "partner": "bureau",
            "template": "chat-utility"})",
         invalid,
         "template"},
        {"key of another team",
         "root",
         0,
         R"("put": {"kind": "team", "id": "t", "partner": "bureau",
            "template": "chat-bureau", "keys_sha256": [")" +
             digest + "\"]}",
         invalid,
         "keys_sha256"},
        {"template in use",
         "root",
         template_at,
         R"("remove": {"kind": "template", "id": "chat-bureau"})",
         invalid,
         "id"},
        {"partner in use",
         "root",
         partner_at,
         R"("remove": {"kind": "partner", "id": "bureau"})",
         invalid,
         "id"},
        {"last operator without a scope",
         "root",
         root_at,
         R"("remove": {"kind": "operator", "id": "root"})",
         invalid,
         "id"},
        {"server in an unknown data centre",
         "root",
         0,
         R"("put": {"kind": "backend_server", "id": "e1",
            "data_centre": "none"})",
         invalid,
         "data_centre"},
        {"unlisted server without a data centre",
         "root",
         0,
         R"("set_service": {"kind": "backend_server", "id": "e1",
            "in_service": false})",
         invalid,
         "data_centre"},
        {"unknown data centre",
         "root",
         0,
         R"("set_service": {"kind": "data_centre", "id": "none",
            "in_service": false})",
         error_code::not_found,
         "id"},
        {"removal of a missing object",
         "root",
         0,
         R"("remove": {"kind": "team", "id": "none"})",
         error_code::not_found,
         "id"},
        {"stale revision",
         "root",
         template_at - 1,
         R"("remove": {"kind": "template", "id": "chat-bureau"})",
         error_code::conflict,
         "expected_revision"},
    };
    const position before = machine.view()->where();
    for (const refusal_case& each : cases)
    {
        BOOST_TEST_CONTEXT(each.name)
        {
            const command_result result = submit(
                each.author, document(each.name, each.expected, each.what));
            const auto* refusal = std::get_if<rejected>(&result);
            BOOST_REQUIRE(refusal != nullptr);
            BOOST_TEST((refusal->code == each.code));
            BOOST_TEST(refusal->field == each.field);
            BOOST_TEST(!refusal->reason.empty());
            BOOST_TEST((machine.view()->where() == before));
        }
    }
}

BOOST_AUTO_TEST_CASE(partner_operator_on_other_partners_objects_is_forbidden)
{
    struct
    {
        std::string what;
        bool own_allowed;
    } const cases[] = {
        {R"("put": {"kind": "team", "id": "team-$", "partner": "$",
            "template": "chat-$"})",
         true},
        {R"("put": {"kind": "team", "id": "new", "partner": "$",
            "template": "chat-$"})",
         true},
        {R"("put": {"kind": "template", "id": "chat-$", "partner": "$",
            "parameters": {"models": ["m2"]}})",
         true},
        {R"("set_service": {"kind": "data_centre", "id": "dc-$",
            "in_service": false})",
         true},
        {R"("set_service": {"kind": "backend_server", "id": "e1",
            "data_centre": "dc-$", "in_service": false})",
         true},
        {R"("put": {"kind": "service_route", "id": "$/orders",
            "service": "orders"})",
         true},
        {R"("remove": {"kind": "team", "id": "team-$"})", true},
        {R"("put": {"kind": "data_centre", "id": "dc-$", "region": "r2",
            "partner": "$"})",
         false},
        {R"("put": {"kind": "partner", "id": "$"})", false},
        {R"("remove": {"kind": "operator", "id": "root"})", false},
    };
    for (const auto& each : cases)
    {
        for (const std::string partner : {"bureau", "utility"})
        {
            const std::string text =
                document("op", 0, substitute(each.what, partner));
            const command order = make_command("op-bureau", text);
            const auto& who =
                machine.view()->find<operator_account>("op-bureau")->value;
            const bool allowed =
                is_ok(authorise(*machine.view(), who, order.what));
            BOOST_TEST(allowed == (each.own_allowed && partner == "bureau"),
                       text);
        }
    }
}

BOOST_AUTO_TEST_CASE(second_command_at_the_same_revision_conflicts_with_winner)
{
    const std::string what =
        R"("put": {"kind": "partner", "id": "bureau", "share": )";
    const std::uint64_t at = revision_of(object_kind::partner, "bureau");
    const command_result first =
        submit("root", document("race-1", at, what + "5}"));
    const command_result second =
        submit("root", document("race-2", at, what + "6}"));
    BOOST_REQUIRE(std::holds_alternative<accepted>(first));
    const rejected& lost = std::get<rejected>(second);
    BOOST_TEST((lost.code == error_code::conflict));
    BOOST_REQUIRE(lost.winner.has_value());
    BOOST_TEST((lost.winner->number == std::get<accepted>(first).number));
    BOOST_TEST(lost.winner->author.get() == "root");
    BOOST_TEST(machine.view()->find<partner>("bureau")->value.share == 5U);
}

BOOST_AUTO_TEST_CASE(conflict_on_removed_object_names_the_remover)
{
    const std::uint64_t at = revision_of(object_kind::team, "team-bureau");
    const std::string removal =
        R"("remove": {"kind": "team", "id": "team-bureau"})";
    const auto done = std::get<accepted>(
        submit("op-bureau", document("remove-1", at, removal)));
    const auto lost =
        std::get<rejected>(submit("root", document("remove-2", at, removal)));
    BOOST_REQUIRE(lost.winner.has_value());
    BOOST_TEST((lost.winner->number == done.number));
    BOOST_TEST(lost.winner->author.get() == "op-bureau");
    BOOST_TEST((machine.view()->team_of_key(sha256("bureau-key")) == nullptr));
}

BOOST_AUTO_TEST_CASE(resent_command_returns_first_result_even_after_restart)
{
    const std::uint64_t at = revision_of(object_kind::partner, "bureau");
    const std::string won =
        document("won", at, R"("put": {"kind": "partner", "id": "bureau"})");
    const std::string lost =
        document("lost", at, R"("put": {"kind": "partner", "id": "bureau"})");
    const command_result first_won = submit("root", won);
    const command_result first_lost = submit("root", lost);
    for (const bool restarted : {false, true})
    {
        if (restarted)
        {
            auto restored =
                state_machine::restore(machine.snapshot(), {64, 64});
            BOOST_REQUIRE_MESSAGE(is_ok(restored), error_message(restored));
            machine = value_of(std::move(restored));
        }
        const position before = machine.view()->where();
        BOOST_TEST((submit("root", won) == first_won));
        BOOST_TEST((submit("root", lost) == first_lost));
        const auto reused = std::get<rejected>(submit(
            "root",
            document("won", at, R"("remove": {"kind": "team", "id": "x"})")));
        BOOST_TEST(reused.field == "operation");
        BOOST_TEST((machine.view()->where() == before));
    }
}

BOOST_AUTO_TEST_CASE(results_beyond_the_retention_are_evicted)
{
    const std::string removal = R"("remove": {"kind": "team", "id": "x"})";
    submit("root", document("old", 0, removal));
    for (int i = 0; i < 64; ++i)
    {
        BOOST_TEST(machine.answer_to(operation_id("old")).has_value());
        submit("root", document("fill-" + std::to_string(i), 0, removal));
    }
    BOOST_TEST(!machine.answer_to(operation_id("old")).has_value());
}

BOOST_AUTO_TEST_CASE(template_change_reaches_teams_except_their_overrides)
{
    put("op-bureau",
        R"({"kind": "template", "id": "chat-bureau", "partner": "bureau",
            "parameters": {"models": ["m1", "m2"], "priority": 2,
                           "max_output_tokens": 9}})");
    const view_ptr view = machine.view();
    const stored<team>* found = view->team_of_key(sha256("bureau-key"));
    BOOST_REQUIRE(found != nullptr);
    const team_parameters in_force = view->parameters_of(found->value);
    BOOST_TEST(in_force.max_output_tokens().get() == 9U);
    BOOST_TEST(in_force.priority() == 7U);
    BOOST_TEST(in_force.allows_model("m2"));
    BOOST_TEST(!in_force.repeatable("chat"));
}

BOOST_AUTO_TEST_CASE(service_state_and_routes_are_looked_up)
{
    submit("op-bureau",
           document("out",
                    revision_of(object_kind::data_centre, "dc-bureau"),
                    R"("set_service": {"kind": "data_centre",
                       "id": "dc-bureau", "in_service": false})"));
    const view_ptr view = machine.view();
    BOOST_TEST(!view->in_service(data_centre_id("dc-bureau")));
    BOOST_TEST(view->in_service(data_centre_id("dc-utility")));
    BOOST_TEST(view->in_service(engine_id("unlisted")));
    struct
    {
        std::string partner;
        std::string path;
        bool found;
    } const cases[] = {
        {"bureau", "/alerts", true},
        {"bureau", "/alerts/7/send", true},
        {"bureau", "/alerts/", true},
        {"bureau", "/alertsx", false},
        {"bureau", "/", false},
        {"utility", "/alerts", false},
    };
    for (const auto& each : cases)
    {
        const service_route* route =
            view->route_of(partner_id(each.partner), each.path);
        BOOST_TEST((route != nullptr) == each.found, each.path);
        BOOST_TEST((route == nullptr ||
                    (route->repeatable("GET") && !route->repeatable("POST"))));
    }
}

BOOST_AUTO_TEST_CASE(backup_restored_below_a_router_cannot_revert_it)
{
    const std::string backup = machine.snapshot();
    put("root", R"({"kind": "partner", "id": "bureau", "share": 9})");
    put("root", R"({"kind": "partner", "id": "bureau", "share": 8})");
    const position in_force = machine.view()->where();
    auto restored = state_machine::restore(backup, {64, 64});
    state_machine& old = value_of(restored);
    BOOST_TEST(
        (compare(old.view()->where(), in_force) == position_order::older));
    BOOST_TEST(!is_ok(old.begin_generation(1, in_force.number)));
    BOOST_TEST(!is_ok(old.begin_generation(2, revision(1))));
    BOOST_REQUIRE(is_ok(old.begin_generation(2, in_force.number)));
    BOOST_TEST(
        (compare(old.view()->where(), in_force) == position_order::newer));
    auto other = state_machine::restore(backup, {64, 64});
    BOOST_REQUIRE(is_ok(value_of(other).begin_generation(
        2, revision(in_force.number.get() - 1))));
    BOOST_TEST((compare(value_of(other).view()->where(), in_force) ==
                position_order::diverged));
}

// Operators submit conflicting commands and resend them over a transport that
// loses, duplicates and reorders them. Two replicas apply the same log, and one
// of them is repeatedly restored from its snapshot. Every operation must take
// effect at most once and have the same result on both replicas.
BOOST_AUTO_TEST_CASE(random_races_and_resends_keep_the_invariants)
{
    std::size_t effects_made = 0;
    for (std::uint64_t seed = 1; seed <= interleavings(200); ++seed)
    {
        random_source random(seed);
        state_machine replica =
            value_of(state_machine::restore(machine.snapshot(), {64, 64}));
        state_machine restored_replica =
            value_of(state_machine::restore(machine.snapshot(), {64, 64}));
        std::vector<command> in_flight;
        std::map<std::string, command_result> answers;
        std::set<std::uint64_t> effects;
        std::uint64_t log_index = index;
        for (int step = 0; step < 60; ++step)
        {
            const auto mark =
                replica.view()->mark_of({object_kind::partner, "bureau"});
            const std::uint64_t stale = random.below(2);
            in_flight.push_back(make_command(
                random.chance(0.8) ? "root" : "op-utility",
                document("op-" + std::to_string(random.below(30)) + "-" +
                             std::to_string(step / 40),
                         mark->changed_at.get() - stale,
                         R"("put": {"kind": "partner", "id": "bureau",
                            "share": )" +
                             std::to_string(1 + random.below(3)) + "}")));
            const std::size_t chosen = random.below(in_flight.size());
            const command order = in_flight[chosen];
            if (random.chance(0.6))
            {
                in_flight.erase(in_flight.begin() +
                                static_cast<std::ptrdiff_t>(chosen));
            }
            const revision before = replica.view()->where().number;
            const command_result answer = replica.apply(++log_index, order);
            const command_result again = restored_replica.apply(
                log_index, value_of(decode_command(encode(order))));
            const revision after = replica.view()->where().number;
            BOOST_REQUIRE((answer == again));
            BOOST_REQUIRE(
                (replica.view()->where() == restored_replica.view()->where()));
            BOOST_REQUIRE(after >= before);
            const auto* done = std::get_if<accepted>(&answer);
            if (after > before)
            {
                BOOST_REQUIRE(done != nullptr);
                BOOST_REQUIRE((done->number == after));
                BOOST_REQUIRE(answers.count(order.operation.get()) == 0);
                BOOST_REQUIRE(effects.insert(after.get()).second);
            }
            if (done != nullptr)
            {
                const auto first =
                    answers.emplace(order.operation.get(), answer).first;
                BOOST_REQUIRE((first->second == answer));
            }
            if (random.chance(0.05))
            {
                restored_replica = value_of(state_machine::restore(
                    restored_replica.snapshot(), {64, 64}));
                BOOST_REQUIRE(restored_replica.snapshot() ==
                              replica.snapshot());
            }
        }
        effects_made += effects.size();
    }
    BOOST_TEST(effects_made > 5 * interleavings(200));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace limpet::config

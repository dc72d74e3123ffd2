#include "message.hpp"
#include "packed_rows.hpp"

#include <limpet/base/random.hpp>
#include <limpet/membership/announcement.hpp>
#include <limpet/membership/settings.hpp>

#include <boost/test/unit_test.hpp>

namespace limpet::membership
{

namespace
{

router_record make_router()
{
    router_record record;
    record.self = {
        vm_id("vm"), "10.0.0.1:7000", data_centre_id("a"), region_id("r")};
    record.started = incarnation(7);
    record.version = 3;
    record.state = router_state::suspect;
    record.ready = true;
    record.flaps = 2;
    return record;
}

message make_message(body content)
{
    message input;
    input.from = 11;
    input.started = incarnation(12);
    input.clock = 13;
    input.content = std::move(content);
    auto engine = std::make_shared<engine_record>();
    engine->server.engine = engine_id("e");
    engine->server.models = {model_id("m"), model_id("n")};
    engine->server.leaving = true;
    engine->version = 9;
    input.changes.engines.push_back(engine);
    input.changes.routers.push_back(make_router());
    input.changes.router_statuses.push_back(
        {1, incarnation(2), 3, router_state::dead, 4, true});
    input.changes.engine_statuses.push_back(
        {5, incarnation(6), 7, 8, true, false});
    return input;
}

std::vector<body> all_bodies()
{
    const load_sums sums{{{1, {300, 2}}, {0xffffffff, {1ULL << 40, 1}}}, 17};
    return {join_request{make_router()},
            join_response{make_router(), 3},
            ping{1, 2},
            ack{3, 4, true, false},
            sync_request{{1, 2, 3}},
            sync_records{{4, 5}, true},
            gossip{},
            renewals{{{1, incarnation(2)}}},
            hand_over{{{1, fencing_number(2), 3, 4, true}}},
            collect{5, sums},
            report{6, sums},
            data_centre_sums{sums},
            region_sums{region_id("r"), {make_router()}, true, sums}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(messages_test)

BOOST_AUTO_TEST_CASE(each_kind_of_message_survives_a_round_trip)
{
    for (auto& content : all_bodies())
    {
        const auto bytes = encode(make_message(std::move(content)));
        const auto decoded = decode(bytes);
        BOOST_REQUIRE(is_ok(decoded));
        // Encoding is deterministic, so equal bytes mean equal messages.
        BOOST_TEST((encode(value_of(decoded)) == bytes));
    }
}

BOOST_AUTO_TEST_CASE(randomly_corrupted_message_is_rejected_or_decoded_safely)
{
    random_source random(5);
    std::size_t rejected = 0;
    for (int round = 0; round < 300; ++round)
    {
        for (auto& content : all_bodies())
        {
            auto bytes = encode(make_message(std::move(content)));
            const auto flips = 1 + random.below(4);
            for (std::uint64_t i = 0; i < flips; ++i)
            {
                auto& byte = bytes[random.below(bytes.size())];
                byte = static_cast<char>(random.next());
            }
            bytes.resize(random.chance(0.3) ? random.below(bytes.size())
                                            : bytes.size());
            rejected += is_ok(decode(bytes)) ? 0 : 1;
        }
    }
    BOOST_TEST(rejected > 0U);
}

BOOST_AUTO_TEST_CASE(truncated_or_overlong_rows_are_rejected)
{
    const auto whole = pack({{7, {1000, 3}}});
    for (std::size_t size = 1; size < whole.size(); ++size)
    {
        BOOST_TEST(!unpack(whole.data(), size).has_value());
    }
    std::vector<std::uint8_t> endless(20, 0xff);
    BOOST_TEST(!unpack(endless.data(), endless.size()).has_value());
}

BOOST_AUTO_TEST_CASE(invalid_announcement_is_rejected_naming_its_field)
{
    const std::string good = R"("engine":"e","incarnation":1,)"
                             R"("data_centre":"a","address":"h:1",)"
                             R"("models":["m"],"slots":4)";
    const std::pair<std::string, std::string> table[] = {
        {good, ""},
        {good + R"(,"kind":"service","checks_fencing":true)", ""},
        {good + R"(,"kind":"oven")", "kind"},
        {good + R"(,"surprise":1)", "surprise"},
        {R"("engine":"","incarnation":1)", "engine"},
        {R"("engine":"e","incarnation":0)", "incarnation"},
        {R"("engine":"e","incarnation":1,"data_centre":"a",)"
         R"("address":"h:1","models":[],"slots":4)",
         "models"},
    };
    for (const auto& [text, field] : table)
    {
        const auto parsed =
            parse_announcement(boost::json::parse("{" + text + "}"));
        BOOST_TEST(is_ok(parsed) == field.empty(), text);
        if (!is_ok(parsed))
        {
            BOOST_TEST(error_of(parsed).message.find(field) !=
                       std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_CASE(inconsistent_settings_are_rejected)
{
    const std::pair<const char*, bool> table[] = {
        {"{}", true},
        {R"({"suspicion_ms":5000})", true},
        {R"({"suspicion_ms":100})", false},
        {R"({"ownership_lease_ms":1000})", false},
        {R"({"engine_lease_ms":20000})", false},
        {R"({"probe_period_ms":0})", false},
        {R"({"unknown_ms":1})", false},
    };
    for (const auto& [text, good] : table)
    {
        const auto parsed =
            parse_settings(boost::json::parse(text), "membership");
        BOOST_TEST(is_ok(parsed) == good, text);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace limpet::membership

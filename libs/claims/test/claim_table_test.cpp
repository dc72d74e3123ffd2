#include <limpet/base/random.hpp>
#include <limpet/claims/claim_table.hpp>

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <map>
#include <set>
#include <vector>

namespace limpet::claims
{

/// Returns the number of seeds of a randomized test: the environment variable
/// LIMPET_INTERLEAVINGS, or a default if it is not set.
std::uint64_t interleavings()
{
    constexpr std::uint64_t fallback = 200;
    const char* text = std::getenv("LIMPET_INTERLEAVINGS");
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

struct claims_fixture
{
    claim_answer
    send(const std::string& request, claim_action action, std::uint64_t key = 1)
    {
        return table.apply(
            ++index, {{key, key}, request_id(request), now, std::move(action)});
    }

    claim_limits limits{milliseconds(1000),
                        milliseconds(200),
                        milliseconds(100),
                        milliseconds(30),
                        byte_count(64),
                        byte_count(2000)};
    claim_table table{limits};
    std::uint64_t index = 0;
    std::uint64_t now = 1;
};

BOOST_FIXTURE_TEST_SUITE(claims_table, claims_fixture)

BOOST_AUTO_TEST_CASE(claim_in_each_state_gets_its_answer)
{
    const settle result{200, "text/plain", "booked", true};
    enum step_kind
    {
        send_claim,
        send_settle,
        send_release,
        wait_longest_run,
        wait_body_retention,
        wait_retention,
        restart,
    };
    struct
    {
        std::string name;
        std::vector<step_kind> before;
        std::string request;
        std::uint64_t fingerprint;
        claim_answer answer;
    } const cases[] = {
        {"fresh", {}, "r2", 7, granted{}},
        {"resent by its holder", {send_claim}, "r1", 7, granted{}},
        {"held", {send_claim}, "r2", 7, in_progress{request_id("r1")}},
        {"held, after a restart",
         {send_claim, restart},
         "r2",
         7,
         in_progress{request_id("r1")}},
        {"finished",
         {send_claim, send_settle},
         "r2",
         7,
         finished{request_id("r1"), true, result}},
        {"finished, after a restart",
         {send_claim, send_settle, restart},
         "r2",
         7,
         finished{request_id("r1"), true, result}},
        {"finished, asked by its holder",
         {send_claim, send_settle},
         "r1",
         7,
         finished{request_id("r1"), true, result}},
        {"never settled",
         {send_claim, wait_longest_run},
         "r2",
         7,
         finished{request_id("r1"), false, {}}},
        {"never settled, its holder asks late",
         {send_claim, wait_longest_run},
         "r1",
         7,
         finished{request_id("r1"), false, {}}},
        {"settled late",
         {send_claim, wait_longest_run, send_settle},
         "r2",
         7,
         finished{request_id("r1"), true, result}},
        {"released", {send_claim, send_release}, "r2", 7, granted{}},
        {"released, another request",
         {send_claim, send_release},
         "r2",
         8,
         granted{}},
        {"released, late duplicate of the holder",
         {send_claim, send_release, restart},
         "r1",
         7,
         refused{error_code::conflict, "the request was released"}},
        {"another request under the key",
         {send_claim},
         "r2",
         8,
         refused{error_code::invalid_argument,
                 "the key was used with another request"}},
        {"finished, body retention passed",
         {send_claim, send_settle, wait_body_retention},
         "r2",
         7,
         finished{{}, true, {200, "", "", false}}},
        {"finished, body retention passed, after a restart",
         {send_claim, send_settle, wait_body_retention, restart},
         "r2",
         7,
         finished{{}, true, {200, "", "", false}}},
        {"another request, body retention passed",
         {send_claim, send_settle, wait_body_retention},
         "r2",
         8,
         refused{error_code::invalid_argument,
                 "the key was used with another request"}},
        {"never settled, body retention passed",
         {send_claim, wait_longest_run, wait_body_retention},
         "r2",
         7,
         finished{{}, false, {0, "", "", false}}},
        {"body retention passed, then the retention",
         {send_claim,
          send_settle,
          wait_body_retention,
          restart,
          wait_retention},
         "r2",
         8,
         granted{}},
        {"retention passed",
         {send_claim, send_settle, wait_retention},
         "r2",
         8,
         granted{}},
        {"unknown outcome, retention passed",
         {send_claim, wait_longest_run, wait_retention},
         "r2",
         8,
         granted{}},
    };
    for (const auto& each : cases)
    {
        table = claim_table(limits);
        for (const step_kind step : each.before)
        {
            switch (step)
            {
            case send_claim:
                BOOST_REQUIRE(
                    (send("r1", claim{7}) == claim_answer(granted{})));
                break;
            case send_settle:
                BOOST_REQUIRE((send("r1", result) == claim_answer(done{})));
                break;
            case send_release:
                BOOST_REQUIRE((send("r1", release{}) == claim_answer(done{})));
                break;
            case wait_longest_run:
                now += 100;
                send("x", release{}, 99);
                break;
            case wait_body_retention:
                now += 200;
                send("x", release{}, 99);
                break;
            case wait_retention:
                // The archive keeps keys for up to one slice longer.
                now += 1000 + 800 / 24;
                break;
            case restart:
                table =
                    value_of(claim_table::restore(table.snapshot(), limits));
                break;
            }
        }
        BOOST_TEST((send(each.request, claim{each.fingerprint}) == each.answer),
                   each.name);
    }
}

BOOST_AUTO_TEST_CASE(settle_and_release_without_the_claim_are_refused)
{
    const auto is_refused = [](const claim_answer& answer)
    {
        return std::holds_alternative<refused>(answer);
    };
    BOOST_TEST(is_refused(send("r1", settle{})));
    BOOST_TEST(is_refused(send("r1", release{})));
    send("r1", claim{7});
    BOOST_TEST(is_refused(send("r2", settle{})));
    BOOST_TEST(is_refused(send("r2", release{})));
    send("r1", settle{});
    BOOST_TEST(is_refused(send("r1", release{})));
    BOOST_TEST((send("r1", settle{500, "", "", true}) == claim_answer(done{})));
    const auto first = std::get<finished>(send("r2", claim{7}));
    BOOST_TEST(first.result.status == 0);
}

BOOST_AUTO_TEST_CASE(full_table_refuses_new_claims_and_keeps_existing_ones)
{
    std::uint64_t key = 0;
    while (send("r", claim{7}, ++key) == claim_answer(granted{}))
    {
    }
    BOOST_TEST(key > 5U);
    const auto refusal = std::get<refused>(send("r", claim{7}, key));
    BOOST_TEST((refusal.code == error_code::overloaded));
    for (std::uint64_t held = 1; held < key; ++held)
    {
        BOOST_TEST((send("r2", claim{7}, held) ==
                    claim_answer(in_progress{request_id("r")})));
        const settle large{200, "", std::string(64, 'b'), true};
        BOOST_TEST((send("r", large, held) == claim_answer(done{})));
        BOOST_TEST(table.used().get() <= limits.capacity.get());
    }
    const auto last = std::get<finished>(send("r2", claim{7}, key - 1));
    BOOST_TEST(last.known);
    BOOST_TEST(!last.result.body_kept);
}

// A release leaves an obsolete item in the queue of running entries. Guards
// against a snapshot that stores the entry twice because of it.
BOOST_AUTO_TEST_CASE(key_granted_again_at_once_survives_a_restart)
{
    send("r1", claim{7});
    send("r1", release{});
    BOOST_TEST((send("r2", claim{7}) == claim_answer(granted{})));
    const auto restored = claim_table::restore(table.snapshot(), limits);
    BOOST_REQUIRE(is_ok(restored));
    BOOST_TEST(value_of(restored).snapshot() == table.snapshot());
}

BOOST_AUTO_TEST_CASE(status_is_recorded_if_the_body_is_too_large)
{
    send("r1", claim{7});
    send("r1", settle{201, "text/plain", std::string(65, 'b'), true});
    const auto recorded = std::get<finished>(send("r2", claim{7}));
    BOOST_TEST(recorded.result.status == 201);
    BOOST_TEST(recorded.result.body.empty());
    BOOST_TEST(!recorded.result.body_kept);
}

BOOST_AUTO_TEST_CASE(commands_and_answers_are_encoded_without_loss)
{
    const settle result{200, "text/plain", std::string("a\0b", 3), true};
    const claim_action actions[] = {claim{9}, result, release{}};
    for (const claim_action& action : actions)
    {
        const claim_command command{{1, 2}, request_id("r"), 5, action};
        const std::string bytes = encode(command);
        BOOST_TEST((value_of(decode_command(bytes)) == command));
        for (std::size_t size = 0; size < bytes.size(); ++size)
        {
            const auto cut = decode_command(bytes.substr(0, size));
            BOOST_TEST((!is_ok(cut) || value_of(cut) == command));
        }
    }
    const claim_answer answers[] = {granted{},
                                    in_progress{request_id("r")},
                                    finished{request_id("r"), true, result},
                                    finished{request_id("r"), false, {}},
                                    done{},
                                    refused{error_code::overloaded, "full"}};
    for (const claim_answer& answer : answers)
    {
        BOOST_TEST((value_of(decode_answer(encode(answer))) == answer));
    }
}

// Guards against a key that runs twice within its retention. Callers retry keys
// through several entry routers; commands are lost, duplicated and reordered;
// entry routers stop at any point; one replica restarts from its snapshot.
BOOST_AUTO_TEST_CASE(random_interleavings_never_run_a_key_twice)
{
    struct exchange
    {
        std::uint64_t key;
        bool running = false;
        bool released = false;
        std::uint64_t sent_ms = 0;
    };
    std::size_t keys_run = 0;
    for (std::uint64_t seed = 1; seed <= interleavings(); ++seed)
    {
        random_source random(seed);
        limits.capacity = byte_count(seed % 2 == 0 ? 1500 : 100000);
        claim_table replica(limits);
        claim_table other_replica(limits);
        std::map<std::string, exchange> exchanges;
        std::vector<claim_command> in_flight;
        std::map<std::uint64_t, std::uint64_t> last_run_ms;
        std::uint64_t clock = 1;
        for (std::uint64_t step = 1; step <= 200; ++step)
        {
            clock += random.below(random.chance(0.02) ? 200 : 5);
            const std::string new_request = "r" + std::to_string(step);
            exchange& started = exchanges[new_request];
            started.key = random.below(12);
            started.sent_ms = clock;
            in_flight.push_back({{started.key, started.key},
                                 request_id(new_request),
                                 clock,
                                 claim{started.key}});
            const std::size_t chosen = random.below(in_flight.size());
            claim_command command = in_flight[chosen];
            command.at_ms = clock - random.below(2);
            if (random.chance(0.7))
            {
                in_flight.erase(in_flight.begin() +
                                static_cast<std::ptrdiff_t>(chosen));
            }
            const claim_answer answer = replica.apply(step, command);
            const claim_answer other_answer = other_replica.apply(
                step, value_of(decode_command(encode(command))));
            BOOST_REQUIRE((answer == other_answer));
            if (random.chance(0.05))
            {
                other_replica = value_of(
                    claim_table::restore(other_replica.snapshot(), limits));
                BOOST_REQUIRE(other_replica.snapshot() == replica.snapshot());
            }
            exchange& sender = exchanges[command.request.get()];
            const bool is_in_time =
                clock - sender.sent_ms <
                static_cast<std::uint64_t>(limits.dispatch_window.count());
            if (!std::holds_alternative<granted>(answer) || sender.running ||
                sender.released || random.chance(0.2))
            {
                continue;
            }
            if (!is_in_time || random.chance(0.3))
            {
                sender.released = true;
                in_flight.push_back(
                    {command.key, command.request, clock, release{}});
                continue;
            }
            sender.running = true;
            const auto run = last_run_ms.find(sender.key);
            const auto retention =
                static_cast<std::uint64_t>(limits.retention.count());
            BOOST_REQUIRE_MESSAGE(run == last_run_ms.end() ||
                                      clock - run->second >= retention,
                                  "seed " << seed << " step " << step);
            last_run_ms[sender.key] = clock;
            in_flight.push_back({command.key,
                                 command.request,
                                 clock,
                                 settle{200, "", "", true}});
        }
        keys_run += last_run_ms.size();
    }
    BOOST_TEST(keys_run > 5 * interleavings());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace limpet::claims

#include <limpet/admission/dispatcher.hpp>
#include <limpet/admission/open_request_cap.hpp>
#include <limpet/admission/retry_budget.hpp>
#include <limpet/base/random.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace
{

using namespace limpet;
using namespace limpet::admission;

struct dispatcher_fixture
{
    dispatcher_settings settings;
    placement::engine_view engine;
    placement::load_bound bound{{}};
    time_point now{seconds(100)};
    std::vector<std::string> started;
    std::vector<std::string> elsewhere;
    std::vector<refuse_request> refused;

    dispatcher_fixture()
    {
        engine.id = engine_id("e1");
        engine.run = incarnation(1);
        engine.slots = 8;
        set_mean(100);
    }

    void set_mean(std::uint64_t mean)
    {
        bound.report(vm_id("vm"), {placement::load_epoch(400), 1, mean});
        bound.advance(placement::load_epoch(400));
    }

    offer make(const std::string& id,
               bool may_go_elsewhere,
               const std::string& partner = "a") const
    {
        offer request;
        request.item.id = request_id(id);
        request.item.partner = partner_id(partner);
        request.item.team = team_id(partner + "1");
        request.item.deadline = now + seconds(10);
        request.prompt = token_count(1000);
        request.may_go_elsewhere = may_go_elsewhere;
        return request;
    }

    void poll(dispatcher& item)
    {
        for (const dispatch_action& action : item.poll(bound, now))
        {
            if (const auto* start = std::get_if<start_request>(&action))
            {
                started.push_back(start->id.get());
            }
            else if (const auto* go = std::get_if<go_elsewhere>(&action))
            {
                elsewhere.push_back(go->id.get());
            }
            else
            {
                refused.push_back(std::get<refuse_request>(action));
            }
        }
    }

    /// Starts as many requests as a cold engine takes.
    void fill(dispatcher& item)
    {
        for (std::uint32_t at = 0; at < settings.limit.cold_limit; ++at)
        {
            item.bring(make("f" + std::to_string(at), true), now);
        }
        poll(item);
        BOOST_REQUIRE(started.size() == settings.limit.cold_limit);
    }
};

BOOST_FIXTURE_TEST_SUITE(dispatcher_suite, dispatcher_fixture)

BOOST_AUTO_TEST_CASE(guaranteed_slots_are_filled_first)
{
    auto shares = std::make_shared<share_table>();
    shares->partners = {{partner_id("a"), 1}, {partner_id("b"), 1}};
    shares->guarantees = {{partner_id("b"), 0.75}};
    dispatcher item(settings, engine);
    item.set_shares(shares);
    for (int n = 0; n < 4; ++n)
    {
        item.bring(make("a" + std::to_string(n), false, "a"), now);
        item.bring(make("b" + std::to_string(n), false, "b"), now);
    }
    poll(item);
    const auto of_b = std::count_if(started.begin(),
                                    started.end(),
                                    [](const std::string& id)
                                    {
                                        return id.front() == 'b';
                                    });
    BOOST_TEST(started.size() == 4U);
    BOOST_TEST(of_b >= 2);
    BOOST_TEST(shares->guarantee_of(partner_id("b")) == 0.75);
    BOOST_TEST(shares->guarantee_of(partner_id("a")) == 0.5);
}

BOOST_AUTO_TEST_CASE(owner_without_full_ownership_stays_within_its_bound)
{
    struct ownership_case
    {
        std::uint32_t ownership_bound;
        std::uint32_t previous_owner_requests;
        std::size_t started;
    };
    const ownership_case cases[] = {
        {UINT32_MAX, 0, 4}, {2, 0, 2}, {UINT32_MAX, 3, 1}, {2, 5, 0}};
    for (const ownership_case& each : cases)
    {
        started.clear();
        dispatcher item(settings, engine);
        item.set_ownership(each.ownership_bound, each.previous_owner_requests);
        for (int n = 0; n < 6; ++n)
        {
            item.bring(make("r" + std::to_string(n), false), now);
        }
        poll(item);
        BOOST_TEST(started.size() == each.started);
    }
}

BOOST_AUTO_TEST_CASE(full_engine_sends_a_cold_request_elsewhere_at_once)
{
    dispatcher item(settings, engine);
    fill(item);
    item.bring(make("x", true), now);
    poll(item);
    BOOST_TEST(elsewhere == std::vector<std::string>{"x"});
}

BOOST_AUTO_TEST_CASE(request_without_other_engine_waits_for_a_completion)
{
    dispatcher item(settings, engine);
    fill(item);
    item.bring(make("x", false), now);
    poll(item);
    BOOST_TEST(item.waiting() == 1U);
    item.first_token(request_id("f0"), now);
    item.finish(request_id("f0"), token_count(10), false, now);
    poll(item);
    BOOST_TEST(started.back() == "x");
}

BOOST_AUTO_TEST_CASE(passed_deadline_refuses_with_a_retry_time)
{
    dispatcher item(settings, engine);
    fill(item);
    item.bring(make("x", false), now);
    poll(item);
    BOOST_REQUIRE(item.next_wakeup().has_value());
    BOOST_TEST((*item.next_wakeup() == now + seconds(10)));
    now += seconds(10);
    poll(item);
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST(refused[0].id.get() == "x");
    BOOST_TEST((refused[0].why.reason == refusal_reason::deadline));
    BOOST_TEST((refused[0].why.retry_after > duration::zero()));
}

BOOST_AUTO_TEST_CASE(
    out_of_service_sends_waiting_elsewhere_and_keeps_those_in_flight)
{
    dispatcher item(settings, engine);
    fill(item);
    item.bring(make("x", false), now);
    poll(item);
    item.set_in_service(false);
    item.bring(make("y", false), now);
    poll(item);
    BOOST_TEST(elsewhere == (std::vector<std::string>{"y", "x"}));
    BOOST_TEST(item.in_flight() == settings.limit.cold_limit);
    BOOST_TEST(item.room(bound) == 0U);
}

BOOST_AUTO_TEST_CASE(full_queue_of_one_partner_refuses_only_that_partner)
{
    settings.queue.partner_capacity = settings.limit.cold_limit;
    dispatcher item(settings, engine);
    fill(item);
    for (const char* id : {"u", "v", "w", "x", "y"})
    {
        item.bring(make(id, false), now);
    }
    item.bring(make("z", false, "b"), now);
    poll(item);
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST(refused[0].id.get() == "y");
    BOOST_TEST(item.waiting() == 5U);
}

BOOST_AUTO_TEST_CASE(engine_with_the_cached_prompt_becomes_the_import_source)
{
    settings.import_tokens_per_second = 50'000;
    dispatcher item(settings, engine);
    offer request = make("x", true);
    request.source = engine_id("e2");
    request.source_cached = token_count(900);
    item.bring(request, now);
    const auto actions = item.poll(bound, now);
    BOOST_REQUIRE(actions.size() == 1U);
    const auto& start = std::get<start_request>(actions[0]);
    BOOST_REQUIRE(start.import_from.has_value());
    BOOST_TEST(start.import_from->get() == "e2");
}

BOOST_AUTO_TEST_CASE(
    engine_without_first_tokens_gets_no_more_than_the_cold_limit)
{
    dispatcher item(settings, engine);
    item.take_over({}, 8, now);
    for (int at = 0; at < 8; ++at)
    {
        item.bring(make(std::to_string(at), false), now);
    }
    poll(item);
    BOOST_TEST(started.size() == settings.limit.max_unconfirmed);
    now += milliseconds(60);
    item.first_token(request_id(started[0]), now);
    poll(item);
    BOOST_TEST(started.size() == 8U);
    now += seconds(5);
    poll(item);
    BOOST_TEST(item.limit() == settings.limit.cold_limit);
}

/// Random events under each pair of faults: the load stays within the bounds,
/// and every request ends exactly once.
BOOST_AUTO_TEST_CASE(random_events_under_pairs_of_faults_keep_the_invariants)
{
    enum fault
    {
        none,
        engine_fails,
        turns_cold,
        leaves_service,
        mean_drops,
        repeats_events,
        fault_count
    };
    for (int pair = 0; pair < fault_count * fault_count; ++pair)
    {
        const std::set<int> faults{pair / fault_count, pair % fault_count};
        const auto happens = [&](fault what, random_source& random)
        {
            return faults.contains(what) && random.chance(0.02);
        };
        random_source random(17 + static_cast<std::uint64_t>(pair));
        dispatcher item(settings, engine);
        auto shares = std::make_shared<share_table>();
        shares->partners = {{partner_id("a"), 1}, {partner_id("b"), 1}};
        item.set_shares(shares);
        std::map<std::string, int> ends;
        std::vector<std::string> running;
        bool in_service = true;
        for (int step = 0; step < 1500; ++step)
        {
            now += milliseconds(random.below(200));
            if (random.chance(0.5))
            {
                const std::string id = std::to_string(step);
                ends[id] = 0;
                item.bring(make(id,
                                random.chance(0.3),
                                random.chance(0.9) ? "a" : "b"),
                           now);
            }
            if (!running.empty() && random.chance(0.4))
            {
                const std::size_t at = random.below(running.size());
                const request_id id(running[at]);
                const bool failed = happens(engine_fails, random);
                const int times = faults.contains(repeats_events) ? 2 : 1;
                for (int time = 0; time < times; ++time)
                {
                    item.first_token(id, now);
                    item.finish(id, token_count(200), failed, now);
                }
                ++ends[running[at]];
                running.erase(running.begin() +
                              static_cast<std::ptrdiff_t>(at));
            }
            if (happens(turns_cold, random))
            {
                item.report({incarnation(static_cast<std::uint64_t>(step)),
                             0,
                             token_count(0)},
                            now);
            }
            if (happens(leaves_service, random))
            {
                in_service = !in_service;
                item.set_in_service(in_service);
            }
            set_mean(happens(mean_drops, random) ? 1 : 6);
            const std::uint32_t before = item.in_flight();
            const std::uint32_t highest = std::min(item.limit(), bound.bound());
            started.clear();
            elsewhere.clear();
            refused.clear();
            poll(item);
            BOOST_REQUIRE(started.empty() || in_service);
            BOOST_REQUIRE(item.in_flight() == before + started.size());
            BOOST_REQUIRE(started.empty() || item.in_flight() <= highest);
            for (const std::string& id : started)
            {
                running.push_back(id);
            }
            for (const std::string& id : elsewhere)
            {
                ++ends[id];
            }
            for (const refuse_request& one : refused)
            {
                ++ends[one.id.get()];
            }
            BOOST_REQUIRE(item.in_flight() == running.size());
        }
        std::size_t open = 0;
        for (const auto& [id, count] : ends)
        {
            BOOST_REQUIRE(count <= 1);
            open += count == 0 ? 1 : 0;
        }
        BOOST_TEST(open == running.size() + item.waiting());
    }
}

BOOST_AUTO_TEST_CASE(guarantee_margin_stays_free_for_the_idle_partner)
{
    share_table shares;
    shares.partners = {{partner_id("a"), 1}, {partner_id("b"), 1}};
    slot_guarantee slots(0.25);
    std::uint32_t borrowed = 0;
    while (slots.may_start(partner_id("b"), 16, shares))
    {
        slots.add(partner_id("b"));
        ++borrowed;
    }
    BOOST_TEST(borrowed == 14U);
    for (int at = 0; at < 2; ++at)
    {
        BOOST_TEST(slots.may_start(partner_id("a"), 16, shares));
        slots.add(partner_id("a"));
    }
    BOOST_TEST(!slots.may_start(partner_id("a"), 16, shares));
    BOOST_TEST(slots.is_below_guarantee(partner_id("a"), 16, shares));
}

BOOST_AUTO_TEST_CASE(team_at_its_cap_cannot_open_requests)
{
    open_request_cap cap(2);
    cap.set(team_id("small"), 1);
    BOOST_TEST(cap.open(team_id("small")));
    BOOST_TEST(!cap.open(team_id("small")));
    cap.close(team_id("small"));
    BOOST_TEST(cap.open(team_id("small")));
    BOOST_TEST(cap.open(team_id("other")));
    BOOST_TEST(cap.open(team_id("other")));
    BOOST_TEST(!cap.open(team_id("other")));
    cap.close(team_id("unknown"));
    BOOST_TEST(cap.count(team_id("other")) == 2U);
}

BOOST_AUTO_TEST_CASE(retries_never_exceed_their_ratio)
{
    retry_budget budget(0.1, 5);
    int retries = 0;
    for (int at = 0; at < 1000; ++at)
    {
        budget.on_request();
        while (budget.try_retry())
        {
            ++retries;
        }
    }
    BOOST_TEST(retries <= 105);
    BOOST_TEST(retries >= 100);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace

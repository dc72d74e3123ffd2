#include <limpet/local_fleet/local_fleet.hpp>

#include <boost/test/unit_test.hpp>

#include <functional>
#include <ostream>

using namespace limpet;
using namespace limpet::local_fleet;

namespace
{

const engine_id engine{std::string(engine_name)};
const engine_id service{std::string(service_name)};

/// One fleet for all cases, since a start takes seconds.
struct fleet_fixture
{
    fleet_fixture()
    {
        if (!shared)
        {
            fleet_options options;
            options.engine.token_delay = duration::zero();
            options.engine.answer_tokens = 6;
            options.engine.slots = 32;
            auto started = local_fleet::local_fleet::start(options);
            if (!is_ok(started))
            {
                BOOST_FAIL(error_of(started).message);
            }
            shared = std::move(value_of(started));
        }
        shared->servers().faults_of(engine).clear();
        shared->servers().faults_of(service).clear();
    }

    http::response send(const http::request& message, std::size_t router = 0)
    {
        const auto result = shared->fetch(shared->callers(router), message);
        if (const auto* failure = std::get_if<http::request_failure>(&result))
        {
            http::response cut;
            cut.head.status = 0;
            cut.body = failure->reason.message;
            return cut;
        }
        return std::get<http::response>(result);
    }

    static std::unique_ptr<local_fleet::local_fleet> shared;
};

std::unique_ptr<local_fleet::local_fleet> fleet_fixture::shared;

struct end_fleet
{
    ~end_fleet()
    {
        fleet_fixture::shared.reset();
    }
};

std::string_view outcome_of(const http::response& answer)
{
    return answer.head.headers.value_or_empty("Limpet-Outcome");
}

struct bad_call
{
    const char* name;
    std::function<void(http::request&)> change;
    unsigned status;
};

const bad_call bad_calls[] = {
    {"no key",
     [](http::request& call)
     {
         call.headers.erase("Authorization");
     },
     401},
    {"wrong key",
     [](http::request& call)
     {
         call.headers.set("Authorization", "Bearer other");
     },
     401},
    {"wrong method",
     [](http::request& call)
     {
         call.method = "PUT";
     },
     400},
    {"unknown target",
     [](http::request& call)
     {
         call.target = "/v1/other";
     },
     404},
    {"unknown service",
     [](http::request& call)
     {
         call.target = "/services/other";
     },
     404},
    {"no JSON",
     [](http::request& call)
     {
         call.body = "hello";
     },
     400},
    {"deep JSON",
     [](http::request& call)
     {
         call.body = std::string(5000, '[');
     },
     400},
    {"no messages",
     [](http::request& call)
     {
         call.body = R"({"model":"forecast"})";
     },
     400},
    {"unknown model",
     [](http::request& call)
     {
         call.body = R"({"model":"x","messages":[{}]})";
     },
     404},
    {"stream is no flag",
     [](http::request& call)
     {
         call.body = R"({"messages":[{}],"stream":1})";
     },
     400},
    {"chat id with a space",
     [](http::request& call)
     {
         call.headers.set("Limpet-Chat", "a b");
     },
     400},
    {"event id is no number",
     [](http::request& call)
     {
         call.headers.set("Last-Event-ID", "x");
     },
     400},
    {"head too large",
     [](http::request& call)
     {
         call.headers.set("X", std::string(20000, 'x'));
     },
     431},
    {"body too large",
     [](http::request& call)
     {
         call.body.assign(5UL * 1024 * 1024, ' ');
     },
     413},
};

struct engine_fault
{
    const char* order;
    unsigned status;
};

// The only engine fails once; a repeatable request is then run again.
const engine_fault stream_faults[] = {
    {R"({"kind":"die","after_events":0})", 200},
    {R"({"kind":"die","after_events":3})", 200},
    {R"({"kind":"truncate","after_events":3})", 200},
    {R"({"kind":"cross","request":"another"})", 200},
    {R"({"kind":"refuse","status":503})", 200},
    {R"({"kind":"late","delay_ms":50})", 200},
};

/// Returns the ids of the events in the order of their arrival.
std::string ids_of(const std::string& stream)
{
    std::string ids;
    for (std::size_t at = stream.find("id: "); at != std::string::npos;
         at = stream.find("id: ", at + 1))
    {
        const std::size_t end = stream.find('\n', at);
        ids += stream.substr(at + 4, end - at - 4) + " ";
    }
    return ids;
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(end_fleet);
BOOST_FIXTURE_TEST_SUITE(caller_contract_suite, fleet_fixture)

BOOST_AUTO_TEST_CASE(chat_through_each_router_is_whole)
{
    for (const std::size_t router : {0U, 1U})
    {
        for (const bool stream : {false, true})
        {
            const http::response answer =
                send(make_chat("whole", stream), router);
            BOOST_TEST(answer.head.status == 200U);
            BOOST_TEST(
                !answer.head.headers.value_or_empty("Limpet-Request").empty());
            if (stream)
            {
                BOOST_TEST(ids_of(answer.body) == "1 2 3 4 5 6 ");
                BOOST_TEST(answer.body.ends_with("data: [DONE]\n\n"));
            }
            else
            {
                BOOST_TEST(outcome_of(answer) == "complete");
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(chat_resumed_gets_only_missing_events)
{
    http::request call = make_chat("resumed", true);
    call.headers.set("Last-Event-ID", "4");
    const http::response answer = send(call);
    BOOST_TEST(ids_of(answer.body) == "5 6 ");
}

BOOST_AUTO_TEST_CASE(bad_call_gets_its_error_and_is_not_run)
{
    for (const bad_call& item : bad_calls)
    {
        BOOST_TEST_CONTEXT(item.name)
        {
            http::request call = make_chat("bad", false);
            item.change(call);
            const auto before = shared->servers().record_of(engine).total();
            const http::response answer = send(call);
            BOOST_TEST(answer.head.status == item.status);
            BOOST_TEST(outcome_of(answer) == "not-run");
            BOOST_TEST(answer.body.find("\"code\"") != std::string::npos);
            BOOST_TEST(shared->servers().record_of(engine).total() == before);
        }
    }
}

BOOST_AUTO_TEST_CASE(stream_is_whole_after_engine_fault)
{
    for (const engine_fault& item : stream_faults)
    {
        BOOST_TEST_CONTEXT(item.order)
        {
            shared->servers().faults_of(engine).add(
                value_of(standin::parse_fault_order(item.order)));
            const http::response answer = send(make_chat("fault", true));
            BOOST_TEST(answer.head.status == item.status);
            BOOST_TEST(ids_of(answer.body) == "1 2 3 4 5 6 ");
            BOOST_TEST(answer.body.ends_with("data: [DONE]\n\n"));
        }
    }
}

BOOST_AUTO_TEST_CASE(service_call_that_may_have_run_is_not_repeated)
{
    for (const char* order : {R"({"kind":"die","after_events":0})",
                              R"({"kind":"cross","request":"another"})"})
    {
        BOOST_TEST_CONTEXT(order)
        {
            shared->servers().faults_of(service).add(
                value_of(standin::parse_fault_order(order)));
            const auto before = shared->servers().record_of(service).total();
            const http::response answer = send(make_alert("once"));
            BOOST_TEST(outcome_of(answer) == "unknown");
            BOOST_TEST(shared->servers().record_of(service).total() ==
                       before + 1);
        }
    }
}

BOOST_AUTO_TEST_CASE(service_call_keeps_method_path_and_body)
{
    http::request call = make_alert("pollen is high");
    call.method = "PATCH";
    call.target = "/services/alerts/a/b?c=d";
    const http::response answer = send(call);
    BOOST_TEST(answer.head.status == 200U);
    for (const char* part : {R"("method":"PATCH")",
                             R"("target":"/alerts/a/b?c=d")",
                             R"("body":"pollen is high")"})
    {
        BOOST_TEST(answer.body.find(part) != std::string::npos, answer.body);
    }
}

BOOST_AUTO_TEST_SUITE_END()

/// What a caller gets if an engine goes on with a stream that another began.

#include "attempt.hpp"
#include "headers.hpp"
#include "recording_hub.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::pipeline;

namespace net = boost::asio;

namespace
{

const wire::link_identity owner{
    vm_id("owner"), data_centre_id("north"), incarnation(7), ""};

/// A caller that keeps what is written to it.
class recording_caller final : public http::exchange
{
public:
    const http::request& received() const override
    {
        return m_request;
    }

    net::awaitable<status> respond(http::response answer) override
    {
        text = std::to_string(answer.head.status) + " " + answer.body;
        has_ended = true;
        co_return success();
    }

    net::awaitable<status> begin_stream(http::response_head head) override
    {
        text = std::to_string(head.status) + " ";
        co_return success();
    }

    net::awaitable<status> write(std::string_view bytes) override
    {
        text += bytes;
        co_return success();
    }

    net::awaitable<status> end_stream() override
    {
        has_ended = true;
        co_return success();
    }

    void cut_off() override {}

    void on_caller_gone(std::function<void()>) override {}

    bool add_memory(std::size_t /*bytes*/) override
    {
        return true;
    }

    std::optional<time_point> blocked_since() const override
    {
        return std::nullopt;
    }

    std::string text;
    bool has_ended = false;

private:
    http::request m_request;
};

struct stream_of_two_engines
{
    net::io_context context;
    recording_caller caller;
    request_context request{caller, request_id("r1")};
    answer_writer writer{request};
    attempt_registry registry;
    recording_hub hub;
    std::uint64_t attempts = 0;

    stream_of_two_engines()
    {
        request.deadline = monotonic_clock::now() + seconds(10);
        request.repeatable = true;
        request.call = chat_call{true};
    }

    /// Returns the result of an attempt whose owner sends these messages.
    finish_result run(std::vector<exchange_content> messages)
    {
        attempt_target target;
        target.owner = owner.vm;
        target.owner_start = owner.start;
        attempt each(request,
                     writer,
                     registry,
                     hub,
                     target,
                     std::make_shared<attempt_mailbox>(context.get_executor()));
        ++attempts;
        for (exchange_content& message : messages)
        {
            registry.deliver(owner, exchange_id(attempts), std::move(message));
        }
        std::optional<finish_result> result;
        net::co_spawn(
            context,
            [&]() -> net::awaitable<void>
            {
                result = (co_await each.run()).result;
            },
            net::detached);
        context.restart();
        context.run();
        return *result;
    }

    static head_message make_head(unsigned status, const std::string& type)
    {
        head_message message;
        message.head.status = status;
        message.head.headers.set(headers::content_type, type);
        return message;
    }

    /// An engine sends one event and breaks off.
    void break_off()
    {
        finish_message last;
        last.sequence = 2;
        last.result = finish_result::broken;
        const auto result = run({make_head(200, "text/event-stream"),
                                 part_message{1, 1, "id: 1\ndata: a\n\n"},
                                 last});
        BOOST_TEST((result == finish_result::broken));
        BOOST_TEST(writer.can_resume());
    }

    void complete()
    {
        net::co_spawn(
            context,
            [this]() -> net::awaitable<void>
            {
                co_await writer.complete();
            },
            net::detached);
        context.restart();
        context.run();
    }

    finish_result
    answer(unsigned status, const std::string& type, const std::string& body)
    {
        finish_message last;
        last.sequence = 2;
        last.result = finish_result::complete;
        return run({make_head(status, type), part_message{1, 0, body}, last});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(attempt_suite, stream_of_two_engines)

// Guards against an error's text in the middle of a stream.
BOOST_AUTO_TEST_CASE(stream_whose_next_engine_fails_is_not_completed)
{
    break_off();
    const std::string begun = caller.text;
    for (const unsigned status :
         {200U, 201U, 204U, 206U, 302U, 400U, 404U, 409U, 429U, 500U, 503U})
    {
        for (const std::string& type : {std::string(),
                                        std::string("text/plain"),
                                        std::string("application/json"),
                                        std::string("text/event-stream")})
        {
            if (status == 200U && type == "text/event-stream")
            {
                continue;
            }
            BOOST_TEST_CONTEXT(status << " " << type)
            {
                BOOST_TEST((answer(status, type, "it failed\n\n") ==
                            finish_result::broken));
                BOOST_TEST(caller.text == begun);
                BOOST_TEST(writer.can_resume());
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(stream_goes_on_with_the_events_of_the_next_engine)
{
    break_off();
    finish_message last;
    last.sequence = 2;
    last.result = finish_result::complete;
    const auto result = run({make_head(200, "text/event-stream"),
                             part_message{1, 2, "id: 2\ndata: b\n\n"},
                             last});
    BOOST_TEST((result == finish_result::complete));
    BOOST_TEST(caller.text == "200 id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against an answer that is joined from two.
BOOST_AUTO_TEST_CASE(answer_that_breaks_off_is_not_joined_with_the_next)
{
    finish_message last;
    last.sequence = 2;
    last.result = finish_result::broken;
    const auto result = run({make_head(200, "application/json"),
                             part_message{1, 0, "{\"half\": "},
                             last});
    BOOST_TEST((result == finish_result::broken));
    BOOST_TEST(!writer.started());
    writer.discard_buffer();
    BOOST_TEST(
        (answer(500, "text/plain", "it failed") == finish_result::complete));
    complete();
    BOOST_TEST(caller.text == "500 it failed");
}

BOOST_AUTO_TEST_CASE(error_of_the_first_engine_is_passed_on_whole)
{
    BOOST_TEST((answer(500, "text/event-stream", "it failed\n\n") ==
                finish_result::complete));
    complete();
    BOOST_TEST(caller.text == "500 it failed\n\n");
}

BOOST_AUTO_TEST_SUITE_END()

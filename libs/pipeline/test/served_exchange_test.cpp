/// One request at a server, without a network.

#include "headers.hpp"
#include "recording_hub.hpp"
#include "served_exchange.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::pipeline;

namespace net = boost::asio;

namespace
{

/// A response without a body.
class empty_response final : public http::response_stream
{
public:
    empty_response(http::response_head head, bool& is_cancelled)
        : m_head(std::move(head)),
          m_is_cancelled(is_cancelled)
    {
    }

    const http::response_head& head() const override
    {
        return m_head;
    }

    http::body_delimiter delimiter() const override
    {
        return http::body_delimiter::length;
    }

    bool is_first_on_connection() const override
    {
        return false;
    }

    net::awaitable<outcome<std::optional<std::string>>> read_some() override
    {
        co_return std::optional<std::string>();
    }

    void set_read_timeout(duration) override {}

    void cancel() override
    {
        m_is_cancelled = true;
    }

private:
    http::response_head m_head;
    bool& m_is_cancelled;
};

/// Answers each request with the same head.
class answering_client final : public http::client
{
public:
    net::awaitable<std::variant<std::unique_ptr<http::response_stream>,
                                http::request_failure>>
    send(net::ip::tcp::endpoint,
         http::request,
         duration,
         http::send_canceller*) override
    {
        co_return std::make_unique<empty_response>(head, is_cancelled);
    }

    http::response_head head;
    bool is_cancelled = false;
};

struct exchange_at_server
{
    net::io_context context;
    std::shared_ptr<recording_hub> hub = std::make_shared<recording_hub>();
    std::shared_ptr<answering_client> client =
        std::make_shared<answering_client>();

    /// Returns how the exchange ends if the server answers with this status
    /// and request id.
    finish_result run(unsigned status, const std::string& id)
    {
        client->head.status = status;
        client->head.headers.set(headers::request, id);
        open_message open;
        open.request = request_id("r1");
        open.deadline = seconds(1);
        const auto exchange =
            std::make_shared<served_exchange>(context,
                                              hub,
                                              client,
                                              wire::link_identity{},
                                              exchange_id(1),
                                              std::move(open));
        dispatch_target target;
        target.checks_fencing = true;
        net::co_spawn(exchange->executor(),
                      exchange->run(target, nullptr),
                      net::detached);
        context.run();
        const auto last = decode_exchange_message(hub->frames.back());
        return std::get<finish_message>(value_of(last).content).result;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(served_exchange_suite, exchange_at_server)

BOOST_AUTO_TEST_CASE(exchange_that_server_rejects_as_outdated_has_not_run)
{
    BOOST_TEST((run(409, "r1") == finish_result::not_run));
    BOOST_TEST(!client->is_cancelled);
}

// Guards against a late copy of a rejection that is taken for the promise that
// the request has not run.
BOOST_AUTO_TEST_CASE(rejection_of_another_request_is_no_promise)
{
    BOOST_TEST((run(409, "another") == finish_result::broken));
    BOOST_TEST(client->is_cancelled);
}

BOOST_AUTO_TEST_CASE(response_to_another_request_closes_its_connection)
{
    BOOST_TEST((run(200, "another") == finish_result::broken));
    BOOST_TEST(client->is_cancelled);
}

BOOST_AUTO_TEST_SUITE_END()

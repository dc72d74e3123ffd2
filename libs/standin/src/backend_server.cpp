#include "backend_server.hpp"

#include "answers.hpp"

namespace limpet::standin
{

boost::asio::awaitable<void> backend_server::handle(http::exchange& call)
{
    std::optional<http::response> answer = handle_test_request(call.received());
    if (answer)
    {
        co_await call.respond(std::move(*answer));
        co_return;
    }
    co_await serve(call);
}

std::optional<http::response>
backend_server::handle_test_request(const http::request& call)
{
    if (call.method == "GET" && call.target == "/healthz")
    {
        return json_answer(200, "{}");
    }
    if (call.method == "GET" && call.target == "/v1/standin/record")
    {
        return json_answer(200, m_record.to_json());
    }
    if (call.method == "POST" && call.target == "/v1/standin/cold")
    {
        reset_to_cold();
        return json_answer(200, "{}");
    }
    if (call.target != "/v1/standin/faults")
    {
        return std::nullopt;
    }
    if (call.method == "DELETE")
    {
        m_faults.clear();
        return json_answer(200, "{}");
    }
    auto order = parse_fault_order(call.body);
    if (!is_ok(order))
    {
        return error_answer(400, error_of(order));
    }
    m_faults.add(std::move(value_of(order)));
    return json_answer(200, "{}");
}

} // namespace limpet::standin

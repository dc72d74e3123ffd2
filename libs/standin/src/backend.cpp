#include "backend.hpp"

#include "answers.hpp"

namespace limpet::standin
{

boost::asio::awaitable<void> backend::handle(http::exchange& call)
{
    std::optional<http::response> answer = use_switches(call.received());
    if (answer)
    {
        co_await call.respond(std::move(*answer));
        co_return;
    }
    co_await serve(call);
}

std::optional<http::response> backend::use_switches(const http::request& call)
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
        go_cold();
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

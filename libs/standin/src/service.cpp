#include "service.hpp"

#include "answers.hpp"
#include "run_control.hpp"

#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace limpet::standin
{

namespace
{

run_entry make_entry(const http::request& call)
{
    run_entry entry;
    entry.request =
        request_id(std::string(call.headers.value_or_empty(fields::request)));
    entry.key = idempotency_key(
        std::string(call.headers.value_or_empty(fields::idempotency_key)));
    entry.method = call.method;
    entry.target = call.target;
    entry.fencing = number_field(call, fields::fencing);
    return entry;
}

} // namespace

service::service(const service_settings& settings)
    : m_settings(settings)
{
}

load_sample service::load() const
{
    const std::uint32_t open = m_in_flight;
    const std::uint32_t running = std::min(open, m_settings.slots);
    return {running, open - running, {}};
}

cache_changes service::take_cache_changes()
{
    return {};
}

void service::reset_to_cold() {}

boost::asio::awaitable<void> service::serve(http::exchange& call)
{
    const std::optional<fault> failure = faults().take();
    if (failure && std::holds_alternative<error_status_fault>(*failure))
    {
        http::response refusal = error_answer(
            std::get<error_status_fault>(*failure).status,
            {error_code::unavailable, "refused by an injected fault"});
        co_await call.respond(std::move(refusal));
        co_return;
    }
    ++m_in_flight;
    const std::uint64_t sequence = record().begin(make_entry(call.received()));
    const run_outcome outcome = co_await answer(call, failure);
    record().end(sequence, outcome, 0);
    --m_in_flight;
}

boost::asio::awaitable<run_outcome>
service::answer(http::exchange& call, const std::optional<fault>& failure)
{
    const auto executor = co_await boost::asio::this_coro::executor;
    const auto control = std::make_shared<run_control>(executor);
    call.on_caller_gone(
        [control]
        {
            control->stop(run_outcome::cut_off);
        });
    if (failure && std::holds_alternative<hang_fault>(*failure))
    {
        co_await control->wait_for_stop();
        co_return run_outcome::cut_off;
    }
    duration delay = m_settings.answer_delay;
    if (failure && std::holds_alternative<delay_fault>(*failure))
    {
        delay += std::get<delay_fault>(*failure).delay;
    }
    // A plain service completes its work even if the caller has disconnected,
    // so the result of the wait is ignored.
    co_await control->wait(delay);
    http::response answer = echo(call.received());
    if (failure && std::holds_alternative<wrong_request_id_fault>(*failure))
    {
        answer.head.headers.set(
            fields::request,
            std::get<wrong_request_id_fault>(*failure).request);
    }
    const bool aborts =
        failure && (std::holds_alternative<disconnect_fault>(*failure) ||
                    std::holds_alternative<truncate_fault>(*failure));
    if (aborts)
    {
        call.cut_off();
        co_return run_outcome::cut_off;
    }
    const status sent = co_await call.respond(std::move(answer));
    co_return is_ok(sent) ? run_outcome::complete : run_outcome::cut_off;
}

http::response service::echo(const http::request& call)
{
    const std::string key(call.headers.value_or_empty(fields::idempotency_key));
    const auto runs = record().runs_of(idempotency_key(key));
    const boost::json::object body{{"method", call.method},
                                   {"target", call.target},
                                   {"body", call.body},
                                   {"key", key},
                                   {"runs_of_key", runs}};
    http::response answer = json_answer(200, boost::json::serialize(body));
    answer.head.headers.set(fields::request,
                            call.headers.value_or_empty(fields::request));
    return answer;
}

} // namespace limpet::standin

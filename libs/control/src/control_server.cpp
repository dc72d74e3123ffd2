#include "control_state.hpp"

#include <limpet/base/log.hpp>
#include <limpet/config/config_publisher.hpp>
#include <limpet/config/force_table.hpp>
#include <limpet/config/operator_api.hpp>
#include <limpet/config/state_machine.hpp>
#include <limpet/control/control_server.hpp>
#include <limpet/http/endpoint.hpp>
#include <limpet/http/server.hpp>
#include <limpet/wire/call_message.hpp>
#include <limpet/wire/link_hub.hpp>

#include <boost/json.hpp>

#include <chrono>

namespace limpet::control
{

namespace net = boost::asio;

namespace
{

std::uint64_t unix_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(now).count());
}

http::response to_http(const config::api_response& made)
{
    http::response answer;
    answer.head.status = made.status;
    answer.head.headers.set("Content-Type", "application/json");
    answer.body = boost::json::serialize(made.body);
    return answer;
}

http::response make_text(std::string text)
{
    http::response answer;
    answer.head.headers.set("Content-Type", "text/plain");
    answer.body = std::move(text);
    return answer;
}

class running_server final : public control_server
{
public:
    running_server(net::io_context& context, control_settings settings)
        : m_context(context),
          m_settings(std::move(settings)),
          m_state(unix_ms())
    {
    }

    status start()
    {
        wire::link_handlers handlers;
        handlers.on_frame = [this](const wire::link_identity& from,
                                   wire::channel kind,
                                   std::string payload)
        {
            if (kind == wire::channel::config)
            {
                take_config(from, payload);
            }
            if (kind == wire::channel::control)
            {
                take_call(from, payload);
            }
        };
        handlers.on_lost = [](const vm_id&) {};
        auto hub = wire::link_hub::listen(m_context,
                                          m_settings.peers,
                                          {m_settings.vm,
                                           m_settings.data_centre,
                                           incarnation(unix_ms()),
                                           http::to_string(m_settings.peers)},
                                          {},
                                          std::move(handlers));
        if (!is_ok(hub))
        {
            return error_of(hub);
        }
        m_hub = std::move(value_of(hub));
        auto server = http::server::listen(m_context,
                                           m_settings.operators,
                                           {},
                                           [this](http::exchange& caller)
                                           {
                                               return handle(caller);
                                           });
        if (!is_ok(server))
        {
            return error_of(server);
        }
        m_server = std::move(value_of(server));
        return success();
    }

    void drain(std::function<void()> on_drained) override
    {
        m_server->stop_accepting();
        net::post(m_context, std::move(on_drained));
    }

    void close() override
    {
        m_server->close();
        m_hub->close();
    }

    net::ip::tcp::endpoint operators() const override
    {
        return m_server->local_endpoint();
    }

private:
    void take_config(const wire::link_identity& from, std::string_view payload)
    {
        const auto address = http::parse_endpoint(from.address);
        const auto message = config::decode_distribution(payload);
        if (!is_ok(message) || !is_ok(address))
        {
            log_event(
                log_level::warn, "frame.malformed", {{"peer", from.vm.get()}});
            return;
        }
        m_hub->set_peer(from.vm, value_of(address));
        const time_point now = monotonic_clock::now();
        std::vector<config::outgoing_message> out;
        if (const auto* sync =
                std::get_if<config::sync_message>(&value_of(message)))
        {
            if (sync->report)
            {
                m_force.receive(from.vm, *sync->report, now);
            }
            m_publisher.receive(from.vm, *sync, served(), now, out);
        }
        else if (const auto* part =
                     std::get_if<config::part_request>(&value_of(message)))
        {
            m_publisher.receive(from.vm, *part, served(), now, out);
        }
        send(out);
    }

    config::served_config served() const
    {
        return {m_state.config().view(), m_state.config().history()};
    }

    void send(const std::vector<config::outgoing_message>& messages)
    {
        for (const config::outgoing_message& item : messages)
        {
            m_hub->send(
                item.to, wire::channel::config, config::encode(item.content));
        }
    }

    void take_call(const wire::link_identity& from, std::string_view payload)
    {
        const auto address = http::parse_endpoint(from.address);
        const auto message = wire::decode_call_message(payload);
        if (!is_ok(message) || !is_ok(address) ||
            !std::holds_alternative<wire::call>(value_of(message)))
        {
            log_event(
                log_level::warn, "frame.malformed", {{"peer", from.vm.get()}});
            return;
        }
        m_hub->set_peer(from.vm, value_of(address));
        const auto& call = std::get<wire::call>(value_of(message));
        auto order = claims::decode_command(call.payload);
        wire::reply reply{call.id, std::string(), m_settings.vm};
        if (is_ok(order))
        {
            value_of(order).at_ms = unix_ms();
            reply.result =
                m_state.apply(++m_index, make_entry(value_of(order)));
        }
        else
        {
            reply.result = error_of(order);
        }
        m_hub->send(from.vm,
                    wire::channel::control,
                    wire::encode(wire::call_message(std::move(reply))));
    }

    net::awaitable<void> handle(http::exchange& caller)
    {
        http::response answer = answer_to(caller.received());
        co_await caller.respond(std::move(answer));
    }

    http::response answer_to(const http::request& request)
    {
        if (request.target == "/healthz" || request.target == "/readyz")
        {
            return make_text("ok\n");
        }
        const config::force_summary force =
            m_force.summary(monotonic_clock::now());
        const config::api_request call{
            request.method,
            request.target,
            std::string(request.headers.value_or_empty("Authorization")),
            request.body};
        auto handled = config::handle_operator(
            call, {m_state.config(), force, unix_ms(), std::nullopt});
        if (const auto* made = std::get_if<config::api_response>(&handled))
        {
            return to_http(*made);
        }
        const auto& order = std::get<config::command>(handled);
        const std::string answer = m_state.apply(++m_index, make_entry(order));
        std::vector<config::outgoing_message> out;
        m_publisher.publish(served(), monotonic_clock::now(), out);
        send(out);
        const auto result = config::parse_result(boost::json::parse(answer));
        return to_http(is_ok(result) ? config::response_to(value_of(result))
                                     : config::response_to(error_of(result)));
    }

    net::io_context& m_context;
    control_settings m_settings;
    control_state m_state;
    std::uint64_t m_index = 0;
    config::config_publisher m_publisher{config::distribution_settings{}};
    config::force_table m_force{
        config::distribution_settings{}.silence_timeout};
    std::shared_ptr<wire::link_hub> m_hub;
    std::unique_ptr<http::server> m_server;
};

} // namespace

outcome<std::unique_ptr<control_server>>
control_server::create(net::io_context& context,
                       const control_settings& settings,
                       std::function<void()>)
{
    auto made = std::make_unique<running_server>(context, settings);
    const status started = made->start();
    if (!is_ok(started))
    {
        return error_of(started);
    }
    return std::unique_ptr<control_server>(std::move(made));
}

} // namespace limpet::control

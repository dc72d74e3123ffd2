#include <limpet/base/log.hpp>
#include <limpet/base/settings_reader.hpp>
#include <limpet/config/authorise.hpp>
#include <limpet/config/state_machine.hpp>
#include <limpet/control/control_server.hpp>
#include <limpet/http/endpoint.hpp>
#include <limpet/http/server.hpp>
#include <limpet/wire/link_hub.hpp>

#include <boost/json.hpp>

#include <chrono>

namespace limpet::control
{

namespace net = boost::asio;

namespace
{

constexpr std::string_view bearer = "Bearer ";

std::uint64_t unix_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(now).count());
}

http::response make_json(unsigned status, const boost::json::value& body)
{
    http::response answer;
    answer.head.status = status;
    answer.head.headers.set("Content-Type", "application/json");
    answer.body = boost::json::serialize(body);
    return answer;
}

http::response make_error(unsigned status, const error& reason)
{
    return make_json(status,
                     boost::json::object{
                         {"error",
                          boost::json::object{{"code", to_string(reason.code)},
                                              {"message", reason.message}}}});
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
                                   std::string)
        {
            if (kind == wire::channel::config)
            {
                send_config(from);
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
    void send_config(const wire::link_identity& from)
    {
        const auto address = http::parse_endpoint(from.address);
        if (!is_ok(address))
        {
            return;
        }
        m_hub->set_peer(from.vm, value_of(address));
        m_hub->send(from.vm,
                    wire::channel::config,
                    config::encode_view(*m_state.view()));
    }

    net::awaitable<void> handle(http::exchange& caller)
    {
        http::response answer = answer_to(caller.received());
        co_await caller.respond(std::move(answer));
    }

    http::response answer_to(const http::request& request)
    {
        if (request.target == "/healthz")
        {
            return make_json(200, "ok");
        }
        if (request.method == "POST" && request.target == "/v1/commands")
        {
            return take_command(request);
        }
        return make_error(404, {error_code::not_found, "no such resource"});
    }

    http::response take_command(const http::request& request)
    {
        const auto document = parse_json(request.body);
        if (!is_ok(document))
        {
            return make_error(400, error_of(document));
        }
        auto command = config::parse_command(value_of(document));
        if (!is_ok(command))
        {
            return make_error(400, error_of(command));
        }
        config::command& order = value_of(command);
        order.submitted_unix_ms = unix_ms();
        const std::string_view field =
            request.headers.value_or_empty("Authorization");
        const auto* author =
            field.starts_with(bearer)
                ? m_state.view()->operator_of_token(
                      config::sha256(field.substr(bearer.size())))
                : nullptr;
        if (author != nullptr)
        {
            order.author = author->value.id;
            const status allowed =
                config::authorise(*m_state.view(), author->value, order.what);
            if (!is_ok(allowed))
            {
                return make_error(403, error_of(allowed));
            }
        }
        const config::command_result result = m_state.apply(++m_index, order);
        const bool ok = std::holds_alternative<config::accepted>(result);
        return make_json(ok ? 200 : 409, config::to_json(result));
    }

    net::io_context& m_context;
    control_settings m_settings;
    config::state_machine m_state;
    std::uint64_t m_index = 0;
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

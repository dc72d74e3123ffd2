#include "context_thread.hpp"
#include "data_folder.hpp"

#include <limpet/base/settings_reader.hpp>
#include <limpet/config/sha256.hpp>
#include <limpet/control/control_server.hpp>
#include <limpet/http/endpoint.hpp>
#include <limpet/local_fleet/fleet.hpp>
#include <limpet/pipeline/router.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <openssl/sha.h>

#include <array>

namespace limpet::local_fleet
{

namespace
{

using boost::asio::ip::tcp;

constexpr std::string_view operator_token = "local-operator-token";
constexpr duration start_limit = seconds(30);
constexpr unsigned most_start_tries = 5;
constexpr duration start_poll = milliseconds(20);
constexpr duration answer_limit = seconds(60);
constexpr std::size_t most_answer_bytes = 64UL * 1024 * 1024;

tcp::endpoint any_port()
{
    return {boost::asio::ip::address_v4::loopback(), 0};
}

/// Returns an address whose port was free a moment ago, for parts that must
/// know each other's address before they listen.
tcp::endpoint free_port(boost::asio::io_context& context)
{
    return tcp::acceptor(context, any_port()).local_endpoint();
}

std::string hex_digest(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> bytes{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()),
           text.size(),
           bytes.data());
    std::string hex;
    for (const unsigned char byte : bytes)
    {
        hex += digits[byte >> 4U];
        hex += digits[byte & 15U];
    }
    return hex;
}

std::string vm_name(std::size_t router)
{
    return "router-" + std::to_string(router + 1);
}

std::string data_centre_name(std::size_t router)
{
    return "north-" + std::to_string(router + 1);
}

/// Returns the configuration's objects in the order of their creation.
boost::json::array make_objects(const fleet_options& options)
{
    const boost::json::object parameters{
        {"priority", 5},
        {"share", 100},
        {"models", boost::json::array{model_name}},
        {"max_output_tokens", 100000},
        {"deadline_ms", 60000},
        {"queue_time_ms", 5000},
        {"max_open_requests", options.max_open_requests},
        {"chat_retention_ms", 14400000},
        {"routes",
         boost::json::array{
             boost::json::object{{"kind", "chat"}, {"repeatable", true}}}}};
    return {{{"kind", "operator"},
             {"id", "admin"},
             {"token_sha256", hex_digest(operator_token)}},
            {{"kind", "partner"},
             {"id", "bureau"},
             {"share", 100},
             {"guaranteed_percent", 40}},
            {{"kind", "template"},
             {"id", "chats"},
             {"partner", "bureau"},
             {"parameters", parameters}},
            {{"kind", "team"},
             {"id", "clinics"},
             {"partner", "bureau"},
             {"template", "chats"},
             {"keys_sha256", boost::json::array{hex_digest(team_key)}}},
            {{"kind", "service_route"},
             {"id", "bureau/alerts"},
             {"service", "alerts"}}};
}

/// One router with its thread.
struct running_router
{
    std::unique_ptr<context_thread> thread;
    std::unique_ptr<pipeline::router> process;
};

class running_fleet : public fleet
{
public:
    explicit running_fleet(const fleet_options& options)
        : m_options(options),
          m_client(http::client::create({}))
    {
    }

    ~running_fleet() override
    {
        for (running_router& router : m_routers)
        {
            if (router.process)
            {
                router.process->close();
            }
        }
        if (m_servers)
        {
            m_servers->close();
        }
        if (m_control)
        {
            m_control->close();
        }
        m_caller_thread.stop();
        for (running_router& router : m_routers)
        {
            router.thread->stop();
        }
        m_server_thread.stop();
        m_control_thread.stop();
    }

    status open()
    {
        status opened = open_control();
        if (is_ok(opened))
        {
            opened = open_routers();
        }
        if (is_ok(opened))
        {
            opened = open_servers();
        }
        if (is_ok(opened))
        {
            opened = configure();
        }
        return is_ok(opened) ? wait_for_chats() : opened;
    }

    tcp::endpoint callers(std::size_t router) const override
    {
        return m_routers[router].process->callers();
    }

    tcp::endpoint backends(std::size_t router) const override
    {
        return m_routers[router].process->backends();
    }

    duration processor_time(std::size_t router) const override
    {
        return m_routers[router].thread->processor_time();
    }

    standin::server_group& servers() override
    {
        return *m_servers;
    }

    std::variant<http::response, http::request_failure>
    fetch(const tcp::endpoint& server, http::request message) override
    {
        const auto strand = boost::asio::make_strand(m_caller_thread.context());
        return boost::asio::co_spawn(strand,
                                     m_client->fetch(server,
                                                     std::move(message),
                                                     answer_limit,
                                                     most_answer_bytes),
                                     boost::asio::use_future)
            .get();
    }

    boost::asio::io_context& caller_context() override
    {
        return m_caller_thread.context();
    }

private:
    status open_control()
    {
        control::control_settings settings;
        settings.vm = vm_id("control-1");
        settings.data_centre = data_centre_id(data_centre_name(0));
        settings.operators = any_port();
        settings.peers = free_port(m_control_thread.context());
        settings.data_folder = m_folder.path();
        m_control_address = settings.peers;
        auto created = control::control_server::create(
            m_control_thread.context(), settings);
        if (!is_ok(created))
        {
            return error_of(created);
        }
        m_control = std::move(value_of(created));
        return success();
    }

    status open_routers()
    {
        std::vector<membership::peer> peers;
        for (std::size_t i = 0; i < m_options.routers; ++i)
        {
            membership::peer self;
            self.vm = vm_id(vm_name(i));
            self.data_centre = data_centre_id(data_centre_name(i));
            self.region = region_id("north");
            self.address =
                http::to_string(free_port(m_caller_thread.context()));
            peers.push_back(self);
        }
        for (const membership::peer& self : peers)
        {
            status opened = open_router(self, peers);
            if (!is_ok(opened))
            {
                return opened;
            }
        }
        return success();
    }

    status open_router(const membership::peer& self,
                       const std::vector<membership::peer>& peers)
    {
        pipeline::router_settings settings;
        settings.self = self;
        settings.callers = any_port();
        settings.backends = any_port();
        settings.peers = value_of(http::parse_endpoint(self.address));
        settings.seeds = peers;
        settings.control = {{vm_id("control-1"), m_control_address}};
        settings.threads = 1;
        settings.max_callers = 100000;
        running_router router;
        router.thread = std::make_unique<context_thread>();
        auto created =
            pipeline::router::create(router.thread->context(), settings, [] {});
        if (!is_ok(created))
        {
            return error_of(created);
        }
        router.process = std::move(value_of(created));
        m_routers.push_back(std::move(router));
        return success();
    }

    status open_servers()
    {
        standin::server_settings engine;
        engine.id = engine_id(std::string(engine_name));
        engine.data_centre =
            data_centre_id(data_centre_name(m_options.routers - 1));
        engine.listen = any_port();
        standin::engine_settings behaviour = m_options.engine;
        behaviour.models = {std::string(model_name)};
        engine.behaviour = behaviour;
        standin::server_settings service = engine;
        service.id = engine_id(std::string(service_name));
        standin::service_settings plain;
        plain.services = {"alerts"};
        service.behaviour = plain;
        standin::standin_settings settings;
        settings.servers = {engine, service};
        settings.renew_period = milliseconds(200);
        for (const running_router& router : m_routers)
        {
            settings.announce_to.push_back(router.process->backends());
        }
        auto created =
            standin::server_group::create(m_server_thread.context(), settings);
        if (!is_ok(created))
        {
            return error_of(created);
        }
        m_servers = std::move(value_of(created));
        return success();
    }

    status configure()
    {
        const time_point until = monotonic_clock::now() + start_limit;
        std::size_t number = 0;
        for (const boost::json::value& object : make_objects(m_options))
        {
            http::request message;
            message.method = "POST";
            message.target = "/v1/commands";
            message.headers.set("Authorization",
                                "Bearer " + std::string(operator_token));
            message.body = boost::json::serialize(boost::json::object{
                {"operation", "local-" + std::to_string(++number)},
                {"expected_revision", 0},
                {"put", object}});
            status done =
                repeat_until_ok(m_control->operators(), message, until);
            if (!is_ok(done))
            {
                return done;
            }
        }
        return success();
    }

    status wait_for_chats()
    {
        const time_point until = monotonic_clock::now() + start_limit;
        for (std::size_t i = 0; i < m_routers.size(); ++i)
        {
            const status chat =
                repeat_until_ok(callers(i), make_chat("start", false), until);
            const status alert =
                repeat_until_ok(callers(i), make_alert("start"), until);
            if (!is_ok(chat) || !is_ok(alert))
            {
                return is_ok(chat) ? alert : chat;
            }
        }
        return success();
    }

    /// Sends the request until it is answered with status 200.
    status repeat_until_ok(const tcp::endpoint& server,
                           const http::request& message,
                           time_point until)
    {
        std::string last = "no answer";
        while (monotonic_clock::now() < until)
        {
            const auto result = fetch(server, message);
            if (const auto* answer = std::get_if<http::response>(&result))
            {
                if (answer->head.status == 200)
                {
                    return success();
                }
                last = answer->body;
            }
            boost::asio::steady_timer pause(m_caller_thread.context());
            pause.expires_after(start_poll);
            pause.async_wait(boost::asio::use_future).get();
        }
        return error{error_code::timeout, "the fleet did not start: " + last};
    }

    const fleet_options m_options;
    data_folder m_folder;
    tcp::endpoint m_control_address;
    context_thread m_control_thread;
    context_thread m_server_thread;
    context_thread m_caller_thread;
    // Kept connections must not outlive their context.
    std::shared_ptr<http::client> m_client;
    std::unique_ptr<control::control_server> m_control;
    std::unique_ptr<standin::server_group> m_servers;
    std::vector<running_router> m_routers;
};

http::request make_call(std::string target, std::string body)
{
    http::request message;
    message.method = "POST";
    message.target = std::move(target);
    message.headers.set("Authorization", "Bearer " + std::string(team_key));
    message.body = std::move(body);
    return message;
}

} // namespace

outcome<std::unique_ptr<fleet>> fleet::start(const fleet_options& options)
{
    status opened = success();
    for (unsigned tries = 0; tries < most_start_tries; ++tries)
    {
        auto started = std::make_unique<running_fleet>(options);
        opened = started->open();
        if (is_ok(opened))
        {
            return std::unique_ptr<fleet>(std::move(started));
        }
        // A port found free may have been taken since.
        if (error_of(opened).code != error_code::io_error)
        {
            break;
        }
    }
    return error_of(opened);
}

http::request make_chat(const std::string& chat, bool stream)
{
    const boost::json::object body{
        {"messages",
         boost::json::array{
             boost::json::object{{"role", "user"}, {"content", "hello"}}}},
        {"stream", stream}};
    http::request message =
        make_call("/v1/chat/completions", boost::json::serialize(body));
    message.headers.set("Limpet-Chat", chat);
    return message;
}

http::request make_alert(const std::string& body)
{
    return make_call("/services/alerts/send", body);
}

} // namespace limpet::local_fleet

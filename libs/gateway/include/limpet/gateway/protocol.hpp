/// \file
/// What a gateway needs to know of a request and an answer, whatever names
/// they bear on the wire.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/outcome.hpp>
#include <limpet/base/units.hpp>
#include <limpet/directory/plan.hpp>
#include <limpet/http/message.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpet::gateway
{

/// A part of a prompt that several requests may share.
struct prompt_part
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// Returns the part by which requests that share most of their prompt are
/// kept together: the last one that is not the request's own. The list must
/// not be empty.
const prompt_part& subject_of(const std::vector<prompt_part>& parts);

/// What a request tells of itself.
struct call
{
    request_id id;
    std::string host;
    /// Key of the tenant, empty if there is none.
    std::string key;
    /// Time that the caller waits for the whole answer.
    std::optional<duration> patience;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    /// Parts of the prompt in order; the last one is the request's own.
    std::vector<prompt_part> parts;
    /// Last event that the caller has of an earlier run, 0 for none.
    std::uint64_t last_event = 0;
};

/// What the gateway adds to a request that it sends on.
struct forward_order
{
    engine_id server;
    std::string tenant;
    duration time_left{};
    /// Last event that was passed on of an earlier run, 0 for none.
    std::uint64_t last_event = 0;
    /// Server from whose memory the prompt's shared parts may be copied.
    std::optional<boost::asio::ip::tcp::endpoint> copy_from;
};

/// Load that a server stated with an answer.
struct server_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// What the head of a server's answer tells.
struct server_answer
{
    /// The server states that the request has not run and never will.
    bool has_not_run = false;
    /// The server is another one than the request was meant for.
    bool is_other_server = false;
    /// Whether the answer may be passed on as it is.
    bool is_intact = true;
    /// The server takes no further requests on this connection.
    bool closes = false;
    request_id id;
    std::optional<server_load> load;
};

/// Why the gateway itself answers.
enum class refusal_cause
{
    no_plan,       ///< No configuration is known yet.
    shutting_down, ///< The gateway ends before the request could.
    unknown_route, ///< No route has the host and path.
    unknown_key,   ///< No tenant holds the key.
    malformed,     ///< The request lacks what it must tell.
    no_server,     ///< No server of the service is known to work.
    no_room,       ///< No server can begin the request in time.
    not_run,       ///< Servers refused the request; it has not run.
    failed,        ///< A server failed; the request may have run.
    timed_out,     ///< Time is up; the request may have run.
};

std::string_view to_string(refusal_cause cause) noexcept;

/// Returns whether the request has certainly not run.
constexpr bool is_not_run(refusal_cause cause) noexcept
{
    return cause != refusal_cause::failed && cause != refusal_cause::timed_out;
}

/// Translates between messages and the types above. Stateless.
class protocol
{
public:
    virtual ~protocol() = default;

    /// Parses a configuration document that a control replica sent.
    virtual outcome<directory::plan>
    read_document(std::string_view text) const = 0;

    /// Errors: malformed.
    virtual outcome<call> read_call(const http::request& message) const = 0;

    /// Returns the request as a server gets it.
    virtual http::request make_forward(const http::request& message,
                                       const forward_order& order) const = 0;

    virtual server_answer
    read_answer(const http::response_head& head) const = 0;

    /// Returns the answer to a request that the gateway gives up. A caller
    /// may come back after the time, if one is given.
    virtual http::response
    make_refusal(refusal_cause cause,
                 const request_id& id,
                 std::optional<duration> come_back) const = 0;

    /// Returns whether the request asks if the router takes connections.
    virtual bool asks_readiness(const http::request& message) const = 0;
};

} // namespace limpet::gateway

#include "server_refusal.hpp"

namespace limpet::gateway
{

namespace
{

constexpr unsigned service_unavailable = 503;
/// Time after which connections and requests that do not go on have given up
/// their room.
constexpr duration retry_after_no_room = milliseconds(500);

} // namespace

http::response make_server_refusal(const protocol& codec,
                                   unsigned status,
                                   std::string_view reason)
{
    if (status == service_unavailable)
    {
        return codec.make_refusal(
            refusal_cause::no_room, request_id(), retry_after_no_room);
    }
    http::response answer;
    answer.head.status = status;
    answer.head.headers.set("Content-Type", "text/plain");
    answer.body = std::string(reason) + "\n";
    return answer;
}

} // namespace limpet::gateway

#include <limpet/http/metrics_server.hpp>

#include <utility>

namespace limpet::http
{

outcome<std::unique_ptr<server>>
listen_for_metrics(boost::asio::io_context& context,
                   const boost::asio::ip::tcp::endpoint& endpoint,
                   std::function<std::string()> make_text)
{
    // A few scrapers, whose requests have no body.
    server_limits limits;
    limits.body_bytes = 1024;
    limits.total_request_bytes = 256UL * 1024;
    limits.connections = 32;
    return server::listen(context,
                          endpoint,
                          limits,
                          [make = std::move(make_text)](
                              exchange& caller) -> boost::asio::awaitable<void>
                          {
                              response answer;
                              answer.head.headers.set(
                                  "Content-Type", "text/plain; version=0.0.4");
                              answer.body = make();
                              co_await caller.respond(std::move(answer));
                          });
}

} // namespace limpet::http

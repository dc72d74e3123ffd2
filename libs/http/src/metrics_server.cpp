#include <limpet/http/metrics_server.hpp>

#include <utility>

namespace limpet::http
{

outcome<std::unique_ptr<server>>
listen_for_metrics(boost::asio::io_context& context,
                   const boost::asio::ip::tcp::endpoint& endpoint,
                   std::function<std::string()> make_text)
{
    return server::listen(context,
                          endpoint,
                          {},
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

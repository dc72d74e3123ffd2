#include "socket_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace limpet::wire
{

void set_link_options(boost::asio::ip::tcp::socket& socket,
                      duration silence_timeout)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    const auto timeout_ms = static_cast<unsigned>(
        std::chrono::duration_cast<milliseconds>(silence_timeout).count());
    ::setsockopt(socket.native_handle(),
                 IPPROTO_TCP,
                 TCP_USER_TIMEOUT,
                 &timeout_ms,
                 sizeof(timeout_ms));
}

} // namespace limpet::wire

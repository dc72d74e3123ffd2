#include "socket_options.hpp"

#include <limpet/http/silence.hpp>

namespace limpet::wire
{

void set_link_options(boost::asio::ip::tcp::socket& socket,
                      duration silence_timeout)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    http::end_when_silent(socket, silence_timeout);
}

} // namespace limpet::wire

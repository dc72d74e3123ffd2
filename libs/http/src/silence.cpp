#include <limpet/http/silence.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace limpet::http
{

namespace
{

void set(int handle, int level, int name, int value)
{
    ::setsockopt(handle, level, name, &value, sizeof(value));
}

int get(int handle, int level, int name)
{
    int value = 0;
    socklen_t size = sizeof(value);
    ::getsockopt(handle, level, name, &value, &size);
    return value;
}

} // namespace

void set_silence_options(boost::asio::ip::tcp::socket& socket,
                         const silence_options& options)
{
    const int handle = socket.native_handle();
    set(handle,
        IPPROTO_TCP,
        TCP_USER_TIMEOUT,
        static_cast<int>(options.user_timeout.count()));
    set(handle,
        IPPROTO_TCP,
        TCP_KEEPIDLE,
        static_cast<int>(options.probe_idle.count()));
    set(handle,
        IPPROTO_TCP,
        TCP_KEEPINTVL,
        static_cast<int>(options.probe_interval.count()));
    set(handle, IPPROTO_TCP, TCP_KEEPCNT, options.probes);
    set(handle, SOL_SOCKET, SO_KEEPALIVE, options.probes > 0 ? 1 : 0);
}

silence_options silence_options_of(boost::asio::ip::tcp::socket& socket)
{
    const int handle = socket.native_handle();
    const bool probes = get(handle, SOL_SOCKET, SO_KEEPALIVE) != 0;
    return {milliseconds(get(handle, IPPROTO_TCP, TCP_USER_TIMEOUT)),
            seconds(get(handle, IPPROTO_TCP, TCP_KEEPIDLE)),
            seconds(get(handle, IPPROTO_TCP, TCP_KEEPINTVL)),
            probes ? get(handle, IPPROTO_TCP, TCP_KEEPCNT) : 0};
}

void end_when_silent(boost::asio::ip::tcp::socket& socket, duration timeout)
{
    set_silence_options(socket, options_for_silence(timeout));
}

} // namespace limpet::http

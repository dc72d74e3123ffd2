#include "event_loop.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace limpet::control
{

event_loop make_event_loop(boost::asio::io_context& context)
{
    event_loop result;
    result.now = []
    {
        return monotonic_clock::now();
    };
    result.call_after = [&context](duration delay, std::function<void()> call)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(context);
        timer->expires_after(delay);
        timer->async_wait(
            [timer, call = std::move(call)](boost::system::error_code failure)
            {
                if (!failure)
                {
                    call();
                }
            });
    };
    return result;
}

} // namespace limpet::control

#include "request_ids.hpp"

#include <limpet/base/units.hpp>

#include <chrono>

namespace limpet::pipeline
{

namespace
{

/// Separates the parts of an id. VM names do not end with a number enclosed in
/// separators.
constexpr char separator = '~';

} // namespace

request_id_source::request_id_source(const vm_id& self, incarnation started)
    : m_prefix(self.get() + separator + std::to_string(started.get()) +
               separator)
{
}

request_id request_id_source::next()
{
    return request_id(m_prefix + std::to_string(m_next++));
}

bool is_issuer_alive(const request_id& id, const membership::view& routers)
{
    const std::string& text = id.get();
    const std::size_t second = text.rfind(separator);
    if (second == std::string::npos || second == 0)
    {
        return true;
    }
    const std::size_t first = text.rfind(separator, second - 1);
    if (first == std::string::npos)
    {
        return true;
    }
    const auto* router = routers.find_router(vm_id(text.substr(0, first)));
    const std::string started = text.substr(first + 1, second - first - 1);
    return router != nullptr &&
           std::to_string(router->started.get()) == started;
}

incarnation make_incarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return incarnation(static_cast<std::uint64_t>(
        std::chrono::duration_cast<microseconds>(now).count()));
}

} // namespace limpet::pipeline

#include "flatbuffer_registrations.hpp"

#include "flatbuffer_text.hpp"

namespace limpet::directory
{

namespace
{

server_state read_state(std::uint8_t from)
{
    switch (from)
    {
    case static_cast<std::uint8_t>(server_state::draining):
        return server_state::draining;
    case static_cast<std::uint8_t>(server_state::gone):
        return server_state::gone;
    case static_cast<std::uint8_t>(server_state::silent):
        return server_state::silent;
    default:
        return server_state::ready;
    }
}

} // namespace

registration read_registration(const fb::registration& from, time_point now)
{
    registration out;
    out.id = engine_id(text_or_empty(from.id()));
    out.service = text_or_empty(from.service());
    out.address = text_or_empty(from.address());
    out.data_centre = data_centre_id(text_or_empty(from.data_centre()));
    out.born_ms = from.born_ms();
    out.sequence = from.sequence();
    out.slots = from.slots();
    out.version = text_or_empty(from.version());
    out.state = read_state(from.state());
    if (from.cold_ms() > 0)
    {
        out.cold_until = now + milliseconds(from.cold_ms());
    }
    out.heard_at = now - milliseconds(from.silent_ms());
    return out;
}

} // namespace limpet::directory

/// \file
/// Hash that identifies a chat in placement decisions.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/strong_type.hpp>

#include <cstdint>

namespace limpet::placement
{

/// Hash of a team and its chat id, identical on every router. A collision
/// between two chats reduces cache reuse but does not affect correctness.
using chat_key = strong_type<struct chat_key_tag, std::uint64_t>;

/// Returns the key of the chat within the team.
chat_key make_chat_key(const team_id& team, const chat_id& chat);

} // namespace limpet::placement

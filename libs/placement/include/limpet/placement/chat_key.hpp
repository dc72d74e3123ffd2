/// \file
/// Hash that stands for a chat in all placement decisions.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/strong_type.hpp>

#include <cstdint>

namespace limpet::placement
{

/// Hash of a team's chat, equal on every router. Two chats that share a key
/// cost cache reuse, never correctness.
using chat_key = strong_type<struct chat_key_tag, std::uint64_t>;

/// Returns the key of the team's chat.
chat_key make_chat_key(const team_id& team, const chat_id& chat);

} // namespace limpet::placement

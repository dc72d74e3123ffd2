#include <limpet/base/hash.hpp>
#include <limpet/placement/chat_key.hpp>

namespace limpet::placement
{

chat_key make_chat_key(const team_id& team, const chat_id& chat)
{
    return chat_key(
        combine_hashes(stable_hash(team.get()), stable_hash(chat.get())));
}

} // namespace limpet::placement

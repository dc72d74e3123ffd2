#include <limpet/consensus/membership.hpp>
#include <limpet/storage/bytes.hpp>

#include <algorithm>

namespace limpet::consensus
{

membership membership::founded_by(const replica_id& voter)
{
    membership result;
    result.m_members[voter] = member_role::voter;
    return result;
}

bool membership::contains(const replica_id& id) const
{
    return m_members.contains(id);
}

bool membership::is_voter(const replica_id& id) const
{
    const auto found = m_members.find(id);
    return found != m_members.end() && found->second == member_role::voter;
}

std::size_t membership::voters() const
{
    const auto is_one = [](const auto& member)
    {
        return member.second == member_role::voter;
    };
    return static_cast<std::size_t>(
        std::count_if(m_members.begin(), m_members.end(), is_one));
}

std::size_t membership::quorum() const
{
    return voters() / 2 + 1;
}

bool membership::is_superseded(const replica_id& id) const
{
    const auto other = other_incarnation(id);
    return !contains(id) && other && other->storage > id.storage;
}

std::optional<replica_id>
membership::other_incarnation(const replica_id& id) const
{
    for (const auto& [member, role] : m_members)
    {
        if (member.vm == id.vm && member.storage != id.storage)
        {
            return member;
        }
    }
    return std::nullopt;
}

std::optional<membership>
membership::changed(const membership_change& change) const
{
    membership result = *this;
    const bool known = contains(change.member);
    const bool voter = is_voter(change.member);
    const auto former = other_incarnation(change.member);
    switch (change.kind)
    {
    case change_kind::add_learner:
        if (known)
        {
            return std::nullopt;
        }
        result.m_members[change.member] = member_role::learner;
        return result;
    case change_kind::promote:
        if (!known || voter || (former && is_voter(*former)))
        {
            return std::nullopt;
        }
        result.m_members[change.member] = member_role::voter;
        return result;
    case change_kind::remove:
        if (!known || (voter && voters() == 1))
        {
            return std::nullopt;
        }
        result.m_members.erase(change.member);
        return result;
    }
    return std::nullopt;
}

std::string membership::encode() const
{
    std::string out;
    storage::put(out, static_cast<std::uint32_t>(m_members.size()));
    for (const auto& [member, role] : m_members)
    {
        storage::put_text(out, member.vm.get());
        storage::put(out, member.storage.get());
        storage::put(out, role);
    }
    return out;
}

std::optional<membership> membership::decode(std::string_view bytes)
{
    storage::byte_reader in(bytes);
    membership result;
    const auto count = in.get<std::uint32_t>();
    for (std::uint32_t i = 0; i < count && in.ok(); ++i)
    {
        const vm_id vm{std::string(in.get_text())};
        const incarnation number{in.get<std::uint64_t>()};
        const auto role = in.get<std::uint8_t>();
        if (role > static_cast<std::uint8_t>(member_role::voter))
        {
            return std::nullopt;
        }
        result.m_members[{vm, number}] = member_role{role};
    }
    if (!in.finished())
    {
        return std::nullopt;
    }
    return result;
}

} // namespace limpet::consensus

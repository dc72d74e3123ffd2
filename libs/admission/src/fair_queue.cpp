#include <limpet/admission/fair_queue.hpp>

namespace limpet::admission
{

fair_queue::fair_queue(queue_settings settings)
    : m_settings(settings),
      m_shares(std::make_shared<const share_table>())
{
}

void fair_queue::set_shares(std::shared_ptr<const share_table> shares)
{
    m_shares = std::move(shares);
}

bool fair_queue::has_room(const queue_item& item) const
{
    const auto partner = m_partners.find(item.partner);
    if (partner == m_partners.end())
    {
        return m_settings.partner_capacity > 0;
    }
    if (partner->second.size >= m_settings.partner_capacity)
    {
        return false;
    }
    const auto team = partner->second.teams.find(item.team);
    return team == partner->second.teams.end() ||
           team->second.requests.size() < m_settings.team_capacity;
}

bool fair_queue::push(const queue_item& item)
{
    if (!has_room(item) || m_waiting.contains(item.id))
    {
        return false;
    }
    const queue_position position{item.priority, m_next_arrival++};
    partner_queue& partner = m_partners[item.partner];
    partner.teams[item.team].requests.emplace(position, item.id);
    partner.ring.activate(item.team, m_shares->share_of(item.team));
    ++partner.size;
    m_ring.activate(item.partner, m_shares->share_of(item.partner));
    m_deadlines.emplace(item.deadline, item.id);
    m_waiting.emplace(item.id, waiting_request{item, position});
    return true;
}

std::optional<queue_item> fair_queue::pop(const partner_filter& may_start)
{
    const auto cost_of = [&](const partner_id& id) -> std::optional<double>
    {
        if (!may_start(id))
        {
            return std::nullopt;
        }
        partner_queue& partner = m_partners.at(id);
        return head_cost(partner, *select_team(partner));
    };
    const std::optional<partner_id> id = m_ring.select(cost_of);
    if (!id)
    {
        return std::nullopt;
    }
    partner_queue& partner = m_partners.at(*id);
    const team_id team = *select_team(partner);
    const queue_item item = head(partner, team);
    const auto cost = static_cast<double>(item.cost.get());
    partner.ring.charge(team, cost);
    m_ring.charge(*id, cost);
    remove(item.id);
    return item;
}

bool fair_queue::erase(const request_id& id)
{
    if (!m_waiting.contains(id))
    {
        return false;
    }
    remove(id);
    return true;
}

std::vector<queue_item> fair_queue::expire(time_point now)
{
    std::vector<queue_item> expired;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
    {
        const request_id id = m_deadlines.begin()->second;
        expired.push_back(m_waiting.at(id).item);
        remove(id);
    }
    return expired;
}

std::optional<time_point> fair_queue::next_deadline() const
{
    if (m_deadlines.empty())
    {
        return std::nullopt;
    }
    return m_deadlines.begin()->first;
}

std::size_t fair_queue::size() const noexcept
{
    return m_waiting.size();
}

std::size_t fair_queue::size_of(const partner_id& partner) const
{
    const auto found = m_partners.find(partner);
    return found == m_partners.end() ? 0 : found->second.size;
}

std::optional<double> fair_queue::head_cost(const partner_queue& partner,
                                            const team_id& team) const
{
    return static_cast<double>(head(partner, team).cost.get());
}

std::optional<team_id> fair_queue::select_team(partner_queue& partner)
{
    return partner.ring.select(
        [&](const team_id& team)
        {
            return head_cost(partner, team);
        });
}

const queue_item& fair_queue::head(const partner_queue& partner,
                                   const team_id& team) const
{
    const request_id& id = partner.teams.at(team).requests.begin()->second;
    return m_waiting.at(id).item;
}

void fair_queue::remove(const request_id& id)
{
    const auto found = m_waiting.find(id);
    const queue_item& item = found->second.item;
    const auto partner = m_partners.find(item.partner);
    const auto team = partner->second.teams.find(item.team);
    team->second.requests.erase(found->second.position);
    if (team->second.requests.empty())
    {
        partner->second.ring.deactivate(item.team);
        partner->second.teams.erase(team);
    }
    if (--partner->second.size == 0)
    {
        m_ring.deactivate(item.partner);
        m_partners.erase(partner);
    }
    m_deadlines.erase({item.deadline, item.id});
    m_waiting.erase(found);
}

} // namespace limpet::admission

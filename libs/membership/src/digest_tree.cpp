#include "digest_tree.hpp"

#include <algorithm>

namespace limpet::membership
{

namespace
{

constexpr auto report_timeout = milliseconds(100);
/// Reports older than this are excluded from the sums.
constexpr auto max_report_age = seconds(2);
constexpr auto max_data_centre_age = seconds(3);
constexpr std::size_t max_contacts = 6;
constexpr std::size_t contacts_per_message = 3;
constexpr std::size_t max_regions = 64;

void add_sums(load_rows& total, const load_rows& part)
{
    for (const auto& [model, row] : part)
    {
        auto& sum = total[model];
        sum.in_flight += row.in_flight;
        sum.eligible += row.eligible;
    }
}

std::uint16_t to_age_ms(duration age)
{
    const auto count = std::chrono::duration_cast<milliseconds>(age).count();
    return static_cast<std::uint16_t>(
        std::clamp<std::int64_t>(count, 0, UINT16_MAX));
}

/// Returns the sums without contacts, which only the gateway needs.
region_sums without_contacts(region_sums input)
{
    input.contacts.clear();
    return input;
}

/// Returns the index of the first child. The root has one child, as it also
/// exchanges sums with other roots; every other router has up to two.
std::size_t first_child_of(std::size_t index)
{
    return index == 0 ? 1 : 2 * index;
}

std::size_t parent_of(std::size_t index)
{
    return index / 2;
}

/// Routers of each data centre, ordered by their index in the tree.
using trees = std::map<data_centre_id, std::vector<key>>;

trees build_trees(const region_state& state)
{
    trees result;
    for (const auto& [name, entry] : state.routers())
    {
        if (entry.record.is_member())
        {
            result[entry.record.self.data_centre].push_back(name);
        }
    }
    for (auto& [data_centre, names] : result)
    {
        const auto salt = stable_hash(data_centre.get());
        std::ranges::sort(names,
                          {},
                          [salt](key name)
                          {
                              return combine_hashes(salt, name);
                          });
    }
    return result;
}

} // namespace

digest_tree::digest_tree(region_state& state,
                         const ownership_tracker& owned,
                         outbox& out,
                         const std::vector<peer>& seeds,
                         time_point now)
    : m_state(state),
      m_owned(owned),
      m_out(out),
      m_next_round(now),
      m_next_exchange(now)
{
    for (const auto& seed : seeds)
    {
        if (seed.region != state.self().self.region)
        {
            m_other_regions[seed.region].contacts.push_back(seed);
        }
    }
}

void digest_tree::update_position()
{
    if (m_position.version == m_state.routers_version())
    {
        return;
    }
    m_position = {};
    m_position.version = m_state.routers_version();
    const auto all = build_trees(m_state);
    const auto own = all.find(m_state.self().self.data_centre);
    if (own == all.end())
    {
        return;
    }
    const auto& names = own->second;
    const auto found = std::ranges::find(names, m_state.self_key());
    if (found == names.end())
    {
        return;
    }
    const auto index = static_cast<std::size_t>(found - names.begin());
    m_position.is_root = index == 0;
    m_position.parent = index == 0 ? 0 : names[parent_of(index)];
    for (auto child = first_child_of(index);
         child < first_child_of(index + 1) && child < names.size();
         ++child)
    {
        m_position.children.push_back(names[child]);
    }
    // The last router of a tree has no children, so it has the least load.
    m_position.gateway = all.begin()->second.back();
    for (const auto& [data_centre, others] : all)
    {
        m_position.roots.push_back(others.front());
    }
}

void digest_tree::send(key to, const body& content)
{
    if (const auto* receiver = m_state.find_router(to))
    {
        m_out.send(receiver->record.self, traffic::digests, content);
    }
}

void digest_tree::tick(time_point now)
{
    update_position();
    if (m_round_deadline && now >= *m_round_deadline)
    {
        complete_round(now);
    }
    if (m_position.is_root && now >= m_next_round)
    {
        m_next_round = now + m_state.values().digest_period;
        begin_round(now);
    }
    if (now >= m_next_exchange)
    {
        m_next_exchange = now + m_state.values().region_period;
        exchange_regions(now);
    }
}

void digest_tree::begin_round(time_point now)
{
    ++m_round;
    sum_region(now);
    send_collect(now);
}

void digest_tree::send_collect(time_point now)
{
    m_awaited = {m_position.children.begin(), m_position.children.end()};
    m_round_deadline = now + report_timeout;
    auto sums = m_region_sums ? m_region_sums->sums : load_sums{};
    if (m_region_sums)
    {
        sums.age_ms = to_age_ms(m_region_sums->age(now));
    }
    for (const auto child : m_position.children)
    {
        send(child, collect{m_round, sums});
    }
    if (m_awaited.empty())
    {
        complete_round(now);
    }
}

void digest_tree::on_collect(key from, const collect& round, time_point now)
{
    update_position();
    if (m_position.is_root)
    {
        // The sender has different records of the routers. This router remains
        // root and continues its own rounds.
        return;
    }
    m_region_sums = timed_sums{round.sums, now};
    if (from != m_position.parent)
    {
        return;
    }
    m_round = round.round;
    send_collect(now);
}

void digest_tree::on_report(key from, const report& answer, time_point now)
{
    if (answer.round != m_round)
    {
        return;
    }
    m_reports[from] = {answer.sums, now};
    m_awaited.erase(from);
    if (m_awaited.empty() && m_round_deadline)
    {
        complete_round(now);
    }
}

load_sums digest_tree::sum_subtree(time_point now) const
{
    load_sums total;
    total.rows = m_owned.own_rows();
    for (const auto child : m_position.children)
    {
        const auto found = m_reports.find(child);
        if (found == m_reports.end() || found->second.age(now) > max_report_age)
        {
            continue;
        }
        add_sums(total.rows, found->second.sums.rows);
        total.age_ms =
            std::max(total.age_ms, to_age_ms(found->second.age(now)));
    }
    return total;
}

void digest_tree::complete_round(time_point now)
{
    m_round_deadline.reset();
    std::erase_if(m_reports,
                  [now](const auto& item)
                  {
                      return item.second.age(now) > max_report_age;
                  });
    auto sums = sum_subtree(now);
    if (!m_position.is_root)
    {
        send(m_position.parent, report{m_round, std::move(sums)});
        return;
    }
    for (const auto root : m_position.roots)
    {
        if (root != m_state.self_key())
        {
            send(root, data_centre_sums{sums});
        }
    }
    const auto data_centre_key =
        stable_hash(m_state.self().self.data_centre.get());
    m_data_centres[data_centre_key] = {std::move(sums), now};
    sum_region(now);
}

void digest_tree::on_sums(key from,
                          const data_centre_sums& input,
                          time_point now)
{
    const auto* sender = m_state.find_router(from);
    if (sender == nullptr)
    {
        return;
    }
    const auto data_centre_key =
        stable_hash(sender->record.self.data_centre.get());
    m_data_centres[data_centre_key] = {input.sums, now};
}

void digest_tree::sum_region(time_point now)
{
    std::erase_if(m_data_centres,
                  [now](const auto& item)
                  {
                      return item.second.age(now) > max_data_centre_age;
                  });
    timed_sums total;
    total.received = now;
    for (const auto& [data_centre, part] : m_data_centres)
    {
        add_sums(total.sums.rows, part.sums.rows);
        total.sums.age_ms =
            std::max(total.sums.age_ms, to_age_ms(part.age(now)));
    }
    m_region_sums = std::move(total);
}

std::optional<load_digest> digest_tree::load_of(model_key model,
                                                time_point now) const
{
    if (!m_region_sums)
    {
        return std::nullopt;
    }
    const auto found = m_region_sums->sums.rows.find(model);
    if (found == m_region_sums->sums.rows.end())
    {
        return std::nullopt;
    }
    const auto& row = found->second;
    return load_digest{
        row.in_flight, row.eligible, row.eligible, m_region_sums->age(now)};
}

std::optional<load_digest> digest_tree::load_of(const region_id& region,
                                                model_key model,
                                                time_point now) const
{
    const auto found = m_other_regions.find(region);
    if (found == m_other_regions.end() || !found->second.sums)
    {
        return std::nullopt;
    }
    const auto& sums = *found->second.sums;
    const auto row = sums.sums.rows.find(model);
    if (row == sums.sums.rows.end())
    {
        return std::nullopt;
    }
    return load_digest{row->second.in_flight,
                       row->second.eligible,
                       row->second.eligible,
                       sums.age(now)};
}

std::vector<router_record> digest_tree::own_contacts() const
{
    std::vector<router_record> contacts{m_state.self()};
    std::vector<const router_record*> others;
    for (const auto& [name, entry] : m_state.routers())
    {
        if (name != m_state.self_key() &&
            entry.record.state == router_state::alive)
        {
            others.push_back(&entry.record);
        }
    }
    while (contacts.size() < contacts_per_message && !others.empty())
    {
        const auto index = m_state.random().below(others.size());
        contacts.push_back(*others[index]);
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return contacts;
}

void digest_tree::exchange_regions(time_point now)
{
    if (m_position.gateway != m_state.self_key() || m_other_regions.empty() ||
        !m_region_sums)
    {
        return;
    }
    region_sums output;
    output.region = m_state.self().self.region;
    output.contacts = own_contacts();
    output.sums = m_region_sums->sums;
    output.sums.age_ms = to_age_ms(m_region_sums->age(now));
    for (const auto& [region, other] : m_other_regions)
    {
        const auto& contacts = other.contacts;
        const auto index = m_state.random().below(contacts.size());
        m_out.send(contacts[index], traffic::digests, output);
    }
}

void digest_tree::update_contacts(other_region& region,
                                  const region_sums& input)
{
    for (const auto& contact : input.contacts)
    {
        std::erase_if(region.contacts,
                      [&](const peer& known)
                      {
                          return known.vm == contact.self.vm;
                      });
        region.contacts.push_back(contact.self);
    }
    while (region.contacts.size() > max_contacts)
    {
        region.contacts.erase(region.contacts.begin());
    }
}

void digest_tree::on_region_sums(key from,
                                 const region_sums& input,
                                 time_point now)
{
    const bool known = m_other_regions.contains(input.region);
    if (input.region == m_state.self().self.region || input.contacts.empty() ||
        (!known && m_other_regions.size() >= max_regions))
    {
        return;
    }
    update_position();
    auto& other = m_other_regions[input.region];
    other.sums = timed_sums{input.sums, now};
    update_contacts(other, input);
    const bool is_gateway = m_position.gateway == m_state.self_key();
    if (!is_gateway && !input.relayed)
    {
        relay(m_position.gateway, input);
        return;
    }
    if (is_gateway)
    {
        for (const auto root : m_position.roots)
        {
            relay(root, without_contacts(input));
        }
    }
    const bool from_above =
        from == m_position.gateway || from == m_position.parent;
    if (!from_above && !(is_gateway && m_position.is_root))
    {
        return;
    }
    for (const auto child : m_position.children)
    {
        relay(child, without_contacts(input));
    }
}

void digest_tree::relay(key to, region_sums content)
{
    if (to != m_state.self_key())
    {
        content.relayed = true;
        send(to, content);
    }
}

std::size_t digest_tree::state_bytes() const
{
    constexpr std::size_t row_bytes = 48 + sizeof(load_row);
    std::size_t rows = m_region_sums ? m_region_sums->sums.rows.size() : 0;
    for (const auto& [name, sums] : m_reports)
    {
        rows += sums.sums.rows.size();
    }
    for (const auto& [name, sums] : m_data_centres)
    {
        rows += sums.sums.rows.size();
    }
    std::size_t contacts = 0;
    for (const auto& [region, other] : m_other_regions)
    {
        rows += other.sums ? other.sums->sums.rows.size() : 0;
        contacts += other.contacts.size();
    }
    return sizeof(*this) + rows * row_bytes + contacts * sizeof(peer);
}

} // namespace limpet::membership

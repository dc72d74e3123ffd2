#include <limpet/config/config_publisher.hpp>

#include <algorithm>

namespace limpet::config
{

namespace
{

/// Returns at most `max` changes that follow the position, or nothing if they
/// are no longer retained or the position is not part of the history.
std::optional<updates_message> updates_after(const position& have,
                                             const served_config& served,
                                             std::size_t max)
{
    const auto& history = served.history;
    if (history.empty() || have.number < history.front().before.number)
    {
        return std::nullopt;
    }
    const std::uint64_t skipped =
        have.number.get() - history.front().before.number.get();
    if (skipped >= history.size() || history[skipped].before != have)
    {
        return std::nullopt;
    }
    updates_message out;
    out.before = have;
    const std::size_t last = std::min(history.size(), skipped + max);
    for (std::size_t i = skipped; i < last; ++i)
    {
        out.entries.push_back(history[i].encoded);
    }
    return out;
}

/// Returns the position after the last change in the message.
position position_after(const updates_message& message)
{
    position out = message.before;
    for (const std::string& each : message.entries)
    {
        out.number = revision(out.number.get() + 1);
        out.digest = extend_digest(out.digest, each);
    }
    return out;
}

bool is_newer(const position& left, const std::optional<position>& right)
{
    return !right || compare(left, *right) == position_order::newer;
}

} // namespace

void config_publisher::receive(const vm_id& from,
                               const sync_message& message,
                               const served_config& served,
                               time_point now,
                               std::vector<outgoing_message>& out)
{
    follower& of = m_followers[from];
    of.have = message.have;
    // Do not resend changes that are still in flight to the follower, unless
    // it requests a response.
    const bool is_in_flight =
        !message.ask && of.sent && message.have &&
        compare(*of.sent, *message.have) == position_order::newer &&
        now < of.sent_at + m_settings.part_timeout;
    of.sent = is_in_flight ? of.sent : message.have;
    update_highest_position(message.have);
    of.subscribed = message.subscribe;
    of.last_seen = now;
    const bool has_newer =
        served.view != nullptr && is_newer(served.view->where(), of.sent);
    if (has_newer)
    {
        send_missing(from, of, served, now, out);
        return;
    }
    if (message.ask)
    {
        sync_message answer;
        answer.ask = false;
        if (served.view != nullptr)
        {
            answer.have = served.view->where();
        }
        out.push_back({from, std::move(answer)});
    }
}

void config_publisher::receive(const vm_id& from,
                               const part_request& message,
                               const served_config& served,
                               time_point now,
                               std::vector<outgoing_message>& out)
{
    const bool current = m_snapshot && m_snapshot->of == message.of;
    if (!current)
    {
        if (served.view == nullptr)
        {
            return;
        }
        refresh_snapshot(served, now);
    }
    send_part(from, current ? message.index : 0, out);
}

void config_publisher::publish(const served_config& served,
                               time_point now,
                               std::vector<outgoing_message>& out)
{
    if (served.view == nullptr)
    {
        return;
    }
    std::erase_if(
        m_followers,
        [&](const auto& each)
        {
            return each.second.last_seen + m_settings.silence_timeout < now;
        });
    for (auto& [to, of] : m_followers)
    {
        if (of.subscribed && is_newer(served.view->where(), of.sent))
        {
            send_missing(to, of, served, now, out);
        }
    }
}

std::optional<position> config_publisher::position_of(const vm_id& vm,
                                                      time_point now) const
{
    const auto found = m_followers.find(vm);
    if (found == m_followers.end() ||
        found->second.last_seen + m_settings.silence_timeout < now)
    {
        return std::nullopt;
    }
    return found->second.have;
}

void config_publisher::send_missing(const vm_id& to,
                                    follower& of,
                                    const served_config& served,
                                    time_point now,
                                    std::vector<outgoing_message>& out)
{
    const position current = served.view->where();
    of.sent_at = now;
    while (of.sent && *of.sent != current)
    {
        std::optional<updates_message> updates =
            updates_after(*of.sent, served, m_settings.max_batch);
        if (!updates)
        {
            break;
        }
        of.sent = position_after(*updates);
        out.push_back({to, std::move(*updates)});
    }
    if (of.sent == current)
    {
        return;
    }
    refresh_snapshot(served, now);
    of.sent = current;
    send_part(to, 0, out);
}

void config_publisher::update_highest_position(
    const std::optional<position>& have)
{
    if (have && is_newer(*have, m_highest_heard))
    {
        m_highest_heard = have;
    }
}

void config_publisher::send_part(const vm_id& to,
                                 std::uint32_t index,
                                 std::vector<outgoing_message>& out) const
{
    const std::size_t size = m_settings.part_bytes;
    const std::string& bytes = m_snapshot->bytes;
    const std::size_t count = (bytes.size() + size - 1) / size;
    if (index >= count)
    {
        return;
    }
    out.push_back({to,
                   snapshot_part{m_snapshot->of,
                                 index,
                                 static_cast<std::uint32_t>(count),
                                 bytes.substr(index * size, size)}});
}

void config_publisher::refresh_snapshot(const served_config& served,
                                        time_point now)
{
    // Reuse an encoded snapshot for some time even though newer changes exist,
    // so that many followers can share it and slow followers can complete the
    // transfer.
    constexpr duration lifetime = seconds(30);
    const position current = served.view->where();
    const bool usable = m_snapshot && now < m_snapshot->created_at + lifetime &&
                        (m_snapshot->of == current ||
                         updates_after(m_snapshot->of, served, 1).has_value());
    if (!usable)
    {
        m_snapshot = encoded_snapshot{current, now, encode_view(*served.view)};
    }
}

} // namespace limpet::config

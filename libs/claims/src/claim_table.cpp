#include <limpet/claims/claim_table.hpp>

#include <algorithm>

namespace limpet::claims
{

namespace
{

/// Memory of an entry with its hash node, its bucket and its items of the two
/// queues, in bytes. A fixed constant instead of a sizeof expression, so that
/// replicas of different builds agree on when a group is full.
constexpr std::uint64_t entry_bytes = 208;
/// Texts up to this size need no allocation of their own.
constexpr std::uint64_t inline_text_bytes = 15;
constexpr std::uint64_t allocation_bytes = 24;
constexpr std::size_t max_request_bytes = 128;
constexpr std::size_t max_media_bytes = 128;

refused refuse(error_code code, std::string reason)
{
    return refused{code, std::move(reason)};
}

/// Returns the result, without its body if that is larger than max_body, and
/// with a bounded media type.
settle bounded(const settle& result, byte_count max_body)
{
    settle out = result;
    if (out.body.size() > max_body.get())
    {
        out.body.clear();
        out.body_kept = false;
    }
    out.media_type.resize(std::min(out.media_type.size(), max_media_bytes));
    return out;
}

} // namespace

std::string_view claim_table::entry::request() const noexcept
{
    return std::string_view(texts).substr(0, request_bytes);
}

settle claim_table::entry::result() const
{
    const std::string_view rest = std::string_view(texts).substr(request_bytes);
    return {status,
            std::string(rest.substr(0, media_bytes)),
            std::string(rest.substr(media_bytes)),
            body_kept};
}

void claim_table::entry::set_texts(std::string_view request_text,
                                   const settle& result)
{
    std::string joined;
    joined.reserve(request_text.size() + result.media_type.size() +
                   result.body.size());
    joined += request_text;
    joined += result.media_type;
    joined += result.body;
    request_bytes = static_cast<std::uint16_t>(request_text.size());
    media_bytes = static_cast<std::uint16_t>(result.media_type.size());
    status = result.status;
    body_kept = result.body_kept;
    texts = std::move(joined);
}

claim_table::claim_table(const claim_limits& limits)
    : m_limits(limits),
      m_archive(limits.retention - limits.body_retention)
{
}

claim_answer claim_table::apply(std::uint64_t index,
                                const claim_command& command)
{
    if (index <= m_applied_index)
    {
        return refuse(error_code::conflict, "log index was already applied");
    }
    m_applied_index = index;
    if (command.request.get().size() > max_request_bytes)
    {
        return refuse(error_code::invalid_argument, "request id is too long");
    }
    advance_clock(command.at_ms);
    const auto found = m_entries.find(command.key);
    entry* known = found == m_entries.end() ? nullptr : &found->second;
    if (known == nullptr)
    {
        const archived_outcome* archived = m_archive.find(command.key);
        if (archived != nullptr)
        {
            return handle_archived(command, *archived);
        }
    }
    return std::visit(
        [&](const auto& action)
        {
            return handle(command, known, action);
        },
        command.action);
}

claim_answer claim_table::handle(const claim_command& command,
                                 entry* known,
                                 const claim& action)
{
    if (known == nullptr)
    {
        return grant(command, action.fingerprint);
    }
    const bool same_request = known->request() == command.request.get();
    if (known->phase == state::released)
    {
        if (same_request)
        {
            return refuse(error_code::conflict, "the request was released");
        }
        erase(command.key);
        return grant(command, action.fingerprint);
    }
    if (known->fingerprint != action.fingerprint)
    {
        return refuse(error_code::invalid_argument,
                      "the key was used with another request");
    }
    if (known->phase == state::in_progress)
    {
        return same_request
                   ? claim_answer(granted{})
                   : in_progress{request_id(std::string(known->request()))};
    }
    return finished{request_id(std::string(known->request())),
                    known->phase == state::complete,
                    known->result()};
}

claim_answer claim_table::handle(const claim_command& command,
                                 entry* known,
                                 const settle& action)
{
    if (known == nullptr || known->request() != command.request.get())
    {
        return refuse(error_code::not_found, "the request holds no claim");
    }
    if (known->phase == state::released)
    {
        return refuse(error_code::conflict, "the request was released");
    }
    if (known->phase == state::complete)
    {
        return done{};
    }
    m_used -= cost_of(*known);
    known->set_texts(command.request.get(), bounded(action, m_limits.max_body));
    if (used().get() + cost_of(*known) > m_limits.capacity.get())
    {
        known->set_texts(command.request.get(), bounded(action, byte_count(0)));
    }
    m_used += cost_of(*known);
    known->phase = state::complete;
    schedule(command.key, *known);
    return done{};
}

claim_answer
claim_table::handle(const claim_command& command, entry* known, const release&)
{
    if (known == nullptr || known->request() != command.request.get())
    {
        return refuse(error_code::not_found, "the request holds no claim");
    }
    if (known->phase == state::released)
    {
        return done{};
    }
    if (known->phase != state::in_progress)
    {
        return refuse(error_code::conflict,
                      "the request already has an outcome");
    }
    known->phase = state::released;
    return done{};
}

claim_answer claim_table::handle_archived(const claim_command& command,
                                          const archived_outcome& known) const
{
    const auto* asked = std::get_if<claim>(&command.action);
    if (asked == nullptr)
    {
        return refuse(error_code::not_found, "the request holds no claim");
    }
    if (asked->fingerprint != known.fingerprint)
    {
        return refuse(error_code::invalid_argument,
                      "the key was used with another request");
    }
    return finished{{}, known.known, {known.status, {}, {}, false}};
}

claim_answer claim_table::grant(const claim_command& command,
                                std::uint64_t fingerprint)
{
    entry value;
    value.fingerprint = fingerprint;
    value.set_texts(command.request.get(), {});
    if (used().get() + cost_of(value) > m_limits.capacity.get())
    {
        return refuse(error_code::overloaded, "the claims group is full");
    }
    m_used += cost_of(value);
    entry& stored =
        m_entries.insert_or_assign(command.key, std::move(value)).first->second;
    schedule(command.key, stored);
    return granted{};
}

void claim_table::advance_clock(std::uint64_t at_ms)
{
    m_clock_ms = std::max(m_clock_ms, at_ms);
    expire_queue(m_running);
    expire_queue(m_retained);
    m_archive.expire(m_clock_ms);
}

void claim_table::expire_queue(std::deque<queue_item>& queue)
{
    while (!queue.empty())
    {
        const queue_item first = queue.front();
        const entry* value = live_entry(first);
        if (value != nullptr && value->due_ms > m_clock_ms)
        {
            return;
        }
        queue.pop_front();
        if (value != nullptr)
        {
            expire_entry(first.key);
        }
    }
}

const claim_table::entry* claim_table::live_entry(const queue_item& item) const
{
    const auto found = m_entries.find(item.key);
    const bool valid =
        found != m_entries.end() && found->second.serial == item.serial;
    return valid ? &found->second : nullptr;
}

void claim_table::expire_entry(const claim_key& key)
{
    entry& value = m_entries.at(key);
    if (value.phase == state::in_progress)
    {
        value.phase = state::unknown;
        schedule(key, value);
        return;
    }
    if (value.phase != state::released)
    {
        archive(key, value);
    }
    erase(key);
}

void claim_table::schedule(const claim_key& key, entry& value)
{
    const bool running = value.phase == state::in_progress;
    const milliseconds period =
        running ? m_limits.longest_run : m_limits.body_retention;
    value.due_ms = m_clock_ms + static_cast<std::uint64_t>(period.count());
    enqueue(key, value, running ? m_running : m_retained);
}

void claim_table::enqueue(const claim_key& key,
                          entry& value,
                          std::deque<queue_item>& queue)
{
    value.serial = ++m_last_serial;
    queue.push_back({key, value.serial});
}

void claim_table::archive(const claim_key& key, const entry& value)
{
    archived_outcome outcome;
    outcome.key = key;
    outcome.fingerprint = value.fingerprint;
    outcome.status = value.status;
    outcome.known = value.phase == state::complete;
    m_archive.add(outcome, value.due_ms);
}

void claim_table::erase(const claim_key& key)
{
    const auto found = m_entries.find(key);
    m_used -= cost_of(found->second);
    m_entries.erase(found);
}

std::uint64_t claim_table::cost_of(const entry& value)
{
    const std::uint64_t size = value.texts.size();
    return entry_bytes +
           (size > inline_text_bytes ? size + allocation_bytes : 0);
}

} // namespace limpet::claims

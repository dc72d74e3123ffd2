#include <limpet/http/event_splitter.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace limpet::http
{

namespace
{

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view id_field = "id:";
constexpr std::string_view closing_data = "data: [DONE]";

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && text.front() == ' ')
    {
        text.remove_prefix(1);
    }
    if (!text.empty() && text.back() == '\r')
    {
        text.remove_suffix(1);
    }
    return text;
}

/// What matters of one event's lines.
struct event_fields
{
    std::optional<std::string_view> id;
    bool closing = false;
    /// Whether it has no lines but comments.
    bool is_comment = true;
};

event_fields read_fields(std::string_view event)
{
    event_fields fields;
    while (!event.empty())
    {
        const std::size_t end = std::min(event.find('\n'), event.size());
        const std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (line.starts_with(id_field))
        {
            fields.id = trimmed(line.substr(id_field.size()));
        }
        fields.closing |= trimmed(line) == closing_data;
        fields.is_comment &= trimmed(line).empty() || line.front() == ':';
    }
    return fields;
}

outcome<std::uint64_t> parse_event_id(std::string_view text)
{
    std::uint64_t id = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, id);
    if (parsed.ec != std::errc{} || parsed.ptr != end || id == 0)
    {
        return error{error_code::malformed, "event id is not a number"};
    }
    return id;
}

} // namespace

event_splitter::event_splitter(std::uint64_t resume_after,
                               std::size_t max_event_bytes)
    : m_resume_after(resume_after),
      m_last_event(resume_after),
      m_max_event_bytes(max_event_bytes)
{
}

outcome<event_batch> event_splitter::feed(std::string_view bytes)
{
    m_rest.append(bytes);
    event_batch batch;
    std::size_t begin = 0;
    for (;;)
    {
        const std::size_t end = m_rest.find(event_end, m_scanned);
        if (end == std::string::npos)
        {
            break;
        }
        const std::size_t next = end + event_end.size();
        const std::string_view event(m_rest.data() + begin, next - begin);
        const status taken = take_event(event, batch);
        if (!is_ok(taken))
        {
            return error_of(taken);
        }
        begin = next;
        m_scanned = next;
    }
    m_rest.erase(0, begin);
    if (m_bytes_without_progress + m_rest.size() > m_max_event_bytes)
    {
        return error{error_code::malformed, "too many bytes without an event"};
    }
    // The last byte may be the first half of an event's end.
    m_scanned = m_rest.empty() ? 0 : m_rest.size() - 1;
    return batch;
}

bool event_splitter::is_inside_event() const noexcept
{
    return m_rest.find_first_not_of("\r\n") != std::string::npos;
}

status event_splitter::take_event(std::string_view event, event_batch& batch)
{
    const event_fields fields = read_fields(event);
    m_bytes_without_progress += event.size();
    if (fields.id)
    {
        const outcome<std::uint64_t> id = parse_event_id(*fields.id);
        if (!is_ok(id))
        {
            return error_of(id);
        }
        if (value_of(id) <= m_last_event)
        {
            m_has_repeated_last |= value_of(id) == m_resume_after;
            return success();
        }
        if (value_of(id) != m_last_event + 1)
        {
            return error{error_code::malformed, "gap between event ids"};
        }
        m_last_event = value_of(id);
        m_bytes_without_progress = 0;
        batch.last_event = m_last_event;
        ++batch.events;
    }
    else if (!fields.closing && !fields.is_comment)
    {
        if (m_resume_after > 0)
        {
            return error{error_code::malformed,
                         "event without an id in the rest of a stream"};
        }
        batch.has_unnumbered = true;
    }
    m_done |= fields.closing;
    batch.done |= fields.closing;
    batch.bytes.append(event);
    return success();
}

} // namespace limpet::http

#include <limpet/base/settings_reader.hpp>
#include <limpet/config/object_json.hpp>
#include <limpet/config/state_machine.hpp>

#include <limits>

namespace limpet::config
{

namespace
{

constexpr std::uint64_t any_number = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t snapshot_format = 1;

boost::json::object json_of(const position& where)
{
    return {{"group", where.group},
            {"generation", where.generation},
            {"revision", where.number.get()},
            {"digest", where.digest}};
}

position read_position(settings_reader& owner, std::string_view key)
{
    const boost::json::value* document = owner.child(key, true);
    if (document == nullptr)
    {
        return {};
    }
    settings_reader reader(*document, std::string(key));
    position out;
    out.group = reader.number("group", 0, any_number);
    out.generation = reader.number("generation", 0, any_number);
    out.number = revision(reader.number("revision", 0, any_number));
    out.digest = reader.number("digest", 0, any_number);
    const status read = reader.finish();
    if (!is_ok(read))
    {
        owner.fail(key, error_of(read).message);
    }
    return out;
}

// Snapshots are in JSON Lines format: a header line, then one line for each
// item. Neither the writer nor the reader has to hold the complete document as
// a tree in memory.
class line_writer
{
public:
    void line(const boost::json::value& value)
    {
        m_text += boost::json::serialize(value);
        m_text += '\n';
    }

    void line(std::string_view text)
    {
        m_text += text;
        m_text += '\n';
    }

    std::string take()
    {
        return std::move(m_text);
    }

private:
    std::string m_text;
};

class line_reader
{
public:
    explicit line_reader(std::string_view text)
        : m_remaining(text)
    {
    }

    /// Returns the next line, or an error if no complete line is left.
    outcome<std::string_view> next()
    {
        const std::size_t end = m_remaining.find('\n');
        if (end == std::string_view::npos)
        {
            return error{error_code::malformed, "snapshot: truncated"};
        }
        const std::string_view line = m_remaining.substr(0, end);
        m_remaining.remove_prefix(end + 1);
        return line;
    }

    outcome<boost::json::value> next_json()
    {
        const outcome<std::string_view> line = next();
        return is_ok(line) ? parse_json(value_of(line))
                           : outcome<boost::json::value>(error_of(line));
    }

    bool at_end() const noexcept
    {
        return m_remaining.empty();
    }

private:
    std::string_view m_remaining;
};

template <class Object>
void write_objects(line_writer& out, const config_view& view)
{
    view.objects<Object>().for_each(
        [&](const stored<Object>& each)
        {
            boost::json::object line;
            line["at"] = each.changed_at.get();
            line["by"] = each.author.get();
            line["is"] = to_json(object(each.value));
            out.line(line);
        });
}

std::size_t object_count(const config_view& view)
{
    return view.objects<partner>().size() +
           view.objects<team_template>().size() + view.objects<team>().size() +
           view.objects<operator_account>().size() +
           view.objects<data_centre>().size() +
           view.objects<backend_server>().size() +
           view.objects<service_route>().size();
}

void write_view(line_writer& out, const config_view& view)
{
    boost::json::object header;
    header["position"] = json_of(view.where());
    header["objects"] = object_count(view);
    out.line(header);
    write_objects<partner>(out, view);
    write_objects<team_template>(out, view);
    write_objects<team>(out, view);
    write_objects<operator_account>(out, view);
    write_objects<data_centre>(out, view);
    write_objects<backend_server>(out, view);
    write_objects<service_route>(out, view);
}

status read_object_line(line_reader& in, config_view& view)
{
    const outcome<boost::json::value> parsed = in.next_json();
    if (!is_ok(parsed))
    {
        return error_of(parsed);
    }
    settings_reader reader(value_of(parsed), "object");
    config_view::change_mark mark;
    mark.changed_at = revision(reader.number("at", 1, any_number));
    mark.author = operator_id(reader.text("by"));
    const boost::json::value* document = reader.child("is", true);
    status read = reader.finish();
    if (!is_ok(read))
    {
        return read;
    }
    const outcome<object> value = parse_object(*document, "object.is");
    if (!is_ok(value))
    {
        return error_of(value);
    }
    view.load(value_of(value), mark);
    return success();
}

outcome<config_view> read_view(line_reader& in)
{
    const outcome<boost::json::value> parsed = in.next_json();
    if (!is_ok(parsed))
    {
        return error_of(parsed);
    }
    settings_reader reader(value_of(parsed), "view");
    config_view view(read_position(reader, "position"));
    const std::uint64_t count = reader.number("objects", 0, any_number);
    const status read = reader.finish();
    if (!is_ok(read))
    {
        return error_of(read);
    }
    for (std::uint64_t i = 0; i < count; ++i)
    {
        const status loaded = read_object_line(in, view);
        if (!is_ok(loaded))
        {
            return error_of(loaded);
        }
    }
    return view;
}

struct snapshot_header
{
    std::uint64_t applied_index = 0;
    std::uint64_t updates = 0;
    std::uint64_t answers = 0;
    /// Position before the first update.
    position history_start;
};

outcome<snapshot_header> read_header(line_reader& in)
{
    const outcome<boost::json::value> parsed = in.next_json();
    if (!is_ok(parsed))
    {
        return error_of(parsed);
    }
    settings_reader reader(value_of(parsed), "snapshot");
    reader.number("format", snapshot_format, snapshot_format);
    snapshot_header out;
    out.applied_index = reader.number("applied_index", 0, any_number);
    out.updates = reader.number("updates", 0, any_number);
    out.answers = reader.number("answers", 0, any_number);
    out.history_start = read_position(reader, "history_start");
    const status read = reader.finish();
    if (!is_ok(read))
    {
        return error_of(read);
    }
    return out;
}

outcome<history_entry> read_update_line(line_reader& in, const position& before)
{
    const outcome<std::string_view> line = in.next();
    if (!is_ok(line))
    {
        return error_of(line);
    }
    outcome<update> change = decode_update(value_of(line));
    if (!is_ok(change))
    {
        return error_of(change);
    }
    return history_entry{
        value_of(std::move(change)), std::string(value_of(line)), before};
}

} // namespace

std::string encode_view(const config_view& view)
{
    line_writer out;
    write_view(out, view);
    return out.take();
}

outcome<config_view> decode_view(std::string_view bytes)
{
    line_reader in(bytes);
    outcome<config_view> view = read_view(in);
    if (is_ok(view) && !in.at_end())
    {
        return error{error_code::malformed,
                     "snapshot: trailing bytes after the last object"};
    }
    return view;
}

std::string state_machine::snapshot() const
{
    line_writer out;
    boost::json::object header;
    header["format"] = snapshot_format;
    header["applied_index"] = m_applied_index;
    header["updates"] = m_history.size();
    header["answers"] = m_result_order.size();
    header["history_start"] =
        json_of(m_history.empty() ? m_view->where() : m_history.front().before);
    out.line(header);
    write_view(out, *m_view);
    for (const history_entry& each : m_history)
    {
        out.line(each.encoded);
    }
    for (const std::string& id : m_result_order)
    {
        const retained_result& known = m_results.at(id);
        boost::json::object line;
        line["operation"] = id;
        line["fingerprint"] = known.fingerprint;
        line["answer"] = to_json(known.answer);
        out.line(line);
    }
    return out.take();
}

outcome<state_machine> state_machine::restore(std::string_view snapshot,
                                              const retention& kept)
{
    line_reader in(snapshot);
    const outcome<snapshot_header> header = read_header(in);
    if (!is_ok(header))
    {
        return error_of(header);
    }
    outcome<config_view> view = read_view(in);
    if (!is_ok(view))
    {
        return error_of(view);
    }
    state_machine out(0, kept);
    out.m_applied_index = value_of(header).applied_index;
    out.m_view = std::make_shared<const config_view>(value_of(std::move(view)));
    position before = value_of(header).history_start;
    for (std::uint64_t i = 0; i < value_of(header).updates; ++i)
    {
        outcome<history_entry> entry = read_update_line(in, before);
        if (!is_ok(entry))
        {
            return error_of(entry);
        }
        before = out.m_history.emplace_back(value_of(std::move(entry))).after();
    }
    for (std::uint64_t i = 0; i < value_of(header).answers; ++i)
    {
        const status read = out.load_result(in.next_json());
        if (!is_ok(read))
        {
            return error_of(read);
        }
    }
    if (!in.at_end() ||
        (!out.m_history.empty() && before != out.m_view->where()))
    {
        return error{error_code::corrupt,
                     "snapshot: trailing bytes, or history does not end at the "
                     "snapshot's position"};
    }
    return out;
}

status state_machine::load_result(const outcome<boost::json::value>& line)
{
    if (!is_ok(line))
    {
        return error_of(line);
    }
    settings_reader reader(value_of(line), "answer");
    std::string id = reader.text("operation");
    const std::uint64_t fingerprint =
        reader.number("fingerprint", 0, any_number);
    const boost::json::value* answer = reader.child("answer", true);
    status read = reader.finish();
    if (!is_ok(read))
    {
        return read;
    }
    outcome<command_result> result = parse_result(*answer);
    if (!is_ok(result))
    {
        return error_of(result);
    }
    m_results[id] = {fingerprint, value_of(std::move(result))};
    m_result_order.push_back(std::move(id));
    return success();
}

} // namespace limpet::config

#include "operator_read.hpp"

#include <limpet/base/settings_reader.hpp>
#include <limpet/config/authorise.hpp>
#include <limpet/config/object_json.hpp>

#include <algorithm>
#include <charconv>

namespace limpet::config
{

namespace
{

constexpr std::string_view objects_path = "/v1/objects";
constexpr std::string_view operations_path = "/v1/operations/";
constexpr std::uint64_t max_history = 1000;
constexpr std::uint64_t default_history = 100;

/// Returns the value of a query parameter, or nothing if it is absent.
std::optional<std::string_view> query_value(std::string_view target,
                                            std::string_view name)
{
    const std::size_t start = target.find('?');
    std::string_view rest =
        start == std::string_view::npos ? "" : target.substr(start + 1);
    while (!rest.empty())
    {
        const std::string_view part = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(part.size() + 1, rest.size()));
        if (part.starts_with(name) && part.substr(name.size()).starts_with('='))
        {
            return part.substr(name.size() + 1);
        }
    }
    return std::nullopt;
}

outcome<std::uint64_t> number_of(std::string_view target,
                                 std::string_view name,
                                 std::uint64_t fallback)
{
    const std::optional<std::string_view> text = query_value(target, name);
    if (!text)
    {
        return fallback;
    }
    std::uint64_t number = 0;
    const char* end = text->data() + text->size();
    const auto read = std::from_chars(text->data(), end, number);
    if (read.ec != std::errc() || read.ptr != end)
    {
        return error{error_code::invalid_argument,
                     std::string(name) + ": must be a whole number"};
    }
    return number;
}

boost::json::object json_of(const team_parameters& values)
{
    parameters copy;
    copy.priority = values.priority();
    copy.share = values.share();
    copy.models = values.models();
    copy.max_output_tokens = values.max_output_tokens();
    copy.deadline = values.deadline();
    copy.queue_time = values.queue_time();
    copy.max_open_requests = values.max_open_requests();
    copy.chat_retention = values.chat_retention();
    copy.routes = values.routes();
    return parameters_json(copy);
}

/// Returns the object with the revision and author of its last change; for a
/// team, also with its effective parameters.
template <class Object>
boost::json::object describe(const config_view& view,
                             const stored<Object>& from)
{
    boost::json::object out;
    out["revision"] = from.changed_at.get();
    out["author"] = from.author.get();
    out["object"] = to_json(object(from.value));
    if constexpr (std::is_same_v<Object, team>)
    {
        out["in_force"] = json_of(view.parameters_of(from.value));
    }
    return out;
}

/// Handles the read requests of one authenticated operator.
class read_handler
{
public:
    read_handler(const api_context& context, const operator_account& who)
        : m_view(*context.state.view()),
          m_context(context),
          m_who(who)
    {
    }

    api_response objects(std::string_view rest) const
    {
        if (rest.empty())
        {
            return {200, all_objects()};
        }
        rest.remove_prefix(1);
        const std::string_view name = rest.substr(0, rest.find('/'));
        const std::optional<object_kind> kind = parse_object_kind(name);
        if (!kind)
        {
            return response_to(
                error{error_code::not_found,
                      "unknown object kind: " + std::string(name)});
        }
        if (name.size() == rest.size())
        {
            return {200, objects_of(*kind)};
        }
        return one_object({*kind, std::string(rest.substr(name.size() + 1))});
    }

    api_response operation(std::string_view id) const
    {
        const auto answer =
            m_context.state.answer_to(operation_id(std::string(id)));
        if (!answer)
        {
            return response_to(error{
                error_code::not_found,
                "unknown operation, or its result is no longer retained"});
        }
        return {200, to_json(*answer)};
    }

    api_response history(std::string_view target) const
    {
        const outcome<std::uint64_t> after = number_of(target, "after", 0);
        const outcome<std::uint64_t> limit =
            number_of(target, "limit", default_history);
        for (const outcome<std::uint64_t>& each : {after, limit})
        {
            if (!is_ok(each))
            {
                return response_to(error_of(each));
            }
        }
        return {200,
                changes_after(value_of(after),
                              std::min(value_of(limit), max_history))};
    }

    api_response in_force() const
    {
        boost::json::array centres;
        for (const data_centre_force& each : m_context.force.data_centres)
        {
            boost::json::array lagging;
            for (const vm_id& vm : each.report.lagging)
            {
                lagging.emplace_back(vm.get());
            }
            centres.emplace_back(boost::json::object{
                {"data_centre", each.report.data_centre.get()},
                {"revision", each.report.lowest.get()},
                {"routers", each.report.routers},
                {"relay", each.relay.get()},
                {"silent", each.silent},
                {"lagging", std::move(lagging)}});
        }
        boost::json::object out;
        out["accepted"] = m_view.where().number.get();
        out["in_force"] = m_context.force.lowest.get();
        out["complete"] = m_context.force.complete;
        out["data_centres"] = std::move(centres);
        return {200, std::move(out)};
    }

private:
    template <class Object>
    void add_objects(boost::json::array& out) const
    {
        m_view.objects<Object>().for_each(
            [&](const stored<Object>& each)
            {
                if (may_read(m_view, m_who.scope, object(each.value)))
                {
                    out.emplace_back(describe(m_view, each));
                }
            });
    }

    boost::json::array objects_of(object_kind kind) const
    {
        using add_function = void (read_handler::*)(boost::json::array&) const;
        static constexpr add_function add[] = {
            &read_handler::add_objects<partner>,
            &read_handler::add_objects<team_template>,
            &read_handler::add_objects<team>,
            &read_handler::add_objects<operator_account>,
            &read_handler::add_objects<data_centre>,
            &read_handler::add_objects<backend_server>,
            &read_handler::add_objects<service_route>,
        };
        boost::json::array out;
        const add_function chosen = add[static_cast<std::size_t>(kind)];
        (this->*chosen)(out);
        std::sort(
            out.begin(),
            out.end(),
            [](const boost::json::value& left, const boost::json::value& right)
            {
                return left.at("object").at("id").as_string() <
                       right.at("object").at("id").as_string();
            });
        return out;
    }

    boost::json::array all_objects() const
    {
        boost::json::array out;
        for (std::size_t i = 0; i < std::variant_size_v<object>; ++i)
        {
            for (boost::json::value& each :
                 objects_of(static_cast<object_kind>(i)))
            {
                out.push_back(std::move(each));
            }
        }
        return out;
    }

    api_response one_object(const object_key& key) const
    {
        const std::optional<object> found = m_view.find_object(key);
        if (!found || !may_read(m_view, m_who.scope, *found))
        {
            return response_to(error{error_code::not_found,
                                     to_string(key) + " does not exist"});
        }
        return std::visit(
            [&]<class Object>(const Object& value)
            {
                const auto* stored_value = m_view.find<Object>(value.name());
                return api_response{200, describe(m_view, *stored_value)};
            },
            *found);
    }

    bool may_read_change(const update& change) const
    {
        if (!m_who.scope)
        {
            return true;
        }
        return change.value && may_read(m_view, m_who.scope, *change.value);
    }

    boost::json::object changes_after(std::uint64_t after,
                                      std::uint64_t limit) const
    {
        const auto& history = m_context.state.history();
        boost::json::array changes;
        std::uint64_t last = after;
        for (const history_entry& each : history)
        {
            const std::uint64_t number = each.change.number.get();
            if (number <= after || changes.size() >= limit)
            {
                continue;
            }
            last = number;
            if (may_read_change(each.change))
            {
                changes.push_back(value_of(parse_json(each.encoded)));
            }
        }
        boost::json::object out;
        out["oldest"] =
            history.empty() ? 0 : history.front().change.number.get();
        out["newest"] = m_view.where().number.get();
        out["last"] = last;
        out["changes"] = std::move(changes);
        return out;
    }

    const config_view& m_view;
    const api_context& m_context;
    const operator_account& m_who;
};

} // namespace

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

api_response handle_read(const api_request& request,
                         const api_context& context,
                         const operator_account& who)
{
    const read_handler handler(context, who);
    const std::string_view path = path_of(request.target);
    if (path == objects_path ||
        path.starts_with(std::string(objects_path) + "/"))
    {
        return handler.objects(path.substr(objects_path.size()));
    }
    if (path.starts_with(operations_path))
    {
        return handler.operation(path.substr(operations_path.size()));
    }
    if (path == "/v1/history")
    {
        return handler.history(request.target);
    }
    if (path == "/v1/in-force")
    {
        return handler.in_force();
    }
    return response_to(error{error_code::not_found, "no such resource"});
}

} // namespace limpet::config

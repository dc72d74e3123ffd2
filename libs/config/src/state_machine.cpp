#include "validate.hpp"

#include <limpet/base/hash.hpp>
#include <limpet/config/authorise.hpp>
#include <limpet/config/state_machine.hpp>

#include <algorithm>

namespace limpet::config
{

namespace
{

rejected refuse(error_code code, std::string field, std::string reason)
{
    return rejected{code, std::move(field), std::move(reason), {}};
}

/// Returns whether the change creates the first operator. The first operator
/// must not have a scope.
bool creates_first_operator(const config_view& view, const change& what)
{
    const auto* put = std::get_if<put_object>(&what);
    if (put == nullptr || view.objects<operator_account>().size() > 0)
    {
        return false;
    }
    const auto* account = std::get_if<operator_account>(&put->value);
    return account != nullptr && !account->scope;
}

std::optional<rejected> check_author(const config_view& view,
                                     const command& order)
{
    if (creates_first_operator(view, order.what))
    {
        return std::nullopt;
    }
    const stored<operator_account>* author =
        view.find<operator_account>(order.author.get());
    if (author == nullptr)
    {
        return refuse(error_code::unauthenticated,
                      "author",
                      "operator " + order.author.get() + " does not exist");
    }
    const status allowed = authorise(view, author->value, order.what);
    if (!is_ok(allowed))
    {
        return refuse(error_of(allowed).code, "", error_of(allowed).message);
    }
    return std::nullopt;
}

/// Returns the object that results from set_service.
std::variant<object, rejected> object_in_service(const config_view& view,
                                                 const set_service& what)
{
    std::optional<object> old = view.find_object(what.key);
    if (old && what.key.kind == object_kind::data_centre)
    {
        std::get<data_centre>(*old).in_service = what.in_service;
        return *old;
    }
    if (old)
    {
        std::get<backend_server>(*old).in_service = what.in_service;
        return *old;
    }
    if (what.key.kind == object_kind::data_centre)
    {
        return refuse(error_code::not_found, "id", "does not exist");
    }
    if (!what.location)
    {
        return refuse(error_code::invalid_argument,
                      "data_centre",
                      "is required for a backend server that is not listed");
    }
    return object(backend_server{
        engine_id(what.key.id), *what.location, what.in_service});
}

/// Returns the object that results from the change, nothing if the change
/// removes the object, or the reason why the change is rejected.
std::variant<std::optional<object>, rejected> result_of(const config_view& view,
                                                        const change& what)
{
    if (const auto* removed = std::get_if<remove_object>(&what))
    {
        if (std::optional<rejected> refusal = check_remove(view, removed->key))
        {
            return *refusal;
        }
        return std::nullopt;
    }
    std::variant<object, rejected> value = rejected{};
    if (const auto* put = std::get_if<put_object>(&what))
    {
        value = put->value;
    }
    else
    {
        value = object_in_service(view, std::get<set_service>(what));
    }
    if (auto* refusal = std::get_if<rejected>(&value))
    {
        return std::move(*refusal);
    }
    object& after = std::get<object>(value);
    if (std::optional<rejected> refusal = check_put(view, after))
    {
        return *refusal;
    }
    return std::optional<object>(std::move(after));
}

/// Returns a fingerprint of the command's content. It excludes the submission
/// time, which differs between the original and a resent command.
std::uint64_t fingerprint_of(const command& order)
{
    command timeless = order;
    timeless.submitted_unix_ms = 0;
    return stable_hash(encode(timeless));
}

} // namespace

state_machine::state_machine(std::uint64_t group, const retention& kept)
    : m_retention(kept),
      m_view(std::make_shared<const config_view>(
          position{group, 1, revision(0), 0}))
{
}

command_result state_machine::apply(std::uint64_t index, const command& order)
{
    if (index <= m_applied_index)
    {
        std::optional<command_result> first = answer_to(order.operation);
        return first ? *first
                     : refuse(error_code::conflict,
                              "operation",
                              "was already applied; its result is no longer "
                              "retained");
    }
    m_applied_index = index;
    const auto known = m_results.find(order.operation.get());
    if (known == m_results.end())
    {
        command_result answer = evaluate(order);
        retain_result(order, answer);
        return answer;
    }
    if (known->second.fingerprint != fingerprint_of(order))
    {
        return refuse(error_code::invalid_argument,
                      "operation",
                      "was already used for a different command");
    }
    return known->second.answer;
}

void state_machine::skip(std::uint64_t index)
{
    m_applied_index = std::max(m_applied_index, index);
}

std::optional<command_result>
state_machine::answer_to(const operation_id& id) const
{
    const auto known = m_results.find(id.get());
    if (known == m_results.end())
    {
        return std::nullopt;
    }
    return known->second.answer;
}

command_result state_machine::evaluate(const command& order)
{
    if (std::optional<rejected> refusal = check_author(*m_view, order))
    {
        return *refusal;
    }
    const object_key target = target_of(order.what);
    const auto mark = m_view->mark_of(target);
    const revision actual = mark ? mark->changed_at : revision(0);
    if (actual != order.expected)
    {
        rejected conflict = refuse(error_code::conflict,
                                   "expected_revision",
                                   to_string(target) + " is at revision " +
                                       std::to_string(actual.get()) + ", not " +
                                       std::to_string(order.expected.get()));
        conflict.winner = winner_of(target);
        return conflict;
    }
    if (!mark && std::holds_alternative<remove_object>(order.what))
    {
        return refuse(error_code::not_found, "id", "does not exist");
    }
    auto value = result_of(*m_view, order.what);
    if (auto* refusal = std::get_if<rejected>(&value))
    {
        return std::move(*refusal);
    }
    return accept(order, std::get<0>(std::move(value)));
}

position history_entry::after() const
{
    position out = before;
    out.number = change.number;
    out.digest = extend_digest(before.digest, encoded);
    return out;
}

command_result state_machine::accept(const command& order,
                                     std::optional<object> value)
{
    history_entry entry;
    entry.before = m_view->where();
    entry.change = update{revision(entry.before.number.get() + 1),
                          order.operation,
                          order.author,
                          order.submitted_unix_ms,
                          target_of(order.what),
                          std::move(value)};
    entry.encoded = encode(entry.change);
    const position after = entry.after();
    auto next = std::make_shared<config_view>(*m_view);
    next->apply(entry.change, after);
    m_view = std::move(next);
    m_history.push_back(std::move(entry));
    while (m_history.size() > m_retention.updates)
    {
        m_history.pop_front();
    }
    return accepted{after.number};
}

std::optional<conflict_winner>
state_machine::winner_of(const object_key& key) const
{
    if (const auto mark = m_view->mark_of(key))
    {
        return conflict_winner{mark->changed_at, mark->author};
    }
    for (auto each = m_history.rbegin(); each != m_history.rend(); ++each)
    {
        if (each->change.key == key)
        {
            return conflict_winner{each->change.number, each->change.author};
        }
    }
    return std::nullopt;
}

void state_machine::retain_result(const command& order,
                                  const command_result& answer)
{
    m_results[order.operation.get()] = {fingerprint_of(order), answer};
    m_result_order.push_back(order.operation.get());
    while (m_result_order.size() > m_retention.operations)
    {
        m_results.erase(m_result_order.front());
        m_result_order.pop_front();
    }
}

status state_machine::begin_generation(std::uint64_t generation,
                                       revision highest_seen)
{
    position where = m_view->where();
    if (generation <= where.generation)
    {
        return error{error_code::invalid_argument,
                     "generation: must be above " +
                         std::to_string(where.generation)};
    }
    if (highest_seen < where.number)
    {
        return error{error_code::invalid_argument,
                     "highest_seen: must be at least the backup's revision " +
                         std::to_string(where.number.get())};
    }
    where.generation = generation;
    where.number = revision(highest_seen.get() + 1);
    auto next = std::make_shared<config_view>(*m_view);
    next->move_to(where);
    m_view = std::move(next);
    m_history.clear();
    return success();
}

} // namespace limpet::config

#include "control_state.hpp"

#include <boost/json.hpp>

#include <utility>

namespace limpet::control
{

namespace
{

/// First byte of an entry, which identifies the kind of command.
constexpr char config_kind = 'c';
constexpr char claim_kind = 'k';
constexpr char order_kind = 'o';
constexpr char departure_kind = 'd';

constexpr std::size_t length_bytes = 8;
constexpr unsigned bits_per_byte = 8;

void append_length(std::string& out, std::size_t length)
{
    for (std::size_t i = 0; i < length_bytes; ++i)
    {
        out += static_cast<char>(length >> (bits_per_byte * i));
    }
}

/// Removes a length-prefixed section from the front of the bytes and returns
/// it.
outcome<std::string_view> take_section(std::string_view& bytes)
{
    const error truncated{error_code::malformed,
                          "control snapshot is truncated"};
    if (bytes.size() < length_bytes)
    {
        return truncated;
    }
    std::uint64_t length = 0;
    for (std::size_t i = 0; i < length_bytes; ++i)
    {
        const auto part = static_cast<unsigned char>(bytes[i]);
        length |= static_cast<std::uint64_t>(part) << (bits_per_byte * i);
    }
    bytes.remove_prefix(length_bytes);
    if (length > bytes.size())
    {
        return truncated;
    }
    const std::string_view part = bytes.substr(0, length);
    bytes.remove_prefix(length);
    return part;
}

std::string answer_to(directory::order_result result)
{
    switch (result)
    {
    case directory::order_result::other_base:
        return std::string(other_base_answer);
    case directory::order_result::conflict:
        return std::string(other_rollout_answer);
    case directory::order_result::changed:
    case directory::order_result::unchanged:
        break;
    }
    return {};
}

} // namespace

std::string make_entry(const config::command& command)
{
    return config_kind + encode(command);
}

std::string make_entry(const claims::claim_command& command)
{
    return claim_kind + encode(command);
}

std::string make_entry(const directory::command& command)
{
    return order_kind + encode(command);
}

std::string make_entry(const directory::departure_report& report)
{
    return departure_kind + encode(report);
}

std::optional<directory::departure_report> departures_in(std::string_view entry)
{
    if (!entry.starts_with(departure_kind))
    {
        return std::nullopt;
    }
    auto report = directory::decode_departure_report(entry.substr(1));
    return is_ok(report) ? std::optional(std::move(value_of(report)))
                         : std::nullopt;
}

control_state::control_state(std::uint64_t group)
    : m_config(group),
      m_claims(claims::claim_limits{})
{
}

std::string control_state::apply(std::uint64_t index, std::string_view entry)
{
    if (entry.starts_with(config_kind))
    {
        const auto command = config::decode_command(entry.substr(1));
        if (is_ok(command))
        {
            return boost::json::serialize(
                to_json(m_config.apply(index, value_of(command))));
        }
    }
    if (entry.starts_with(claim_kind))
    {
        m_config.skip(index);
        const auto command = claims::decode_command(entry.substr(1));
        if (is_ok(command))
        {
            return encode(m_claims.apply(index, value_of(command)));
        }
    }
    m_config.skip(index);
    if (entry.starts_with(order_kind))
    {
        const auto command = directory::decode_command(entry.substr(1));
        if (is_ok(command))
        {
            return answer_to(m_orders.apply(index, value_of(command)));
        }
    }
    if (const auto report = departures_in(entry))
    {
        m_departures.apply(index, *report);
    }
    return {};
}

std::string control_state::snapshot() const
{
    const std::string config = m_config.snapshot();
    const std::string claims = m_claims.snapshot();
    std::string out;
    append_length(out, config.size());
    out += config;
    append_length(out, claims.size());
    out += claims;
    out += encode(m_orders, m_departures);
    return out;
}

status control_state::restore(std::string_view snapshot)
{
    const auto config_part = take_section(snapshot);
    if (!is_ok(config_part))
    {
        return error_of(config_part);
    }
    const auto claims_part = take_section(snapshot);
    if (!is_ok(claims_part))
    {
        return error_of(claims_part);
    }
    auto config = config::state_machine::restore(value_of(config_part));
    if (!is_ok(config))
    {
        return error_of(config);
    }
    auto claims = claims::claim_table::restore(value_of(claims_part),
                                               claims::claim_limits{});
    if (!is_ok(claims))
    {
        return error_of(claims);
    }
    // Snapshots written by releases without fleet orders end here.
    directory::intent orders;
    directory::departure_table departures;
    if (!snapshot.empty())
    {
        auto decoded = directory::decode_intent(snapshot);
        if (!is_ok(decoded))
        {
            return error_of(decoded);
        }
        auto departed = directory::decode_departures(snapshot);
        if (!is_ok(departed))
        {
            return error_of(departed);
        }
        orders = std::move(value_of(decoded));
        departures = std::move(value_of(departed));
    }
    m_orders = std::move(orders);
    m_departures = std::move(departures);
    m_config = std::move(value_of(config));
    m_claims = std::move(value_of(claims));
    return success();
}

} // namespace limpet::control

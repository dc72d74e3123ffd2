#include <limpet/base/settings_reader.hpp>
#include <limpet/standin/fault.hpp>

namespace limpet::standin
{

namespace
{

constexpr std::size_t max_pending_orders = 1000;

std::optional<fault> read_kind(settings_reader& reader)
{
    const std::string kind = reader.text("kind");
    if (kind == "die")
    {
        return disconnect_fault{reader.number("after_events", 0, UINT32_MAX)};
    }
    if (kind == "truncate")
    {
        return truncate_fault{reader.number("after_events", 0, UINT32_MAX)};
    }
    if (kind == "cross")
    {
        return wrong_request_id_fault{reader.text("request")};
    }
    if (kind == "late")
    {
        return delay_fault{reader.milliseconds_or(
            "delay_ms", seconds(1), duration::zero(), seconds(600))};
    }
    if (kind == "hang")
    {
        return hang_fault{};
    }
    if (kind == "refuse")
    {
        return error_status_fault{
            static_cast<unsigned>(reader.number_or("status", 503, 400, 599))};
    }
    reader.fail("kind", "must be die, truncate, cross, late, hang or refuse");
    return std::nullopt;
}

} // namespace

outcome<fault_order> parse_fault_order(std::string_view text)
{
    const auto document = parse_json(text);
    if (!is_ok(document))
    {
        return error_of(document);
    }
    settings_reader reader(value_of(document), "fault");
    const std::optional<fault> kind = read_kind(reader);
    const std::uint64_t times = reader.number_or("times", 1, 1, UINT32_MAX);
    const status result = reader.finish();
    if (!is_ok(result))
    {
        return error_of(result);
    }
    return fault_order{*kind, times};
}

void fault_queue::add(fault_order order)
{
    const std::lock_guard lock(m_mutex);
    if (m_orders.size() < max_pending_orders)
    {
        m_orders.push_back(std::move(order));
    }
}

std::optional<fault> fault_queue::take()
{
    const std::lock_guard lock(m_mutex);
    if (m_orders.empty())
    {
        return std::nullopt;
    }
    fault_order& next = m_orders.front();
    fault result = next.kind;
    if (--next.times == 0)
    {
        m_orders.pop_front();
    }
    return result;
}

void fault_queue::clear()
{
    const std::lock_guard lock(m_mutex);
    m_orders.clear();
}

} // namespace limpet::standin

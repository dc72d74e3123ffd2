#include "fault_switch.hpp"

#include <limpet/base/settings_reader.hpp>

namespace limpet::wire
{

namespace
{

#ifdef LIMPET_FAULT_SWITCH
constexpr bool is_enabled = true;
#else
constexpr bool is_enabled = false;
#endif

} // namespace

outcome<link_fault> parse_link_fault(std::string_view text)
{
    if (text == "none")
    {
        return link_fault::none;
    }
    if (text == "cut")
    {
        return link_fault::cut;
    }
    if (text == "silent")
    {
        return link_fault::silent;
    }
    return error{error_code::invalid_argument,
                 "fault must be none, cut or silent"};
}

status set_fault(link_hub& hub, const boost::json::value& document)
{
    settings_reader reader(document, "fault");
    const vm_id peer(reader.text("peer"));
    const auto fault = parse_link_fault(reader.text("fault"));
    if (!is_ok(fault))
    {
        reader.fail("fault", error_of(fault).message);
    }
    const status result = reader.finish();
    return is_ok(result) ? hub.set_fault(peer, value_of(fault)) : result;
}

status fault_switch::set(const vm_id& peer, link_fault fault)
{
    if (!is_enabled)
    {
        return error{error_code::invalid_argument,
                     "this program was built without the fault switch"};
    }
    const std::lock_guard lock(m_mutex);
    m_faults[peer] = fault;
    return success();
}

link_fault fault_switch::find(const vm_id& peer) const
{
    if (!is_enabled)
    {
        return link_fault::none;
    }
    const std::lock_guard lock(m_mutex);
    const auto found = m_faults.find(peer);
    return found == m_faults.end() ? link_fault::none : found->second;
}

} // namespace limpet::wire

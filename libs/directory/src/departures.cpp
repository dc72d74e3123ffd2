#include "flatbuffer_departures.hpp"
#include "flatbuffer_registrations.hpp"
#include "flatbuffer_text.hpp"

#include <limpet/directory/departures.hpp>

namespace limpet::directory
{

namespace
{

using builder_type = flatbuffers::FlatBufferBuilder;
using text_offset = flatbuffers::Offset<flatbuffers::String>;

text_offset write_shared(builder_type& builder, const std::string& text)
{
    return text.empty() ? text_offset() : builder.CreateSharedString(text);
}

flatbuffers::Offset<fb::registration> write_departure(builder_type& builder,
                                                      const registration& from)
{
    const auto id = builder.CreateString(from.id.get());
    const auto service = write_shared(builder, from.service);
    const auto address = write_shared(builder, from.address);
    const auto data_centre = write_shared(builder, from.data_centre.get());
    const auto version = write_shared(builder, from.version);
    constexpr std::uint32_t no_time = 0;
    return fb::Createregistration(builder,
                                  id,
                                  service,
                                  address,
                                  data_centre,
                                  from.born_ms,
                                  from.sequence,
                                  from.slots,
                                  static_cast<std::uint8_t>(from.state),
                                  no_time,
                                  no_time,
                                  version);
}

} // namespace

registration departure_of(const registration& server)
{
    if (server.state != server_state::gone)
    {
        registration result = server;
        result.cold_until = {};
        result.heard_at = {};
        return result;
    }
    registration result;
    result.id = server.id;
    result.born_ms = server.born_ms;
    result.sequence = server.sequence;
    result.state = server.state;
    return result;
}

std::string encode(const departure_report& report)
{
    builder_type builder;
    std::vector<flatbuffers::Offset<fb::registration>> servers;
    servers.reserve(report.servers.size());
    for (const registration& each : report.servers)
    {
        servers.push_back(write_departure(builder, each));
    }
    const auto list = servers.empty() ? 0 : builder.CreateVector(servers);
    builder.Finish(
        fb::Createdeparture_report(builder, list, report.forgotten_index));
    return bytes_of(builder);
}

outcome<departure_report> decode_departure_report(std::string_view bytes)
{
    const std::string aligned(bytes);
    const auto* from = read_root<fb::departure_report>(aligned);
    if (from == nullptr)
    {
        return error{error_code::malformed, "malformed report of departures"};
    }
    departure_report report;
    report.forgotten_index = from->forgotten_index();
    if (from->servers() != nullptr)
    {
        for (const auto* each : *from->servers())
        {
            report.servers.push_back(read_registration(*each, time_point{}));
        }
    }
    return report;
}

void departure_table::apply(std::uint64_t index, const departure_report& report)
{
    while (!m_by_index.empty() &&
           m_by_index.begin()->first <= report.forgotten_index)
    {
        forget_oldest();
    }
    for (const registration& each : report.servers)
    {
        record(index, each);
    }
}

void departure_table::record(std::uint64_t index, const registration& server)
{
    if (!is_leaving(server))
    {
        return;
    }
    const auto [found, is_new] = m_entries.try_emplace(server.id);
    if (!is_new && is_older(server, found->second.server))
    {
        return;
    }
    m_by_index.erase({found->second.index, server.id});
    found->second = {server, index};
    m_by_index.emplace(index, server.id);
    if (m_entries.size() > max_departures)
    {
        forget_oldest();
    }
}

void departure_table::forget_oldest()
{
    m_entries.erase(m_by_index.begin()->second);
    m_by_index.erase(m_by_index.begin());
}

bool departure_table::covers(const registration& departure) const
{
    const auto found = m_entries.find(departure.id);
    if (found == m_entries.end())
    {
        return false;
    }
    const registration& known = found->second.server;
    return known.state == server_state::gone
               ? known.born_ms >= departure.born_ms
               : !is_older(known, departure);
}

bool departure_table::has_departed(const engine_id& id,
                                   std::uint64_t born_ms) const
{
    const auto found = m_entries.find(id);
    return found != m_entries.end() && found->second.server.born_ms >= born_ms;
}

void departure_table::for_each_after(
    std::uint64_t index, const std::function<void(const entry&)>& visit) const
{
    for (auto each = m_by_index.lower_bound({index + 1, engine_id()});
         each != m_by_index.end();
         ++each)
    {
        visit(m_entries.at(each->second));
    }
}

flatbuffers::Offset<departure_list>
write_departures(builder_type& builder, const departure_table& from)
{
    std::vector<flatbuffers::Offset<fb::departure>> departures;
    departures.reserve(from.size());
    from.for_each_after(
        0,
        [&builder, &departures](const departure_table::entry& each)
        {
            departures.push_back(fb::Createdeparture(
                builder, write_departure(builder, each.server), each.index));
        });
    return departures.empty() ? 0 : builder.CreateVector(departures);
}

departure_table read_departures(const departure_list* from)
{
    departure_table table;
    if (from == nullptr)
    {
        return table;
    }
    for (const auto* each : *from)
    {
        if (each->server() != nullptr)
        {
            departure_report report;
            report.servers.push_back(
                read_registration(*each->server(), time_point{}));
            table.apply(each->index(), report);
        }
    }
    return table;
}

} // namespace limpet::directory

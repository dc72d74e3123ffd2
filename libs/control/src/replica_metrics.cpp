#include "replica_metrics.hpp"

#include <limpet/base/log.hpp>
#include <limpet/base/metrics_text.hpp>

#include <algorithm>
#include <array>
#include <sstream>

namespace limpet::control
{

namespace
{

constexpr std::array exported_channels = {
    wire::channel::consensus, wire::channel::control, wire::channel::directory};

void write(std::ostream& out, std::string_view name, std::uint64_t value)
{
    out << "limpet_control_" << name << " " << value << "\n";
}

void write_traffic(std::ostream& out, const wire::traffic_counters& sent)
{
    for (const wire::channel each : exported_channels)
    {
        const auto label = "{channel=\"" + std::string(to_string(each)) + "\"}";
        out << "limpet_control_sent_bytes_total" << label << " "
            << sent.sent_bytes(each) << "\nlimpet_control_sent_frames_total"
            << label << " " << sent.sent_frames(each)
            << "\nlimpet_control_received_bytes_total" << label << " "
            << sent.received_bytes(each)
            << "\nlimpet_control_received_frames_total" << label << " "
            << sent.received_frames(each) << "\n";
    }
}

void write_contents(std::ostream& out, const content_meter& sent)
{
    for (std::size_t i = 0; i < feed_content_count; ++i)
    {
        const auto content = static_cast<feed_content>(i);
        const auto label =
            "{content=\"" + std::string(to_string(content)) + "\"}";
        out << "limpet_control_feed_bytes_total" << label << " "
            << sent.of(content).bytes << "\nlimpet_control_feed_frames_total"
            << label << " " << sent.of(content).frames << "\n";
    }
}

void write_delays(std::ostream& out, const replica_metrics& metrics)
{
    if (metrics.work != nullptr)
    {
        for (std::size_t i = 0; i < work_kind_count; ++i)
        {
            const auto kind = static_cast<work_kind>(i);
            write_histogram(out,
                            "limpet_control_work_seconds",
                            "kind=\"" + std::string(to_string(kind)) + "\"",
                            metrics.work->of(kind));
        }
    }
    if (metrics.late != nullptr)
    {
        write_histogram(
            out, "limpet_control_delay_seconds", "of=\"tick\"", *metrics.late);
    }
    if (metrics.persist != nullptr)
    {
        write_histogram(out,
                        "limpet_control_delay_seconds",
                        "of=\"persist\"",
                        *metrics.persist);
    }
}

} // namespace

std::string to_prometheus_text(const replica_metrics& metrics)
{
    const replica::replica_view& state = metrics.state;
    const auto voters = std::count_if(state.members.begin(),
                                      state.members.end(),
                                      [](const replica::member_view& each)
                                      {
                                          return each.voter;
                                      });
    std::ostringstream out;
    write(out, "is_leader", state.is_leader ? 1 : 0);
    write(out, "has_lease", state.has_lease ? 1 : 0);
    write(out, "storage_writable", state.is_storage_writable ? 1 : 0);
    write(out, "storage_failures_total", state.write_failures);
    write(out, "knows_leader", state.leader ? 1 : 0);
    write(out, "term", state.term.get());
    write(out, "log_last", state.last.get());
    write(out, "log_committed", state.committed.get());
    write(out, "log_applied", state.applied.get());
    write(out, "log_snapshot", state.snapshot.get());
    write(out, "members", state.members.size());
    write(out, "voters", static_cast<std::uint64_t>(voters));
    write(out, "orders_index", metrics.orders_index);
    write(out, "document_version", metrics.document_version);
    write(out, "routers", metrics.routers);
    write(out, "servers", metrics.servers);
    write(out, "departures", metrics.departures);
    write(out, "departures_recorded_total", metrics.departed.recorded);
    write(out, "departures_failed_total", metrics.departed.failed);
    if (metrics.sent != nullptr)
    {
        write_traffic(out, *metrics.sent);
    }
    if (metrics.sent_content != nullptr)
    {
        write_contents(out, *metrics.sent_content);
    }
    write_delays(out, metrics);
    out << "limpet_log_lines_total " << log_lines_written() << "\n";
    return out.str();
}

} // namespace limpet::control

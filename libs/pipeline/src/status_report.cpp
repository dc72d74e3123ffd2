#include "status_report.hpp"

#include <sstream>
#include <unordered_map>

namespace limpet::pipeline
{

namespace
{

boost::json::object describe(const membership::router_record& router)
{
    return {{"vm", router.self.vm.get()},
            {"data_centre", router.self.data_centre.get()},
            {"region", router.self.region.get()},
            {"address", router.self.address},
            {"state", to_string(router.state)},
            {"ready", router.ready}};
}

boost::json::object describe(const membership::engine_entry& entry,
                             const membership::view& members,
                             const engine_status* owned)
{
    const membership::engine_record& record = *entry.engine;
    const auto* owner = members.owner_of(record.server.engine);
    boost::json::array models;
    for (const model_id& model : record.server.models)
    {
        models.emplace_back(model.get());
    }
    boost::json::object out{
        {"engine", record.server.engine.get()},
        {"data_centre", record.server.data_centre.get()},
        {"kind", to_string(record.server.kind)},
        {"models", std::move(models)},
        {"leaving", record.server.leaving},
        {"owner", owner == nullptr ? "" : owner->self.vm.get()}};
    if (owned != nullptr)
    {
        out["in_service"] = owned->in_service;
        out["in_flight"] = owned->in_flight;
        out["waiting"] = owned->waiting;
        out["limit"] = owned->limit;
        out["bound"] = owned->bound;
    }
    return out;
}

} // namespace

boost::json::object make_status_report(const status_inputs& inputs)
{
    std::unordered_map<engine_id, const engine_status*> owned;
    for (const engine_status& item : inputs.owned)
    {
        owned.emplace(item.engine, &item);
    }
    boost::json::array routers;
    for (const membership::router_record& router : inputs.members->routers())
    {
        routers.push_back(describe(router));
    }
    boost::json::array engines;
    for (const membership::engine_entry& entry : inputs.members->engines())
    {
        const auto found = owned.find(entry.engine->server.engine);
        engines.push_back(
            describe(entry,
                     *inputs.members,
                     found == owned.end() ? nullptr : found->second));
    }
    return {
        {"vm", inputs.self.vm.get()},
        {"incarnation", inputs.self.start.get()},
        {"revision", inputs.config ? inputs.config->where().number.get() : 0},
        {"routers", std::move(routers)},
        {"engines", std::move(engines)}};
}

std::string owner_metrics_text(const std::vector<engine_status>& engines)
{
    std::ostringstream out;
    out << "# TYPE limpet_engine_in_flight gauge\n"
        << "# TYPE limpet_engine_waiting gauge\n"
        << "# TYPE limpet_engine_limit gauge\n"
        << "# TYPE limpet_engine_bound gauge\n";
    for (const engine_status& item : engines)
    {
        const std::string label = "{engine=\"" + item.engine.get() + "\"} ";
        out << "limpet_engine_in_flight" << label << item.in_flight << "\n"
            << "limpet_engine_waiting" << label << item.waiting << "\n"
            << "limpet_engine_limit" << label << item.limit << "\n"
            << "limpet_engine_bound" << label << item.bound << "\n";
    }
    return out.str();
}

std::string traffic_text(const wire::traffic_counters& counters)
{
    std::ostringstream out;
    out << "# TYPE limpet_link_bytes_total counter\n";
    for (std::size_t i = 1; i < wire::channel_count; ++i)
    {
        const auto kind = static_cast<wire::channel>(i);
        const std::string label =
            "{channel=\"" + std::string(to_string(kind)) + "\",direction=\"";
        out << "limpet_link_bytes_total" << label << "sent\"} "
            << counters.sent_bytes(kind) << "\n"
            << "limpet_link_bytes_total" << label << "received\"} "
            << counters.received_bytes(kind) << "\n";
    }
    return out.str();
}

} // namespace limpet::pipeline

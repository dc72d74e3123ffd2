#include "directory_generated.h"
#include "flatbuffer_departures.hpp"
#include "flatbuffer_rollouts.hpp"
#include "flatbuffer_text.hpp"
#include "flatbuffer_versions.hpp"

#include <limpet/directory/intent.hpp>

namespace limpet::directory
{

namespace
{

constexpr error_code malformed = error_code::malformed;

bool is_known(std::uint8_t kind)
{
    return kind >= static_cast<std::uint8_t>(command_kind::put_document) &&
           kind <= static_cast<std::uint8_t>(command_kind::advance_rollout);
}

/// Several versions of a service mean the same as two, and more services than
/// these have no entry.
constexpr std::size_t max_versions_of_service = 8;
constexpr std::size_t max_services = 1000;

} // namespace

std::string encode(const command& order)
{
    flatbuffers::FlatBufferBuilder builder;
    flatbuffers::Offset<flatbuffers::String> document;
    if (order.document)
    {
        document = builder.CreateString(order.document->packed().bytes());
    }
    flatbuffers::Offset<flatbuffers::String> change;
    if (order.change)
    {
        change = builder.CreateString(encode(order.change->delta));
    }
    const auto data_centre = builder.CreateString(order.data_centre);
    const bool has_version = order.kind == command_kind::add_version;
    const std::string service_name = order.start  ? order.start->service
                                     : order.step ? order.step->service
                                                  : order.service;
    const auto service =
        service_name.empty() ? 0 : builder.CreateString(service_name);
    const auto software_version =
        has_version ? builder.CreateString(order.software_version) : 0;
    const auto target =
        order.start ? builder.CreateString(order.start->target) : 0;
    const auto rollout = order.start  ? order.start->replaces
                         : order.step ? order.step->id
                                      : rollout::rollout_id();
    builder.Finish(fb::Createcommand(
        builder,
        static_cast<std::uint8_t>(order.kind),
        order.version.get(),
        document,
        data_centre,
        change,
        order.change ? order.change->base.get() : 0,
        service,
        software_version,
        target,
        order.start ? to_wire_ms(order.start->length) : 0,
        rollout.get(),
        order.step ? static_cast<std::uint8_t>(order.step->to) : 0,
        order.step ? to_wire_ms(order.step->elapsed) : 0));
    return bytes_of(builder);
}

outcome<command> decode_command(std::string_view bytes)
{
    const std::string aligned(bytes);
    const auto* from = read_root<fb::command>(aligned);
    if (from == nullptr || !is_known(from->kind()))
    {
        return error{malformed, "malformed entry of the control log"};
    }
    command order;
    order.kind = static_cast<command_kind>(from->kind());
    order.version = document_version(from->version());
    order.data_centre = text_or_empty(from->data_centre());
    order.service = text_or_empty(from->service());
    order.software_version = text_or_empty(from->software_version());
    if (order.kind == command_kind::start_rollout)
    {
        order.start =
            rollout::start_order{order.service,
                                 text_or_empty(from->target()),
                                 milliseconds(from->length_ms()),
                                 rollout::rollout_id(from->rollout_id())};
    }
    if (order.kind == command_kind::advance_rollout)
    {
        const auto to = read_phase(from->phase());
        if (!to)
        {
            return error{malformed, "unknown phase of a rollout"};
        }
        order.step = rollout::advance{order.service,
                                      rollout::rollout_id(from->rollout_id()),
                                      *to,
                                      milliseconds(from->elapsed_ms())};
    }
    if (from->document() != nullptr && from->document()->size() > 0)
    {
        auto document = stored_document::decompress(
            compressed_text(from->document()->str()));
        if (!is_ok(document))
        {
            return error_of(document);
        }
        order.document = std::move(value_of(document));
    }
    if (from->change() != nullptr)
    {
        auto delta = decode_delta(from->change()->str());
        if (!is_ok(delta))
        {
            return error_of(delta);
        }
        order.change = change_of_version{document_version(from->base_version()),
                                         std::move(value_of(delta))};
    }
    return order;
}

order_result intent::apply(std::uint64_t at, const command& order)
{
    const auto result_of = [](bool is_change)
    {
        return is_change ? order_result::changed : order_result::unchanged;
    };
    order_result result = order_result::unchanged;
    switch (order.kind)
    {
    case command_kind::put_document:
        result = put_document(order);
        break;
    case command_kind::take_out:
        result = result_of(taken_out.insert(order.data_centre).second);
        break;
    case command_kind::bring_back:
        result = result_of(taken_out.erase(order.data_centre) > 0);
        break;
    case command_kind::add_version:
        result =
            result_of(lacks_version(order.service, order.software_version));
        if (result == order_result::changed)
        {
            versions[order.service].insert(order.software_version);
        }
        break;
    case command_kind::start_rollout:
        result = begin_rollout(at, order);
        break;
    case command_kind::advance_rollout:
        result = advance_rollout(order);
        break;
    }
    if (result == order_result::changed)
    {
        index = at;
    }
    return result;
}

bool intent::lacks_version(const std::string& service,
                           const std::string& software_version) const
{
    const auto found = versions.find(service);
    return found == versions.end()
               ? versions.size() < max_services
               : found->second.size() < max_versions_of_service &&
                     !found->second.contains(software_version);
}

order_result intent::begin_rollout(std::uint64_t at, const command& order)
{
    if (!order.start)
    {
        return order_result::unchanged;
    }
    const auto found = versions.find(order.start->service);
    switch (rollout::start(rollouts,
                           *order.start,
                           rollout::rollout_id(at),
                           found == versions.end() ? std::set<std::string>()
                                                   : found->second))
    {
    case rollout::start_result::started:
        return order_result::changed;
    case rollout::start_result::repeated:
        return order_result::unchanged;
    case rollout::start_result::refused:
        break;
    }
    return order_result::conflict;
}

order_result intent::advance_rollout(const command& order)
{
    const auto found =
        order.step ? rollouts.find(order.step->service) : rollouts.end();
    if (found == rollouts.end())
    {
        return order_result::unchanged;
    }
    const rollout::phase before = found->second.current;
    rollout::apply(found->second, *order.step);
    return found->second.current == before ? order_result::unchanged
                                           : order_result::changed;
}

order_result intent::put_document(const command& order)
{
    if (document && order.version <= version)
    {
        return order_result::unchanged;
    }
    auto next = order.document;
    if (order.change)
    {
        if (!document || order.change->base != version)
        {
            return order_result::other_base;
        }
        auto text = apply_delta(order.change->delta, document->text());
        if (!is_ok(text))
        {
            return order_result::other_base;
        }
        next =
            std::make_shared<const stored_document>(std::move(value_of(text)));
    }
    version = order.version;
    document = std::move(next);
    return order_result::changed;
}

std::string encode(const intent& state, const departure_table& departures)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto evacuated = write_texts(builder, state.taken_out);
    const auto document =
        state.document ? builder.CreateString(state.document->packed().bytes())
                       : flatbuffers::Offset<flatbuffers::String>();
    const auto versions = write_versions(builder, state.versions);
    const auto rollouts = write_rollouts(builder, state.rollouts);
    const auto departed = write_departures(builder, departures);
    builder.Finish(fb::Createsnapshot(builder,
                                      state.index,
                                      state.version.get(),
                                      document,
                                      evacuated,
                                      versions,
                                      rollouts,
                                      departed));
    return bytes_of(builder);
}

outcome<departure_table> decode_departures(std::string_view bytes)
{
    const std::string aligned(bytes);
    const auto* from = read_root<fb::snapshot>(aligned);
    if (from == nullptr)
    {
        return error{malformed, "malformed snapshot of the departures"};
    }
    return read_departures(from->departures());
}

outcome<intent> decode_intent(std::string_view bytes)
{
    const std::string aligned(bytes);
    const auto* from = read_root<fb::snapshot>(aligned);
    if (from == nullptr)
    {
        return error{malformed, "malformed snapshot of the operators' orders"};
    }
    intent state;
    state.index = from->index();
    state.version = document_version(from->version());
    if (from->document() != nullptr)
    {
        auto document = stored_document::decompress(
            compressed_text(from->document()->str()));
        if (!is_ok(document))
        {
            return error_of(document);
        }
        state.document = std::move(value_of(document));
    }
    if (from->evacuated() != nullptr)
    {
        for (const auto* each : *from->evacuated())
        {
            state.taken_out.insert(each->str());
        }
    }
    state.versions = read_versions(from->versions());
    state.rollouts = read_rollouts(from->rollouts());
    return state;
}

} // namespace limpet::directory

#include "message.hpp"
#include "packed_rows.hpp"

#include <algorithm>
#include <membership_generated.h>

namespace limpet::membership
{

namespace
{

router_record read(const wire::Router& input)
{
    router_record record;
    record.self.vm = vm_id(input.vm()->str());
    record.self.address = input.address()->str();
    record.self.data_centre = data_centre_id(input.data_centre()->str());
    record.self.region = region_id(input.region()->str());
    record.started = incarnation(input.started());
    record.version = input.version();
    // A state that only a later release has is mapped to the last known one.
    record.state = static_cast<router_state>(
        std::min(input.state(), static_cast<std::uint8_t>(router_state::left)));
    record.flaps = input.flaps();
    record.ready = input.ready();
    return record;
}

engine_ptr read(const wire::Engine& input)
{
    auto record = std::make_shared<engine_record>();
    auto& server = record->server;
    server.engine = engine_id(input.engine()->str());
    server.address = input.address()->str();
    server.data_centre = data_centre_id(input.data_centre()->str());
    for (const auto* model : *input.models())
    {
        server.models.emplace_back(model->str());
    }
    server.started = incarnation(input.started());
    server.slots = input.slots();
    server.kind =
        input.kind() == 0 ? server_kind::engine : server_kind::service;
    server.checks_fencing = input.checks_fencing();
    server.leaving = input.leaving();
    record->version = input.version();
    record->gone = input.gone();
    record->flaps = input.flaps();
    return record;
}

router_status read(const wire::RouterStatus& input)
{
    return {input.key(),
            incarnation(input.started()),
            input.version(),
            static_cast<router_state>(std::min(
                input.state(), static_cast<std::uint8_t>(router_state::left))),
            input.flaps(),
            input.ready()};
}

engine_status read(const wire::EngineStatus& input)
{
    return {input.key(),
            incarnation(input.started()),
            input.version(),
            input.flaps(),
            input.leaving(),
            input.gone()};
}

template <class Vector, class Result>
void read_all(const Vector* input, std::vector<Result>& result)
{
    if (input == nullptr)
    {
        return;
    }
    result.reserve(input->size());
    for (const auto* item : *input)
    {
        result.push_back(read(*item));
    }
}

template <class Table>
std::optional<load_sums> read_sums(const Table& input)
{
    auto rows = unpack(input.rows()->data(), input.rows()->size());
    if (!rows)
    {
        return std::nullopt;
    }
    return load_sums{std::move(*rows), input.age_ms()};
}

renewals read(const wire::Renewals& input)
{
    renewals result;
    for (const auto* item : *input.items())
    {
        result.items.push_back({item->key(), incarnation(item->started())});
    }
    return result;
}

hand_over read(const wire::HandOver& input)
{
    hand_over result;
    for (const auto* item : *input.items())
    {
        result.items.push_back({item->key(),
                                fencing_number(item->fencing()),
                                item->in_flight(),
                                item->limit(),
                                item->full()});
    }
    return result;
}

std::optional<body> read_region_sums(const wire::RegionSums& input)
{
    auto sums = read_sums(input);
    if (!sums)
    {
        return std::nullopt;
    }
    region_sums result;
    result.region = region_id(input.region()->str());
    read_all(input.contacts(), result.contacts);
    result.relayed = input.relayed();
    result.sums = std::move(*sums);
    return result;
}

template <class Body, class Table>
std::optional<body> read_round(const Table& input)
{
    auto sums = read_sums(input);
    if (!sums)
    {
        return std::nullopt;
    }
    return Body{input.round(), std::move(*sums)};
}

std::optional<body> read_digest_body(const wire::Message& input)
{
    switch (input.body_type())
    {
    case wire::Body::Collect:
        return read_round<collect>(*input.body_as_Collect());
    case wire::Body::Report:
        return read_round<report>(*input.body_as_Report());
    case wire::Body::Sums:
        if (auto sums = read_sums(*input.body_as_Sums()))
        {
            return data_centre_sums{std::move(*sums)};
        }
        return std::nullopt;
    case wire::Body::RegionSums:
        return read_region_sums(*input.body_as_RegionSums());
    default:
        return std::nullopt;
    }
}

std::optional<body> read_sync_body(const wire::Message& input)
{
    if (const auto* request = input.body_as_SyncRequest())
    {
        return sync_request{
            {request->buckets()->begin(), request->buckets()->end()}};
    }
    const auto* records = input.body_as_SyncRecords();
    return sync_records{
        {records->buckets()->begin(), records->buckets()->end()},
        records->answer()};
}

std::optional<body> read_body(const wire::Message& input)
{
    switch (input.body_type())
    {
    case wire::Body::Join:
        return join_request{read(*input.body_as_Join()->self())};
    case wire::Body::Welcome:
        return join_response{read(*input.body_as_Welcome()->self()),
                             input.body_as_Welcome()->former_flaps()};
    case wire::Body::Ping:
        return ping{input.body_as_Ping()->sequence(),
                    input.body_as_Ping()->target()};
    case wire::Body::Ack:
        return ack{input.body_as_Ack()->sequence(),
                   input.body_as_Ack()->subject(),
                   input.body_as_Ack()->granted(),
                   input.body_as_Ack()->unknown()};
    case wire::Body::SyncRequest:
    case wire::Body::SyncRecords:
        return read_sync_body(input);
    case wire::Body::Gossip:
        return gossip{};
    case wire::Body::Renewals:
        return read(*input.body_as_Renewals());
    case wire::Body::HandOver:
        return read(*input.body_as_HandOver());
    default:
        return read_digest_body(input);
    }
}

} // namespace

outcome<message> decode(std::string_view bytes)
{
    // FlatBuffers reads in place and requires aligned memory.
    std::vector<std::uint64_t> aligned((bytes.size() + 7) / 8);
    const auto* data = reinterpret_cast<const std::uint8_t*>(aligned.data());
    std::copy(
        bytes.begin(), bytes.end(), reinterpret_cast<char*>(aligned.data()));
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!verifier.VerifyBuffer<wire::Message>(nullptr))
    {
        return error{error_code::malformed, "not a valid membership message"};
    }
    const auto& input = *flatbuffers::GetRoot<wire::Message>(data);
    auto content = input.body() == nullptr ? std::nullopt : read_body(input);
    if (!content)
    {
        return error{error_code::malformed,
                     "membership message without a valid body"};
    }
    message result;
    result.from = input.from();
    result.started = incarnation(input.started());
    result.clock = input.clock();
    result.content = std::move(*content);
    read_all(input.routers(), result.changes.routers);
    read_all(input.engines(), result.changes.engines);
    read_all(input.router_statuses(), result.changes.router_statuses);
    read_all(input.engine_statuses(), result.changes.engine_statuses);
    return result;
}

} // namespace limpet::membership

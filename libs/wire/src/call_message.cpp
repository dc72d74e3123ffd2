#include "call_generated.h"

#include <limpet/wire/call_message.hpp>

namespace limpet::wire
{

namespace
{

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

Offset<flatbuffers::Vector<std::uint8_t>>
write_bytes(FlatBufferBuilder& builder, std::string_view bytes)
{
    return builder.CreateVector(
        reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

std::string read_bytes(const flatbuffers::Vector<std::uint8_t>& bytes)
{
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

Offset<fbs::call_message> write(FlatBufferBuilder& builder, const call& value)
{
    const auto payload = write_bytes(builder, value.payload);
    const auto table = fbs::Createcall(
        builder, value.id, static_cast<std::uint8_t>(value.kind), payload);
    return fbs::Createcall_message(
        builder, fbs::call_body::call, table.Union());
}

Offset<fbs::call_message> write(FlatBufferBuilder& builder, const reply& value)
{
    const bool failed = !is_ok(value.result);
    const error reason = failed ? error_of(value.result) : error{};
    const auto payload = write_bytes(
        builder, failed ? std::string_view() : value_of(value.result));
    const auto message = builder.CreateString(reason.message);
    const auto leader = builder.CreateString(value.leader.get());
    const auto table = fbs::Createreply(builder,
                                        value.id,
                                        failed,
                                        static_cast<std::uint8_t>(reason.code),
                                        message,
                                        leader,
                                        payload);
    return fbs::Createcall_message(
        builder, fbs::call_body::reply, table.Union());
}

outcome<call_message> read_call(const fbs::call& table)
{
    if (table.kind() > static_cast<std::uint8_t>(call_kind::record_departures))
    {
        return error{error_code::malformed, "unknown call kind"};
    }
    return call{table.id(),
                static_cast<call_kind>(table.kind()),
                read_bytes(*table.payload())};
}

outcome<call_message> read_reply(const fbs::reply& table)
{
    reply value;
    value.id = table.id();
    value.leader = vm_id(table.leader()->str());
    if (!table.failed())
    {
        value.result = read_bytes(*table.payload());
        return value;
    }
    if (table.code() > static_cast<std::uint8_t>(error_code::internal))
    {
        return error{error_code::malformed, "unknown error code in reply"};
    }
    value.result =
        error{static_cast<error_code>(table.code()), table.message()->str()};
    return value;
}

} // namespace

std::string encode(const call_message& message)
{
    FlatBufferBuilder builder;
    builder.Finish(std::visit(
        [&builder](const auto& value)
        {
            return write(builder, value);
        },
        message));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
            builder.GetSize()};
}

outcome<call_message> decode_call_message(std::string_view payload)
{
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(payload.data());
    flatbuffers::Verifier verifier(bytes, payload.size());
    if (!fbs::Verifycall_messageBuffer(verifier))
    {
        return error{error_code::malformed, "malformed call message"};
    }
    const fbs::call_message& table = *fbs::Getcall_message(bytes);
    if (const fbs::call* value = table.content_as_call())
    {
        return read_call(*value);
    }
    if (const fbs::reply* value = table.content_as_reply())
    {
        return read_reply(*value);
    }
    return error{error_code::malformed, "call message without content"};
}

} // namespace limpet::wire

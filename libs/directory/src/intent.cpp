#include "directory_generated.h"
#include "flat_text.hpp"

#include <limpet/directory/intent.hpp>

namespace limpet::directory
{

namespace
{

constexpr error_code bad = error_code::malformed;

bool is_known(std::uint8_t kind)
{
    return kind >= static_cast<std::uint8_t>(command_kind::put_document) &&
           kind <= static_cast<std::uint8_t>(command_kind::bring_back);
}

} // namespace

std::string encode(const command& order)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto document = builder.CreateString(order.document.bytes());
    const auto data_centre = builder.CreateString(order.data_centre);
    builder.Finish(fb::Createcommand(builder,
                                     static_cast<std::uint8_t>(order.kind),
                                     order.version.get(),
                                     document,
                                     data_centre));
    return bytes_of(builder);
}

outcome<command> decode_command(std::string_view bytes)
{
    const std::string aligned(bytes);
    const auto* from = read_root<fb::command>(aligned);
    if (from == nullptr || !is_known(from->kind()))
    {
        return error{bad, "the order cannot be read"};
    }
    command order;
    order.kind = static_cast<command_kind>(from->kind());
    order.version = document_version(from->version());
    order.document = packed_text(text_or_empty(from->document()));
    order.data_centre = text_or_empty(from->data_centre());
    return order;
}

bool intent::apply(std::uint64_t at, const command& order)
{
    bool is_change = false;
    switch (order.kind)
    {
    case command_kind::put_document:
        is_change = !document || order.version > version;
        if (is_change)
        {
            version = order.version;
            document = std::make_shared<const packed_text>(order.document);
        }
        break;
    case command_kind::take_out:
        is_change = taken_out.insert(order.data_centre).second;
        break;
    case command_kind::bring_back:
        is_change = taken_out.erase(order.data_centre) > 0;
        break;
    }
    if (is_change)
    {
        index = at;
    }
    return is_change;
}

std::string encode(const intent& state)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto evacuated = write_texts(builder, state.taken_out);
    const auto document = state.document
                              ? builder.CreateString(state.document->bytes())
                              : flatbuffers::Offset<flatbuffers::String>();
    builder.Finish(fb::Createsnapshot(
        builder, state.index, state.version.get(), document, evacuated));
    return bytes_of(builder);
}

outcome<intent> decode_intent(std::string_view bytes)
{
    const std::string aligned(bytes);
    const auto* from = read_root<fb::snapshot>(aligned);
    if (from == nullptr)
    {
        return error{bad, "the operators' orders cannot be read"};
    }
    intent state;
    state.index = from->index();
    state.version = document_version(from->version());
    if (from->document() != nullptr)
    {
        state.document =
            std::make_shared<const packed_text>(from->document()->str());
    }
    if (from->evacuated() != nullptr)
    {
        for (const auto* each : *from->evacuated())
        {
            state.taken_out.insert(each->str());
        }
    }
    return state;
}

} // namespace limpet::directory

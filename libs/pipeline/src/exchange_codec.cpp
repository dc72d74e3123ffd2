#include "exchange_generated.h"

#include <limpet/pipeline/exchange_message.hpp>

#include <algorithm>
#include <limits>
#include <optional>
#include <vector>

namespace limpet::pipeline
{

namespace
{

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using field_list = flatbuffers::Vector<Offset<fbs::field>>;

std::uint32_t to_wire_ms(duration value)
{
    const auto count = std::chrono::duration_cast<milliseconds>(value).count();
    const milliseconds::rep highest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(
        std::clamp<milliseconds::rep>(count, 0, highest));
}

Offset<field_list> write_headers(FlatBufferBuilder& builder,
                                 const http::header_list& headers)
{
    std::vector<Offset<fbs::field>> fields;
    fields.reserve(headers.size());
    for (const http::header item : headers)
    {
        fields.push_back(fbs::Createfield(builder,
                                          builder.CreateString(item.name),
                                          builder.CreateString(item.value)));
    }
    return builder.CreateVector(fields);
}

http::header_list read_headers(const field_list& fields)
{
    http::header_list headers;
    for (const fbs::field* item : fields)
    {
        headers.add(item->name()->string_view(), item->value()->string_view());
    }
    return headers;
}

Offset<fbs::holder> write_holder(FlatBufferBuilder& builder,
                                 const prefix_holder& holder)
{
    const auto engine = builder.CreateString(holder.engine.get());
    return fbs::Createholder(
        builder, engine, holder.run.get(), holder.tokens.get());
}

prefix_holder read_holder(const fbs::holder& table)
{
    return {engine_id(table.engine()->str()),
            incarnation(table.incarnation()),
            token_count(table.tokens())};
}

/// Writes the content as its table and stores its union tag.
struct content_writer
{
    FlatBufferBuilder& builder;
    fbs::body kind = fbs::body::NONE;

    Offset<void> operator()(const open_message& value)
    {
        kind = fbs::body::open;
        const auto headers = write_headers(builder, value.call.headers);
        return fbs::Createopen(builder,
                               builder.CreateString(value.request.get()),
                               builder.CreateString(value.engine.get()),
                               builder.CreateString(value.partner.get()),
                               builder.CreateString(value.team.get()),
                               builder.CreateString(value.chat.get()),
                               builder.CreateString(value.model.get()),
                               value.priority,
                               value.cost_tokens,
                               value.repeatable,
                               value.stream,
                               value.is_first,
                               value.may_go_elsewhere,
                               to_wire_ms(value.deadline),
                               to_wire_ms(value.queue_time),
                               to_wire_ms(value.longest_wait),
                               value.resume_after,
                               builder.CreateString(value.call.method),
                               builder.CreateString(value.call.target),
                               headers,
                               builder.CreateString(value.call.body))
            .Union();
    }

    Offset<void> operator()(const head_message& value)
    {
        kind = fbs::body::head;
        const auto headers = write_headers(builder, value.head.headers);
        const auto code = static_cast<std::uint16_t>(value.head.status);
        return fbs::Createhead(
                   builder, value.sequence, code, headers, value.is_whole)
            .Union();
    }

    Offset<void> operator()(const hand_over_message& value)
    {
        kind = fbs::body::hand_over;
        const auto headers = write_headers(builder, value.call.headers);
        return fbs::Createhand_over(builder,
                                    to_wire_ms(value.time_left),
                                    builder.CreateString(value.call.method),
                                    builder.CreateString(value.call.target),
                                    headers,
                                    builder.CreateString(value.call.payload()))
            .Union();
    }

    Offset<void> operator()(const part_message& value)
    {
        kind = fbs::body::part;
        const auto bytes = builder.CreateString(value.bytes);
        return fbs::Createpart(builder, value.sequence, value.last_event, bytes)
            .Union();
    }

    Offset<void> operator()(const finish_message& value)
    {
        kind = fbs::body::finish;
        const auto text = builder.CreateString(value.reason.message);
        std::vector<Offset<fbs::holder>> holders;
        for (const prefix_holder& holder : value.holders)
        {
            holders.push_back(write_holder(builder, holder));
        }
        return fbs::Createfinish(builder,
                                 value.sequence,
                                 static_cast<std::uint8_t>(value.result),
                                 static_cast<std::uint8_t>(value.reason.code),
                                 text,
                                 to_wire_ms(value.retry_after),
                                 builder.CreateVector(holders))
            .Union();
    }

    Offset<void> operator()(const credit_message& value)
    {
        kind = fbs::body::credit;
        return fbs::Createcredit(builder, value.bytes).Union();
    }

    Offset<void> operator()(const cancel_message&)
    {
        kind = fbs::body::cancel;
        return fbs::Createcancel(builder).Union();
    }

    Offset<void> operator()(const query_message& value)
    {
        kind = fbs::body::query;
        return fbs::Createquery(builder, value.sent_to.get()).Union();
    }

    Offset<void> operator()(const placed_message& value)
    {
        kind = fbs::body::placed;
        const auto team = builder.CreateString(value.team.get());
        const auto chat = builder.CreateString(value.chat.get());
        const auto holder = write_holder(builder, value.holder);
        return fbs::Createplaced(builder, team, chat, holder).Union();
    }

    Offset<void> operator()(const state_message& value)
    {
        kind = fbs::body::state;
        return fbs::Createstate(builder, static_cast<std::uint8_t>(value.value))
            .Union();
    }

    Offset<void> operator()(const load_message& value)
    {
        kind = fbs::body::load;
        const auto engine = builder.CreateString(value.engine.get());
        return fbs::Createload(builder,
                               engine,
                               value.run.get(),
                               value.in_flight,
                               value.cached.get())
            .Union();
    }
};

open_message read_open(const fbs::open& table)
{
    open_message value;
    value.request = request_id(table.request()->str());
    value.engine = engine_id(table.engine()->str());
    value.partner = partner_id(table.partner()->str());
    value.team = team_id(table.team()->str());
    value.chat = chat_id(table.chat()->str());
    value.model = model_id(table.model()->str());
    value.priority = table.priority();
    value.cost_tokens = table.cost_tokens();
    value.repeatable = table.repeatable();
    value.stream = table.stream();
    value.is_first = table.is_first();
    value.may_go_elsewhere = table.may_go_elsewhere();
    value.deadline = milliseconds(table.deadline_ms());
    value.queue_time = milliseconds(table.queue_ms());
    value.longest_wait = milliseconds(table.longest_wait_ms());
    value.resume_after = table.resume_after();
    value.call.method = table.method()->str();
    value.call.target = table.target()->str();
    value.call.headers = read_headers(*table.headers());
    value.call.body = table.body()->str();
    return value;
}

hand_over_message read_hand_over(const fbs::hand_over& table)
{
    hand_over_message value;
    value.time_left = milliseconds(table.time_left_ms());
    value.call.method = table.method()->str();
    value.call.target = table.target()->str();
    value.call.headers = read_headers(*table.headers());
    value.call.body = table.body()->str();
    return value;
}

/// Returns the enumerator with the number, or nothing if there is none.
template <class Enum>
std::optional<Enum> checked_enum(std::uint8_t number, Enum highest)
{
    if (number > static_cast<std::uint8_t>(highest))
    {
        return std::nullopt;
    }
    return static_cast<Enum>(number);
}

std::optional<exchange_content> read_finish(const fbs::finish& table)
{
    const auto result = checked_enum(table.result(), finish_result::broken);
    const auto code = checked_enum(table.code(), error_code::internal);
    if (!result || !code)
    {
        return std::nullopt;
    }
    finish_message value;
    value.sequence = table.sequence();
    value.result = *result;
    value.reason = error{*code, table.message()->str()};
    value.retry_after = milliseconds(table.retry_after_ms());
    for (const fbs::holder* holder : *table.holders())
    {
        value.holders.push_back(read_holder(*holder));
    }
    return value;
}

std::optional<exchange_content> read_state(const fbs::state& table)
{
    const auto value = checked_enum(table.value(), exchange_state::unknown);
    if (!value)
    {
        return std::nullopt;
    }
    return state_message{*value};
}

std::optional<exchange_content> read_content(const fbs::message& table)
{
    switch (table.content_type())
    {
    case fbs::body::open:
        return read_open(*table.content_as_open());
    case fbs::body::head:
    {
        const fbs::head& head = *table.content_as_head();
        return head_message{head.sequence(),
                            {head.status(), read_headers(*head.headers())},
                            head.is_whole()};
    }
    case fbs::body::part:
    {
        const fbs::part& part = *table.content_as_part();
        return part_message{
            part.sequence(), part.last_event(), part.bytes()->str()};
    }
    case fbs::body::finish:
        return read_finish(*table.content_as_finish());
    case fbs::body::credit:
        return credit_message{table.content_as_credit()->bytes()};
    case fbs::body::cancel:
        return cancel_message{};
    case fbs::body::query:
        return query_message{incarnation(table.content_as_query()->sent_to())};
    case fbs::body::state:
        return read_state(*table.content_as_state());
    case fbs::body::placed:
    {
        const fbs::placed& placed = *table.content_as_placed();
        return placed_message{team_id(placed.team()->str()),
                              chat_id(placed.chat()->str()),
                              read_holder(*placed.held())};
    }
    case fbs::body::load:
    {
        const fbs::load& load = *table.content_as_load();
        return load_message{engine_id(load.engine()->str()),
                            incarnation(load.incarnation()),
                            load.in_flight(),
                            token_count(load.cached_tokens())};
    }
    case fbs::body::hand_over:
        return read_hand_over(*table.content_as_hand_over());
    case fbs::body::NONE:
        break;
    }
    return std::nullopt;
}

/// Returns about how many bytes the message takes, so that the builder does not
/// have to grow, which would double it.
std::size_t expected_bytes(const exchange_content& content)
{
    constexpr std::size_t usual_bytes = 1024;
    if (const auto* handed = std::get_if<hand_over_message>(&content))
    {
        // Each field has a table and two offsets besides its text.
        constexpr std::size_t field_bytes = 48;
        const http::request& call = handed->call;
        return usual_bytes + call.target.size() + call.payload().size() +
               call.headers.memory_bytes() + call.headers.size() * field_bytes;
    }
    return usual_bytes;
}

} // namespace

std::string encode(const exchange_message& message)
{
    FlatBufferBuilder builder(expected_bytes(message.content));
    content_writer writer{builder};
    const Offset<void> content = std::visit(writer, message.content);
    builder.Finish(fbs::Createmessage(
        builder, message.exchange.get(), writer.kind, content));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
            builder.GetSize()};
}

outcome<exchange_message> decode_exchange_message(std::string_view payload)
{
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(payload.data());
    flatbuffers::Verifier verifier(bytes, payload.size());
    if (!fbs::VerifymessageBuffer(verifier))
    {
        return error{error_code::malformed,
                     "exchange message failed buffer verification"};
    }
    const fbs::message& table = *fbs::Getmessage(bytes);
    std::optional<exchange_content> content = read_content(table);
    if (!content)
    {
        return error{error_code::malformed,
                     "exchange message has an unknown kind or enumerator"};
    }
    return exchange_message{exchange_id(table.exchange()), std::move(*content)};
}

} // namespace limpet::pipeline

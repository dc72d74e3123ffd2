#include "codec.hpp"

namespace limpet::claims
{

namespace
{

template <class... Calls>
struct overloaded : Calls...
{
    using Calls::operator()...;
};
template <class... Calls>
overloaded(Calls...) -> overloaded<Calls...>;

using builder_type = flatbuffers::FlatBufferBuilder;

struct written_action
{
    fb::Action type = fb::Action::NONE;
    flatbuffers::Offset<void> value;
};

written_action write_action(builder_type& builder, const claim_action& action)
{
    return std::visit(
        overloaded{
            [&](const claim& each) -> written_action
            {
                return {fb::Action::Claim,
                        fb::CreateClaim(builder, each.fingerprint).Union()};
            },
            [&](const settle& each) -> written_action
            {
                return {fb::Action::Settle,
                        write_settle(builder, each).Union()};
            },
            [&](const release&) -> written_action
            {
                return {fb::Action::Release,
                        fb::CreateRelease(builder).Union()};
            },
        },
        action);
}

claim_action read_action(const fb::Command& command)
{
    switch (command.action_type())
    {
    case fb::Action::Claim:
        return claim{command.action_as_Claim()->fingerprint()};
    case fb::Action::Settle:
        return read_settle(command.action_as_Settle());
    case fb::Action::Release:
    case fb::Action::NONE:
        break;
    }
    return release{};
}

struct written_reply
{
    fb::Reply type = fb::Reply::NONE;
    flatbuffers::Offset<void> value;
};

flatbuffers::Offset<void> write_finished(builder_type& builder,
                                         const finished& each)
{
    const auto holder = builder.CreateString(each.holder.get());
    const auto kind =
        each.known ? fb::OutcomeKind::complete : fb::OutcomeKind::unknown;
    const auto result = write_settle(builder, each.result);
    return fb::CreateFinished(builder, holder, kind, result).Union();
}

written_reply write_reply(builder_type& builder, const claim_answer& answer)
{
    return std::visit(
        overloaded{
            [&](const granted&) -> written_reply
            {
                return {fb::Reply::Granted, fb::CreateGranted(builder).Union()};
            },
            [&](const in_progress& each) -> written_reply
            {
                const auto holder = builder.CreateString(each.holder.get());
                return {fb::Reply::InProgress,
                        fb::CreateInProgress(builder, holder).Union()};
            },
            [&](const finished& each) -> written_reply
            {
                return {fb::Reply::Finished, write_finished(builder, each)};
            },
            [&](const done&) -> written_reply
            {
                return {fb::Reply::Done, fb::CreateDone(builder).Union()};
            },
            [&](const refused& each) -> written_reply
            {
                const auto reason = builder.CreateString(each.reason);
                const auto code = static_cast<std::uint8_t>(each.code);
                return {fb::Reply::Refused,
                        fb::CreateRefused(builder, code, reason).Union()};
            },
        },
        answer);
}

finished read_finished(const fb::Finished& from)
{
    return {request_id(read_text(from.request())),
            from.kind() == fb::OutcomeKind::complete,
            read_settle(from.result())};
}

refused read_refused(const fb::Refused& from)
{
    const auto highest = static_cast<std::uint8_t>(error_code::internal);
    const std::uint8_t code = std::min(from.code(), highest);
    return {static_cast<error_code>(code), read_text(from.reason())};
}

} // namespace

std::string finished_bytes(const builder_type& builder)
{
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
            builder.GetSize()};
}

flatbuffers::Offset<fb::Settle> write_settle(builder_type& builder,
                                             const settle& result)
{
    flatbuffers::Offset<flatbuffers::String> media_type;
    if (!result.media_type.empty())
    {
        media_type = builder.CreateString(result.media_type);
    }
    flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> body;
    if (!result.body.empty())
    {
        const auto* data =
            reinterpret_cast<const std::uint8_t*>(result.body.data());
        body = builder.CreateVector(data, result.body.size());
    }
    return fb::CreateSettle(
        builder, result.status, media_type, body, result.body_kept);
}

settle read_settle(const fb::Settle* result)
{
    settle out;
    if (result == nullptr)
    {
        return out;
    }
    out.status = result->status();
    out.media_type = read_text(result->media_type());
    out.body_kept = result->body_kept();
    if (result->body() != nullptr)
    {
        out.body.assign(reinterpret_cast<const char*>(result->body()->data()),
                        result->body()->size());
    }
    return out;
}

std::string read_text(const flatbuffers::String* text)
{
    return text == nullptr ? std::string() : text->str();
}

std::string encode(const claim_command& command)
{
    builder_type builder;
    const written_action action = write_action(builder, command.action);
    const auto request = builder.CreateString(command.request.get());
    const fb::Key key = write_key(command.key);
    builder.Finish(fb::CreateCommand(
        builder, &key, request, command.at_ms, action.type, action.value));
    return finished_bytes(builder);
}

outcome<claim_command> decode_command(std::string_view bytes)
{
    const auto* root = verified_root<fb::Command>(bytes);
    if (root == nullptr || root->action_type() == fb::Action::NONE)
    {
        return error{error_code::malformed, "malformed claim command"};
    }
    return claim_command{read_key(*root->key()),
                         request_id(read_text(root->request())),
                         root->at_ms(),
                         read_action(*root)};
}

std::string encode(const claim_answer& answer)
{
    builder_type builder;
    const written_reply reply = write_reply(builder, answer);
    builder.Finish(fb::CreateAnswer(builder, reply.type, reply.value));
    return finished_bytes(builder);
}

outcome<claim_answer> decode_answer(std::string_view bytes)
{
    const auto* root = verified_root<fb::Answer>(bytes);
    if (root == nullptr)
    {
        return error{error_code::malformed, "malformed claim answer"};
    }
    switch (root->reply_type())
    {
    case fb::Reply::Granted:
        return claim_answer(granted{});
    case fb::Reply::InProgress:
        return claim_answer(in_progress{
            request_id(read_text(root->reply_as_InProgress()->request()))});
    case fb::Reply::Finished:
        return claim_answer(read_finished(*root->reply_as_Finished()));
    case fb::Reply::Done:
        return claim_answer(done{});
    case fb::Reply::Refused:
        return claim_answer(read_refused(*root->reply_as_Refused()));
    case fb::Reply::NONE:
        break;
    }
    return error{error_code::malformed, "unknown kind of claim answer"};
}

} // namespace limpet::claims

#include "answer_text.hpp"

#include <limpet/base/hash.hpp>
#include <limpet/base/settings_reader.hpp>

#include <boost/json.hpp>

#include <array>

namespace limpet::standin
{

namespace
{

constexpr std::uint64_t bytes_per_token = 4;
constexpr std::uint64_t max_tokens_limit = 1000000;

constexpr std::array<std::string_view, 16> words = {"pollen ",
                                                    "count ",
                                                    "cedar ",
                                                    "grass ",
                                                    "high ",
                                                    "low ",
                                                    "wind ",
                                                    "south ",
                                                    "dock ",
                                                    "pallet ",
                                                    "deck ",
                                                    "board ",
                                                    "split ",
                                                    "repair ",
                                                    "gate ",
                                                    "shift "};

error invalid(std::string text)
{
    return {error_code::invalid_argument, std::move(text)};
}

/// Hashes the messages and derives the number of prompt tokens from their
/// size.
status read_messages(const boost::json::object& document,
                     chat_request_body& call)
{
    const boost::json::value* list = document.if_contains("messages");
    if (list == nullptr || !list->is_array() || list->get_array().empty())
    {
        return invalid("messages: must be a non-empty list");
    }
    std::uint64_t bytes = 0;
    for (const boost::json::value& message : list->get_array())
    {
        if (!message.is_object())
        {
            return invalid("messages: must be a list of objects");
        }
        const std::string text = boost::json::serialize(message);
        call.messages_hash =
            combine_hashes(call.messages_hash, stable_hash(text));
        bytes += text.size();
    }
    call.prompt = token_count(1 + bytes / bytes_per_token);
    return success();
}

status read_options(const boost::json::object& document,
                    chat_request_body& call)
{
    const boost::json::value* model = document.if_contains("model");
    if (model == nullptr || !model->is_string())
    {
        return invalid("model: must be a string");
    }
    call.model = std::string(model->get_string());
    if (const boost::json::value* stream = document.if_contains("stream"))
    {
        if (!stream->is_bool())
        {
            return invalid("stream: must be true or false");
        }
        call.stream = stream->get_bool();
    }
    if (const boost::json::value* most = document.if_contains("max_tokens"))
    {
        boost::system::error_code failure;
        const auto number = most->to_number<std::uint32_t>(failure);
        if (failure || number == 0 || number > max_tokens_limit)
        {
            return invalid("max_tokens: must be a number from 1 to 1000000");
        }
        call.max_tokens = number;
    }
    return success();
}

boost::json::object usage_object(const token_usage& usage)
{
    const std::uint64_t prompt = usage.prompt.get();
    return {{"prompt_tokens", prompt},
            {"completion_tokens", usage.completion},
            {"total_tokens", prompt + usage.completion},
            {"prompt_tokens_details",
             boost::json::object{{"cached_tokens", usage.cached.get()}}}};
}

boost::json::object answer_object(const answer_identity& names,
                                  std::string_view kind,
                                  boost::json::object choice)
{
    boost::json::array choices;
    choices.emplace_back(std::move(choice));
    return {{"id", "chatcmpl-" + names.request.get()},
            {"object", kind},
            {"model", names.model},
            {"choices", std::move(choices)}};
}

} // namespace

outcome<chat_request_body> parse_chat_request(std::string_view body)
{
    const auto document = parse_json(body);
    if (!is_ok(document))
    {
        return error_of(document);
    }
    const boost::json::object* object = value_of(document).if_object();
    if (object == nullptr)
    {
        return invalid("the body must be a JSON object");
    }
    chat_request_body call;
    status read = read_options(*object, call);
    if (is_ok(read))
    {
        read = read_messages(*object, call);
    }
    return is_ok(read) ? outcome<chat_request_body>(std::move(call))
                       : error_of(read);
}

std::string token_text(std::uint64_t messages_hash, std::uint64_t number)
{
    const std::uint64_t drawn = combine_hashes(messages_hash, number);
    return std::string(words[drawn % words.size()]);
}

std::string token_event(const answer_identity& names,
                        std::uint64_t number,
                        std::string_view text,
                        const token_usage* usage)
{
    boost::json::object choice{
        {"index", 0},
        {"delta", boost::json::object{{"content", text}}},
        {"finish_reason", nullptr}};
    if (usage != nullptr)
    {
        choice["finish_reason"] = "stop";
    }
    boost::json::object chunk =
        answer_object(names, "chat.completion.chunk", std::move(choice));
    if (usage != nullptr)
    {
        chunk["usage"] = usage_object(*usage);
    }
    return "id: " + std::to_string(number) +
           "\ndata: " + boost::json::serialize(chunk) + "\n\n";
}

std::string complete_answer(const answer_identity& names,
                            std::string_view text,
                            const token_usage& usage)
{
    boost::json::object choice{
        {"index", 0},
        {"message",
         boost::json::object{{"role", "assistant"}, {"content", text}}},
        {"finish_reason", "stop"}};
    boost::json::object answer =
        answer_object(names, "chat.completion", std::move(choice));
    answer["usage"] = usage_object(usage);
    return boost::json::serialize(answer);
}

} // namespace limpet::standin

/// \file
/// Text that the fake engines answer with.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/outcome.hpp>
#include <limpet/base/units.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace limpet::standin
{

/// What matters of a chat-completions request.
struct chat_call
{
    std::string model;
    bool stream = false;
    /// Tokens asked for, 0 if the request does not say.
    std::uint32_t max_tokens = 0;
    token_count prompt;
    /// Hash of the messages, from which the answer follows.
    std::uint64_t messages = 0;
};

/// Parses a chat-completions request. Members that are not used here are
/// accepted. Errors: malformed, invalid_argument.
outcome<chat_call> parse_chat_call(std::string_view body);

/// Returns the answer's token with the given number, from 1. It depends on
/// the messages alone, so that any engine can continue another's answer.
std::string token_text(std::uint64_t messages, std::uint64_t number);

/// Names of one answer.
struct answer_names
{
    request_id request;
    std::string model;
};

/// How many tokens an answer took.
struct token_usage
{
    token_count prompt;
    token_count cached;
    std::uint64_t completion = 0;
};

/// Returns the event of one token. The last one says that the answer is
/// complete and carries the usage.
std::string token_event(const answer_names& names,
                        std::uint64_t number,
                        std::string_view text,
                        const token_usage* usage);

/// Returns the whole answer as one JSON document.
std::string whole_answer(const answer_names& names,
                         std::string_view text,
                         const token_usage& usage);

/// Event that ends each stream.
inline constexpr std::string_view closing_event = "data: [DONE]\n\n";

} // namespace limpet::standin

/// \file
/// Parsing of chat-completions requests and generation of the fake engines'
/// answers.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/outcome.hpp>
#include <limpet/base/units.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace limpet::standin
{

/// The members of a chat-completions request that the fake engine uses.
struct chat_request_body
{
    std::string model;
    bool stream = false;
    /// Requested number of answer tokens, 0 if the request sets none.
    std::uint32_t max_tokens = 0;
    token_count prompt;
    /// Hash of the messages, which determines the answer's text.
    std::uint64_t messages_hash = 0;
};

/// Parses a chat-completions request. Unknown members are ignored. Errors:
/// malformed, invalid_argument.
outcome<chat_request_body> parse_chat_request(std::string_view body);

/// Returns the text of the answer's token with the given number, from 1. The
/// text depends only on the hash of the messages and the number, so that any
/// engine can resume a stream that another engine began.
std::string token_text(std::uint64_t messages_hash, std::uint64_t number);

/// Request id and model that identify an answer.
struct answer_identity
{
    request_id request;
    std::string model;
};

/// Token counts of one answer.
struct token_usage
{
    token_count prompt;
    token_count cached;
    std::uint64_t completion = 0;
};

/// Returns the server-sent event of one token. The usage is passed for the
/// last token only; its event then carries the usage and the finish reason.
std::string token_event(const answer_identity& names,
                        std::uint64_t number,
                        std::string_view text,
                        const token_usage* usage);

/// Returns the complete, unstreamed answer as one JSON document.
std::string complete_answer(const answer_identity& names,
                            std::string_view text,
                            const token_usage& usage);

/// Server-sent event that ends each complete stream.
inline constexpr std::string_view closing_event = "data: [DONE]\n\n";

} // namespace limpet::standin

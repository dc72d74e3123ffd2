/// \file
/// Commands of a claims group and their answers.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/outcome.hpp>
#include <limpet/claims/claim_key.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace limpet::claims
{

/// Asks for the right to run a request, once.
struct claim
{
    /// Hash of the request's method, path and body. A key that comes back
    /// with another request is refused.
    std::uint64_t fingerprint = 0;

    friend bool operator==(const claim&, const claim&) = default;
};

/// Records the answer of a request that has run.
struct settle
{
    std::uint16_t status = 0;
    std::string media_type;
    std::string body;
    /// False if the body was too large to be recorded; it is empty then.
    bool body_kept = true;

    friend bool operator==(const settle&, const settle&) = default;
};

/// Gives up the right to run a request that certainly has not run.
struct release
{
    friend bool operator==(const release&, const release&) = default;
};

using claim_action = std::variant<claim, settle, release>;

/// One command of the replicated log of a claims group.
struct claim_command
{
    claim_key key;
    /// The exchange on whose behalf the command is sent. Never reused.
    request_id request;
    /// The leader's wall-clock time when it proposed the command. The group's
    /// clock is the highest time seen, so that replicas agree on expiry.
    std::uint64_t at_ms = 0;
    claim_action action;

    friend bool operator==(const claim_command&,
                           const claim_command&) = default;
};

/// The request may run. It must be dispatched within the dispatch window,
/// counted from the time that the claim was first sent.
struct granted
{
    friend bool operator==(const granted&, const granted&) = default;
};

/// Another exchange holds the key; ask again later. Nothing was run.
struct in_progress
{
    request_id holder;

    friend bool operator==(const in_progress&, const in_progress&) = default;
};

/// The request has run under the key.
struct finished
{
    /// Empty once the answer's body is no longer kept.
    request_id holder;
    /// False if the holder never recorded an outcome, so that nobody knows
    /// whether and how far it ran.
    bool known = true;
    /// The recorded answer if known.
    settle result;

    friend bool operator==(const finished&, const finished&) = default;
};

/// A settle or release took effect, now or before.
struct done
{
    friend bool operator==(const done&, const done&) = default;
};

/// The command had no effect. A refused claim was certainly not run.
struct refused
{
    error_code code = error_code::internal;
    std::string reason;

    friend bool operator==(const refused&, const refused&) = default;
};

using claim_answer =
    std::variant<granted, in_progress, finished, done, refused>;

/// Returns the bytes for the log and for the link between router and group.
std::string encode(const claim_command& command);

/// Verifies and parses an encoded command.
outcome<claim_command> decode_command(std::string_view bytes);

/// Returns the bytes of the answer.
std::string encode(const claim_answer& answer);

/// Verifies and parses an encoded answer.
outcome<claim_answer> decode_answer(std::string_view bytes);

} // namespace limpet::claims

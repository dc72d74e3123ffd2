/// \file
/// Commands of a claims group and the answers to them.

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

/// Requests the exclusive right to run a request once.
struct claim
{
    /// Hash of the request's method, path and body. A claim with a known key
    /// and another fingerprint is refused.
    std::uint64_t fingerprint = 0;

    friend bool operator==(const claim&, const claim&) = default;
};

/// Records the answer to a request that has run.
struct settle
{
    std::uint16_t status = 0;
    std::string media_type;
    std::string body;
    /// False if the body was too large to be recorded; body is then empty.
    bool body_kept = true;

    friend bool operator==(const settle&, const settle&) = default;
};

/// Gives up the right to run a request. Only valid if the request has not run.
struct release
{
    friend bool operator==(const release&, const release&) = default;
};

using claim_action = std::variant<claim, settle, release>;

/// One command of the replicated log of a claims group.
struct claim_command
{
    claim_key key;
    /// Id of the exchange on whose behalf the command is sent. Never reused.
    request_id request;
    /// The leader's wall-clock time when it proposed the command, in
    /// milliseconds. The group's clock is the highest such time in the log, so
    /// that all replicas agree on expiry.
    std::uint64_t at_ms = 0;
    claim_action action;

    friend bool operator==(const claim_command&,
                           const claim_command&) = default;
};

/// The request may run. It must be dispatched within
/// claim_limits::dispatch_window after the claim was first sent.
struct granted
{
    friend bool operator==(const granted&, const granted&) = default;
};

/// Another exchange holds the key. This claim may be retried later; it did not
/// cause a run.
struct in_progress
{
    request_id holder;

    friend bool operator==(const in_progress&, const in_progress&) = default;
};

/// A request has already run under the key.
struct finished
{
    /// The exchange that ran the request. Empty once the answer's body is no
    /// longer kept.
    request_id holder;
    /// False if the holder did not record an outcome in time. It is then
    /// unknown whether, and how far, the request ran.
    bool known = true;
    /// The recorded answer, if known.
    settle result;

    friend bool operator==(const finished&, const finished&) = default;
};

/// A settle or release has taken effect, with this command or an earlier one.
struct done
{
    friend bool operator==(const done&, const done&) = default;
};

/// The command had no effect. A refused claim does not cause a run.
struct refused
{
    error_code code = error_code::internal;
    std::string reason;

    friend bool operator==(const refused&, const refused&) = default;
};

using claim_answer =
    std::variant<granted, in_progress, finished, done, refused>;

/// Encodes a command for the log and for the link between router and group.
std::string encode(const claim_command& command);

/// Verifies and decodes a command. Fails with malformed.
outcome<claim_command> decode_command(std::string_view bytes);

/// Encodes an answer.
std::string encode(const claim_answer& answer);

/// Verifies and decodes an answer. Fails with malformed.
outcome<claim_answer> decode_answer(std::string_view bytes);

} // namespace limpet::claims

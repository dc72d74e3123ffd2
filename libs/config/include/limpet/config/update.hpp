/// \file
/// An accepted change to the configuration.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/config/objects.hpp>

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limpet::config
{

/// An accepted change, as sent to routers and retained in the history.
struct update
{
    /// Revision of the configuration after the change.
    revision number;
    operation_id operation;
    operator_id author;
    /// Wall-clock time of the submission; informational only.
    std::uint64_t submitted_unix_ms = 0;
    object_key key;
    /// The object after the change; absent if it was removed.
    std::optional<object> value;
};

/// Encodes the update as a compact JSON document. The encoding is
/// byte-identical on every node.
std::string encode(const update& change);

/// Parses an encoded update.
outcome<update> decode_update(std::string_view document);

/// Returns the digest of the history after the encoded update is appended.
std::uint64_t extend_digest(std::uint64_t digest, std::string_view encoded);

} // namespace limpet::config

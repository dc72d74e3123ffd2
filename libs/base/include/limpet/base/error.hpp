/// \file
/// Error codes and the error value shared by all libraries.

#pragma once

#include <string>
#include <string_view>

namespace limpet
{

/// Kind of failure, stable enough to branch on.
enum class error_code
{
    invalid_argument, ///< A value from outside failed validation.
    malformed,        ///< Bytes could not be parsed.
    not_found,        ///< The named object does not exist.
    conflict,         ///< The object's revision is not the expected one.
    unauthenticated,  ///< The credentials are missing or wrong.
    forbidden,        ///< The credentials do not cover the object.
    not_owner,        ///< The receiver does not own the engine.
    not_leader,       ///< The replica is not the leader.
    overloaded,       ///< A limit or queue bound was reached.
    unavailable,      ///< No engine, quorum or link is available.
    timeout,          ///< The deadline passed.
    cancelled,        ///< The caller or operator ended the operation.
    io_error,         ///< A file or socket operation failed.
    corrupt,          ///< Stored bytes failed their checksum.
    internal          ///< A defect of the program.
};

/// Returns the code's name as used in logs and JSON answers.
std::string_view to_string(error_code code) noexcept;

/// A failure: a code to branch on and a text for people.
struct error
{
    error_code code = error_code::internal;
    std::string message;
};

} // namespace limpet

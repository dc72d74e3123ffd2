/// \file
/// Exit codes of limpetctl, stable for scripts.

#pragma once

namespace limpet::ctl
{

enum class exit_code
{
    success = 0,
    failed = 1,       ///< No answer, or one that cannot be parsed.
    usage = 2,        ///< Wrong arguments or an unreadable file.
    refused = 3,      ///< The command is invalid or not allowed.
    conflict = 4,     ///< Another operator changed the object first.
    not_in_force = 5, ///< Accepted, but --wait timed out.
    different = 6,    ///< diff found a difference.
};

} // namespace limpet::ctl

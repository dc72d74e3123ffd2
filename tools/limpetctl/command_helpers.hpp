/// \file
/// Functions shared by subcommands.

#pragma once

#include "commands.hpp"

#include <limpet/config/command.hpp>
#include <limpet/config/document_plan.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace limpet::ctl
{

/// Prints the message to standard error and returns the code.
exit_code fail(exit_code code, std::string_view message);

/// Prints why a request failed and returns the code for it.
exit_code fail(const error& reason);

/// Prints an answer that is not a success and returns the code for it.
exit_code fail(const answer& received);

/// Parses "data-centre" or "data_centre" and the like.
std::optional<config::object_kind> parse_kind(std::string text);

/// Returns a new random operation id.
operation_id new_operation();

/// Returns a command under a new operation id.
config::command make_command(config::change what, std::uint64_t expected);

/// Returns the object in force, nothing if there is none, or the exit code of
/// a failure that was printed.
std::variant<std::optional<config::object_in_force>, exit_code>
fetch_object(command_context& context, const config::object_key& key);

/// Submits the command, prints its result and, if wanted, waits until it is
/// in force.
exit_code submit(command_context& context, const config::command& order);

/// Waits until the revision is in force everywhere. On a timeout prints the
/// data centres and routers that lag.
exit_code wait_in_force(command_context& context, std::uint64_t revision);

/// Returns random bytes as hexadecimal digits.
std::string random_hex(std::size_t bytes);

} // namespace limpet::ctl

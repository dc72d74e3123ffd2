/// \file
/// The subcommands of limpetctl.

#pragma once

#include "control_client.hpp"
#include "exit_code.hpp"

#include <limpet/base/units.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace limpet::ctl
{

/// Values of the flags that subcommands read.
struct options
{
    bool wait = false;
    bool json = false;
    duration wait_timeout = seconds(30);
    std::string data_centre;
    std::optional<std::uint64_t> revision;
    std::uint64_t after = 0;
    std::uint64_t limit = 100;
};

/// Clients, flags and arguments passed to a subcommand.
struct command_context
{
    /// Client of the control replicas' endpoints for operators.
    control_client control;
    /// Client of the routers' endpoints for operators.
    control_client routers;
    options flags;
    /// Arguments after the subcommand's name.
    std::vector<std::string> arguments;
};

/// A subcommand with its help text.
struct subcommand
{
    std::string_view name;
    std::string_view arguments;
    std::string_view help;
    exit_code (*run)(command_context&);
};

exit_code run_apply(command_context& context);
exit_code run_diff(command_context& context);
exit_code run_remove(command_context& context);
exit_code run_in_service(command_context& context);
exit_code run_out_of_service(command_context& context);
exit_code run_show(command_context& context);
exit_code run_history(command_context& context);
exit_code run_watch(command_context& context);
exit_code run_in_force(command_context& context);
exit_code run_status(command_context& context);
exit_code run_new_key(command_context& context);
exit_code run_digest(command_context& context);
/// Prints the lines of log files that concern a request.
exit_code run_story(command_context& context);

} // namespace limpet::ctl

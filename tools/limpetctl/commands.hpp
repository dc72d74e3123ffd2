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

/// Flags that subcommands use.
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

/// What a subcommand works with.
struct session
{
    /// The control replicas' operators' endpoints.
    control_client control;
    /// The routers' operators' endpoints.
    control_client routers;
    options flags;
    /// Arguments behind the subcommand's name.
    std::vector<std::string> arguments;
};

/// A subcommand with its help.
struct subcommand
{
    std::string_view name;
    std::string_view arguments;
    std::string_view help;
    exit_code (*run)(session&);
};

exit_code run_apply(session& with);
exit_code run_diff(session& with);
exit_code run_remove(session& with);
exit_code run_in_service(session& with);
exit_code run_out_of_service(session& with);
exit_code run_show(session& with);
exit_code run_history(session& with);
exit_code run_watch(session& with);
exit_code run_in_force(session& with);
exit_code run_status(session& with);
exit_code run_new_key(session& with);
exit_code run_digest(session& with);
/// Prints what log files say about a request.
exit_code run_story(session& with);

} // namespace limpet::ctl

/// \file
/// limpetctl: submits operators' commands and shows the system's state.

#include "commands.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

DECLARE_bool(help);
DECLARE_bool(helpshort);

DEFINE_string(control,
              "127.0.0.1:7300",
              "Operators' addresses of control replicas, with commas between");
DEFINE_string(
    router,
    "127.0.0.1:7200",
    "Backends' addresses of routers, for status, with commas between");
DEFINE_string(token, "", "Operator's token; other users may see it in ps");
DEFINE_string(token_file, "", "File with the operator's token");
DEFINE_uint64(timeout_ms, 10000, "Time for one request with its retries");
DEFINE_uint64(wait_timeout_ms, 30000, "Longest wait of --wait");
DEFINE_bool(wait, false, "Wait until the change is in force everywhere");
DEFINE_bool(json, false, "Print JSON");
DEFINE_string(data_centre, "", "Data centre of a backend server");
DEFINE_int64(revision, -1, "Revision that the object must have");
DEFINE_uint64(after, 0, "History after this revision");
DEFINE_uint64(limit, 100, "Most changes to show");

namespace
{

using namespace limpet;
using ctl::exit_code;

constexpr ctl::subcommand subcommands[] = {
    {"apply",
     "FILE",
     "submit the commands or objects of a JSON file",
     &ctl::run_apply},
    {"diff", "FILE", "compare a file with what is accepted", &ctl::run_diff},
    {"remove", "KIND ID", "remove an object", &ctl::run_remove},
    {"in",
     "KIND ID",
     "take a data centre or backend server into service",
     &ctl::run_in_service},
    {"out",
     "KIND ID",
     "take a data centre or backend server out of service",
     &ctl::run_out_of_service},
    {"show",
     "[KIND [ID]]",
     "show objects with their revisions",
     &ctl::run_show},
    {"history", "", "show accepted changes", &ctl::run_history},
    {"watch", "", "show changes as they are accepted", &ctl::run_watch},
    {"in-force",
     "",
     "show the revision in force in each data centre",
     &ctl::run_in_force},
    {"status",
     "",
     "show routers, engines, owners and limits",
     &ctl::run_status},
    {"new-key", "", "make a key or token and its digest", &ctl::run_new_key},
    {"digest",
     "",
     "print the digest of a key or token read from input",
     &ctl::run_digest},
    {"story",
     "ID FILE...",
     "print what log files say about a request",
     &ctl::run_story},
};

constexpr std::string_view flags_help = R"(
Flags:
  --control=IP:PORT,...   control replicas (127.0.0.1:7300)
  --router=IP:PORT,...    routers, for status (127.0.0.1:7200)
  --token_file=FILE       operator's token; also --token=TOKEN or the
                          environment variable LIMPET_TOKEN
  --wait                  with apply, remove, in, out: until in force
                          everywhere, at most --wait_timeout_ms=30000
  --revision=N            with remove, in, out: the revision that the object
                          must have; by default the one it has now
  --data_centre=ID        with in, out: where an unlisted backend server is
  --after=N --limit=N     with history, watch: from which revision, how many
  --json                  print JSON
  --timeout_ms=10000      time for one request with its retries

Kinds: partner, template, team, operator, data-centre, backend-server,
service-route.

Exit codes: 0 done, 1 no or a broken answer, 2 wrong usage, 3 refused,
4 conflict with another change, 5 accepted but not in force in time,
6 diff found a difference.
)";

void print_usage(std::ostream& out)
{
    out << "Usage: limpetctl [FLAGS] COMMAND [ARGUMENTS]\n\nCommands:\n";
    for (const ctl::subcommand& each : subcommands)
    {
        std::string line = "  " + std::string(each.name);
        line += " ";
        line += each.arguments;
        constexpr std::size_t help_column = 24;
        line.resize(std::max(line.size() + 2, help_column), ' ');
        out << line << each.help << "\n";
    }
    out << flags_help;
}

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> out;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
    {
        out.push_back(part);
    }
    return out;
}

/// Returns the operator's token from the flags or the environment.
std::optional<std::string> read_token()
{
    if (!FLAGS_token_file.empty())
    {
        std::ifstream file(FLAGS_token_file);
        std::string token;
        return std::getline(file, token) ? std::optional(token) : std::nullopt;
    }
    const char* environment = std::getenv("LIMPET_TOKEN");
    const bool from_environment = FLAGS_token.empty() && environment != nullptr;
    return from_environment ? std::string(environment) : FLAGS_token;
}

ctl::options read_options()
{
    ctl::options out;
    out.wait = FLAGS_wait;
    out.json = FLAGS_json;
    out.wait_timeout = milliseconds(FLAGS_wait_timeout_ms);
    out.data_centre = FLAGS_data_centre;
    out.after = FLAGS_after;
    out.limit = FLAGS_limit;
    if (FLAGS_revision >= 0)
    {
        out.revision = static_cast<std::uint64_t>(FLAGS_revision);
    }
    return out;
}

int finish(exit_code code)
{
    return static_cast<int>(code);
}

} // namespace

int main(int argc, char* argv[])
{
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (FLAGS_help || FLAGS_helpshort)
    {
        print_usage(std::cout);
        return finish(exit_code::success);
    }
    const std::string name = argc > 1 ? argv[1] : "";
    const auto* chosen = std::find_if(std::begin(subcommands),
                                      std::end(subcommands),
                                      [&](const ctl::subcommand& each)
                                      {
                                          return each.name == name;
                                      });
    if (chosen == std::end(subcommands))
    {
        std::cerr << "limpetctl: "
                  << (name.empty() ? "no command" : "no command " + name)
                  << "\n\n";
        print_usage(std::cerr);
        return finish(exit_code::usage);
    }
    const std::optional<std::string> token = read_token();
    if (!token)
    {
        std::cerr << "limpetctl: " << FLAGS_token_file << ": cannot be read\n";
        return finish(exit_code::usage);
    }
    const duration timeout = milliseconds(FLAGS_timeout_ms);
    ctl::command_context context{
        ctl::control_client({split(FLAGS_control), *token, timeout}),
        ctl::control_client({split(FLAGS_router), *token, timeout}),
        read_options(),
        {argv + 2, argv + argc}};
    return finish(chosen->run(context));
}

#include "command_helpers.hpp"

#include <limpet/log_story/story.hpp>

#include <fstream>
#include <iostream>

namespace limpet::ctl
{

namespace
{

/// Reads the lines of a file; false if it cannot be read.
bool read_lines(const std::string& name, std::vector<log_story::log_line>& into)
{
    std::ifstream file(name);
    for (std::string text; std::getline(file, text);)
    {
        if (auto line = log_story::parse_line(text, name))
        {
            into.push_back(std::move(*line));
        }
    }
    return file.eof();
}

} // namespace

exit_code run_story(command_context& context)
{
    if (context.arguments.size() < 2)
    {
        return fail(exit_code::usage, "story takes a request's id and files");
    }
    std::vector<log_story::log_line> lines;
    for (std::size_t i = 1; i < context.arguments.size(); ++i)
    {
        if (!read_lines(context.arguments[i], lines))
        {
            return fail(exit_code::usage,
                        context.arguments[i] + ": cannot be read");
        }
    }
    const auto story =
        log_story::find_request_lines(lines, context.arguments[0]);
    if (story.empty())
    {
        return fail(exit_code::failed,
                    "no line bears the id " + context.arguments[0]);
    }
    for (const log_story::log_line& each : story)
    {
        std::cout << each.source << ": "
                  << each.text.substr(each.text.find("time=")) << "\n";
    }
    return exit_code::success;
}

} // namespace limpet::ctl

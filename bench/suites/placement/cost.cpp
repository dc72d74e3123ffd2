/// \file
/// Processor time of the placement decisions.

#include "suite.hpp"

#include <limpet/base/random.hpp>
#include <limpet/placement/chat_directory.hpp>
#include <limpet/placement/chooser.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace limpet::bench
{

namespace
{

template <class Act>
double nanoseconds_each(std::uint64_t count, Act act)
{
    const auto start = std::chrono::steady_clock::now();
    for (std::uint64_t at = 0; at < count; ++at)
    {
        act();
    }
    const std::chrono::duration<double, std::nano> took =
        std::chrono::steady_clock::now() - start;
    return took.count() / static_cast<double>(count);
}

void measure_choice(std::size_t engines,
                    const suite_options& options,
                    report& figures)
{
    std::vector<placement::engine_view> views(engines);
    for (std::size_t at = 0; at < engines; ++at)
    {
        views[at].id = engine_id("engine-" + std::to_string(at));
        views[at].weight = at % 3 == 0 ? 2 : 1;
    }
    const placement::chooser chooser(views);
    random_source random(options.seed);
    std::uint64_t sum = 0;
    const double each =
        nanoseconds_each(20'000 * options.scale,
                         [&]
                         {
                             const placement::chat_key chat(random.next());
                             sum += chooser.choose(chat, 5, {}).order.front();
                         });
    figures.note("placement_cost.choose_ns.engines_" + std::to_string(engines),
                 each);
    figures.note("placement_cost.choices_sum.engines_" +
                     std::to_string(engines),
                 static_cast<double>(sum));
}

void measure_directory(const suite_options& options, report& figures)
{
    constexpr std::size_t chats = 40'000;
    placement::chat_directory directory(chats, std::chrono::hours(1));
    random_source random(options.seed);
    const engine_id engine("engine-17");
    const double each = nanoseconds_each(
        4 * chats,
        [&]
        {
            const placement::chat_key chat(random.below(chats * 2));
            directory.record(
                chat, engine, incarnation(1), token_count(2000), {});
        });
    figures.note("placement_cost.directory_record_ns", each);
    figures.at_most("placement_cost.directory_chats",
                    static_cast<double>(directory.size()),
                    chats);
}

void run(const suite_options& options, report& figures)
{
    for (const std::size_t engines : {20U, 62U, 1500U})
    {
        measure_choice(engines, options, figures);
    }
    measure_directory(options, figures);
}

const suite_registration registration({"placement_cost", false, &run});

} // namespace

} // namespace limpet::bench

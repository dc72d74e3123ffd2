/// \file
/// Processor time and delay that two routers add to a streamed answer.

#include "suite.hpp"

#include <limpet/local_fleet/fleet.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>

#include <algorithm>
#include <future>
#include <string>
#include <vector>

namespace limpet::bench
{

namespace
{

constexpr std::size_t streams = 4;
/// Streams at once while processor time is taken, so that the parts' fixed
/// cost is spread over events about as at the target's rate.
constexpr std::size_t busy_streams = 16;
constexpr std::size_t rounds = 8;
constexpr std::size_t warm_up_rounds = 8;
constexpr std::uint32_t tokens = 250;
constexpr duration token_delay = milliseconds(1);

/// Half a core for 17,100 tokens a second, each crossing two nodes.
constexpr double most_processor_us_per_event = 0.5e6 / 17100;
constexpr double most_first_token_ms = 5;
constexpr double most_between_tokens_ms = 1;

/// Times of one way to the engine, in milliseconds.
struct way_times
{
    std::vector<double> first_token;
    std::vector<double> between_tokens;
    std::size_t failed = 0;
};

std::size_t count_events(const std::string& bytes)
{
    std::size_t count = 0;
    for (std::size_t at = bytes.find("id: "); at != std::string::npos;
         at = bytes.find("id: ", at + 1))
    {
        ++count;
    }
    return count;
}

/// Reads one stream and notes when its events came.
boost::asio::awaitable<way_times>
read_stream(std::shared_ptr<http::client> client,
            boost::asio::ip::tcp::endpoint server,
            http::request message)
{
    way_times times;
    time_point last = monotonic_clock::now();
    auto sent = co_await client->send(server, std::move(message), seconds(60));
    if (!std::holds_alternative<std::unique_ptr<http::response_stream>>(sent))
    {
        times.failed = 1;
        co_return times;
    }
    const auto stream =
        std::get<std::unique_ptr<http::response_stream>>(std::move(sent));
    std::size_t events = 0;
    for (;;)
    {
        const auto part = co_await stream->read_some();
        if (!is_ok(part) || !value_of(part))
        {
            break;
        }
        const std::size_t arrived = count_events(*value_of(part));
        const time_point now = monotonic_clock::now();
        auto& list = events == 0 ? times.first_token : times.between_tokens;
        if (arrived > 0)
        {
            list.push_back(to_milliseconds(now - last));
            last = now;
        }
        events += arrived;
    }
    times.failed = events == tokens ? 0 : 1;
    co_return times;
}

void add(way_times& total, const way_times& more)
{
    total.first_token.insert(total.first_token.end(),
                             more.first_token.begin(),
                             more.first_token.end());
    total.between_tokens.insert(total.between_tokens.end(),
                                more.between_tokens.begin(),
                                more.between_tokens.end());
    total.failed += more.failed;
}

http::request make_message(std::size_t chat)
{
    http::request message =
        local_fleet::make_chat("timing-" + std::to_string(chat), true);
    // A direct call needs what a router would add.
    message.body.insert(1, R"("model":"forecast",)");
    message.headers.set("Limpet-Request", "direct");
    return message;
}

/// Sends some streams at once and waits for their ends.
way_times run_round(local_fleet::fleet& whole,
                    const std::shared_ptr<http::client>& client,
                    const boost::asio::ip::tcp::endpoint& server,
                    std::size_t count)
{
    std::vector<std::future<way_times>> pending;
    for (std::size_t i = 0; i < count; ++i)
    {
        pending.push_back(boost::asio::co_spawn(
            boost::asio::make_strand(whole.caller_context()),
            read_stream(client, server, make_message(i)),
            boost::asio::use_future));
    }
    way_times total;
    for (auto& item : pending)
    {
        add(total, item.get());
    }
    return total;
}

double percentile_95(std::vector<double> values)
{
    if (values.empty())
    {
        return 0;
    }
    const std::size_t place = values.size() * 95 / 100;
    std::nth_element(values.begin(),
                     values.begin() + static_cast<std::ptrdiff_t>(place),
                     values.end());
    return values[place];
}

void measure_delays(local_fleet::fleet& whole,
                    const std::shared_ptr<http::client>& client,
                    report& figures)
{
    const auto engine = whole.servers().address_of(
        engine_id(std::string(local_fleet::engine_name)));
    const auto entry = whole.callers(0);
    way_times direct;
    way_times routed;
    for (std::size_t i = 0; i < rounds; ++i)
    {
        // Neither way always goes first.
        const bool direct_first = i % 2 == 0;
        if (direct_first)
        {
            add(direct, run_round(whole, client, engine, streams));
        }
        add(routed, run_round(whole, client, entry, streams));
        if (!direct_first)
        {
            add(direct, run_round(whole, client, engine, streams));
        }
    }
    const double direct_first = percentile_95(direct.first_token);
    const double routed_first = percentile_95(routed.first_token);
    const double direct_between = percentile_95(direct.between_tokens);
    const double routed_between = percentile_95(routed.between_tokens);
    figures.at_most("relay_timing.failed_streams",
                    static_cast<double>(direct.failed + routed.failed),
                    0);
    figures.note("relay_timing.direct_first_token_p95_ms", direct_first);
    figures.at_most("relay_timing.added_first_token_p95_ms",
                    routed_first - direct_first,
                    most_first_token_ms);
    figures.note("relay_timing.direct_between_tokens_p95_ms", direct_between);
    figures.at_most("relay_timing.added_between_tokens_p95_ms",
                    routed_between - direct_between,
                    most_between_tokens_ms);
}

void measure_processor(local_fleet::fleet& whole,
                       const std::shared_ptr<http::client>& client,
                       report& figures)
{
    const auto entry = whole.callers(0);
    for (std::size_t i = 0; i < warm_up_rounds; ++i)
    {
        run_round(whole, client, entry, busy_streams);
    }
    const time_point start = monotonic_clock::now();
    const duration entry_before = whole.processor_time(0);
    const duration owner_before = whole.processor_time(1);
    for (std::size_t i = 0; i < rounds; ++i)
    {
        run_round(whole, client, entry, busy_streams);
    }
    constexpr double events = 1.0 * rounds * busy_streams * tokens;
    const double entry_us =
        to_seconds(whole.processor_time(0) - entry_before) * 1e6 / events;
    const double owner_us =
        to_seconds(whole.processor_time(1) - owner_before) * 1e6 / events;
    figures.note("relay_timing.events_per_second",
                 events / to_seconds(monotonic_clock::now() - start));
    figures.note("relay_timing.entry_us_per_event", entry_us);
    figures.note("relay_timing.owner_us_per_event", owner_us);
    figures.at_most("relay_timing.processor_us_per_event",
                    entry_us + owner_us,
                    most_processor_us_per_event);
}

void measure(local_fleet::fleet& whole, report& figures)
{
    const auto client = http::client::create({});
    for (std::size_t i = 0; i < warm_up_rounds; ++i)
    {
        run_round(whole, client, whole.callers(0), streams);
    }
    measure_delays(whole, client, figures);
    measure_processor(whole, client, figures);
}

void run(const suite_options&, report& figures)
{
    local_fleet::fleet_options options;
    options.engine.slots = 32;
    options.engine.token_delay = token_delay;
    options.engine.answer_tokens = tokens;
    auto started = local_fleet::fleet::start(options);
    figures.at_most("relay_timing.failed_starts", is_ok(started) ? 0 : 1, 0);
    if (is_ok(started))
    {
        measure(*value_of(started), figures);
    }
}

const suite_registration registration({"relay_timing", false, &run});

} // namespace

} // namespace limpet::bench

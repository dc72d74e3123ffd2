/// \file
/// Bytes of one event on the link between two routers.

#include "suite.hpp"

#include <limpet/base/random.hpp>
#include <limpet/pipeline/exchange_message.hpp>

#include <algorithm>
#include <string>

namespace limpet::bench
{

namespace
{

constexpr std::size_t events = 1000;
/// The hop may cost as much again as sending the event to the caller.
constexpr double most_link_share = 2.0;

/// Returns an event as engines send it, with a token of random length.
std::string make_event(std::uint64_t number, random_source& random)
{
    const std::string token(1 + random.below(12), 'x');
    return "id: " + std::to_string(number) +
           "\ndata: {\"id\":\"chatcmpl-0123456789abcdef-1\","
           "\"object\":\"chat.completion.chunk\",\"model\":\"forecast\","
           "\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" +
           token + "\"},\"finish_reason\":null}]}\n\n";
}

void run(const suite_options& options, report& figures)
{
    random_source random(options.seed);
    std::size_t event_bytes = 0;
    std::size_t frame_bytes = 0;
    std::size_t damaged = 0;
    for (std::uint64_t number = 1; number <= events * options.scale; ++number)
    {
        pipeline::part_message part;
        part.sequence = static_cast<std::uint32_t>(number);
        part.last_event = number;
        part.bytes = make_event(number, random);
        const std::string sent = part.bytes;
        event_bytes += sent.size();
        const std::string frame =
            pipeline::encode({pipeline::exchange_id(number), std::move(part)});
        frame_bytes += frame.size();
        const auto received = pipeline::decode_exchange_message(frame);
        const auto* whole = is_ok(received)
                                ? std::get_if<pipeline::part_message>(
                                      &value_of(received).content)
                                : nullptr;
        damaged += whole == nullptr || whole->bytes != sent ? 1 : 0;
    }
    const auto total = static_cast<double>(events * options.scale);
    const auto overhead = static_cast<double>(frame_bytes - event_bytes);
    figures.note("relay.event_bytes", static_cast<double>(event_bytes) / total);
    figures.note("relay.frame_overhead_bytes", overhead / total);
    figures.at_most("relay.link_bytes_share",
                    static_cast<double>(frame_bytes) /
                        static_cast<double>(event_bytes),
                    most_link_share);
    figures.at_most("relay.damaged_events", static_cast<double>(damaged), 0);
}

const suite_registration registration({"relay", true, &run});

} // namespace

} // namespace limpet::bench

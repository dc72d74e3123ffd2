/// \file
/// Keeps for the routers what began their streams.

#pragma once

#include <limpet/origins/origin_exchange.hpp>
#include <limpet/wire/link_hub.hpp>

#include <memory>
#include <string_view>

namespace limpet::control
{

/// Stores what routers tell this replica of their streams and answers their
/// questions, so that streams may continue after all routers were restarted.
/// Nothing is written to disk: a replica that restarts has forgotten it. Used
/// on one thread.
class stream_keeper
{
public:
    explicit stream_keeper(std::shared_ptr<wire::link_hub> hub);

    /// Handles a frame of the origins channel.
    void receive(const vm_id& from, std::string_view payload, time_point now);

private:
    std::shared_ptr<wire::link_hub> m_hub;
    origins::origin_exchange m_exchange;
};

} // namespace limpet::control

/// \file
/// A hub that keeps the frames that are sent.

#pragma once

#include <limpet/wire/link_hub.hpp>

#include <string>
#include <vector>

namespace limpet::pipeline
{

class recording_hub final : public wire::link_hub
{
public:
    const wire::link_identity& self() const override
    {
        return m_self;
    }

    void set_peer(const vm_id&, const boost::asio::ip::tcp::endpoint&) override
    {
    }

    void remove_peer(const vm_id&) override {}

    status send(const vm_id&, wire::channel, std::string payload) override
    {
        frames.push_back(std::move(payload));
        return success();
    }

    const wire::traffic_counters& counters() const override
    {
        return m_counters;
    }

    status set_fault(const vm_id&, wire::link_fault) override
    {
        return success();
    }

    void close() override {}

    std::vector<std::string> frames;

private:
    wire::link_identity m_self;
    wire::traffic_counters m_counters;
};

} // namespace limpet::pipeline

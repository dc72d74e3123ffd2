/// \file
/// Link hub for tests of what a replica sends.

#pragma once

#include <limpet/directory/update.hpp>
#include <limpet/wire/link_hub.hpp>

#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>
#include <vector>

namespace limpet::control
{

/// Link hub that records the sent updates instead of using a network.
class recording_hub final : public wire::link_hub
{
public:
    const wire::link_identity& self() const override
    {
        return m_self;
    }

    void set_peer(const vm_id& /*peer*/,
                  const boost::asio::ip::tcp::endpoint& /*at*/) override
    {
    }

    void remove_peer(const vm_id& /*peer*/) override {}

    status send(const vm_id& peer,
                wire::channel /*kind*/,
                std::string payload) override
    {
        auto decoded =
            directory::decode_update(payload, monotonic_clock::now());
        BOOST_REQUIRE(is_ok(decoded));
        sent.emplace_back(peer, std::move(value_of(decoded)));
        return success();
    }

    const wire::traffic_counters& counters() const override
    {
        return m_counters;
    }

    status set_fault(const vm_id& /*peer*/, wire::link_fault /*what*/) override
    {
        return success();
    }

    void close() override {}

    std::vector<std::pair<vm_id, directory::update>> sent;

private:
    wire::link_identity m_self{
        vm_id("10.0.0.1"), data_centre_id("north"), incarnation(1), ""};
    wire::traffic_counters m_counters;
};

} // namespace limpet::control

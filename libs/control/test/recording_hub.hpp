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

/// Link hub without a network.
class detached_hub : public wire::link_hub
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

    const wire::traffic_counters& counters() const override
    {
        return m_counters;
    }

    status set_fault(const vm_id& /*peer*/, wire::link_fault /*what*/) override
    {
        return success();
    }

    void close() override {}

private:
    wire::link_identity m_self{
        vm_id("10.0.0.1"), data_centre_id("north"), incarnation(1), ""};
    wire::traffic_counters m_counters;
};

/// Records the sent updates.
class recording_hub final : public detached_hub
{
public:
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

    std::vector<std::pair<vm_id, directory::update>> sent;
};

} // namespace limpet::control

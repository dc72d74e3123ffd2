/// Reads at a replica that asks the leader, in the place of which the test
/// replies.

#include "follower_reads.hpp"
#include "recording_hub.hpp"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <optional>
#include <stdlib.h>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace limpet;
using namespace limpet::control;

namespace
{

/// Records the sent calls.
class call_recording_hub final : public detached_hub
{
public:
    status send(const vm_id& /*peer*/,
                wire::channel /*kind*/,
                std::string payload) override
    {
        auto message = wire::decode_call_message(payload);
        BOOST_REQUIRE(is_ok(message));
        calls.push_back(std::get<wire::call>(value_of(message)));
        return success();
    }

    std::vector<wire::call> calls;
};

/// A group of one replica, which knows itself as the leader.
struct replica_with_leader_fixture
{
    boost::asio::io_context context;
    std::string folder = make_folder();
    std::unique_ptr<replica::replica> log;
    std::shared_ptr<call_recording_hub> hub =
        std::make_shared<call_recording_hub>();

    replica_with_leader_fixture()
    {
        replica::replica_settings settings;
        settings.self = vm_id("a");
        settings.group = {settings.self};
        settings.folder = folder;
        replica::replica_callbacks callbacks;
        callbacks.apply = [](replica::log_index, std::string_view)
        {
            return std::string();
        };
        callbacks.save = []
        {
            return std::string();
        };
        callbacks.restore = [](std::string_view)
        {
            return success();
        };
        callbacks.send = [](const vm_id&, const std::vector<std::uint8_t>&) {};
        auto opened = replica::replica::open(
            context, std::move(settings), std::move(callbacks));
        BOOST_REQUIRE(is_ok(opened));
        log = value_of(std::move(opened));
        log->start();
        while (!log->view().leader)
        {
            context.run_one();
        }
    }

    ~replica_with_leader_fixture()
    {
        log.reset();
        std::filesystem::remove_all(folder);
    }

    replica_with_leader_fixture(const replica_with_leader_fixture&) = delete;
    replica_with_leader_fixture&
    operator=(const replica_with_leader_fixture&) = delete;

    static std::string make_folder()
    {
        std::string path =
            (std::filesystem::temp_directory_path() / "limpet-XXXXXX").string();
        BOOST_REQUIRE(::mkdtemp(path.data()) != nullptr);
        return path;
    }

    wire::reply reply_to(std::size_t number) const
    {
        wire::reply answer;
        answer.id = hub->calls.at(number).id;
        answer.result = std::string("0");
        return answer;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(follower_read, replica_with_leader_fixture)

BOOST_AUTO_TEST_CASE(read_passes_once_the_leader_has_replied)
{
    follower_reads reads(context, *log, hub, 1000);
    std::optional<status> result;
    reads.barrier(
        [&result](status known)
        {
            result = std::move(known);
        });
    BOOST_TEST(!result);
    reads.receive(reply_to(0));
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(is_ok(*result));
}

/// Guards against reads of an older state: the leader's late reply to a process
/// that has ended names an index from before what was acknowledged since.
BOOST_AUTO_TEST_CASE(reply_to_a_read_of_an_earlier_start_is_ignored)
{
    follower_reads before(context, *log, hub, 1000);
    before.barrier([](const status& /*known*/) {});
    follower_reads reads(context, *log, hub, 1001);
    std::optional<status> result;
    reads.barrier(
        [&result](status known)
        {
            result = std::move(known);
        });
    reads.receive(reply_to(0));
    BOOST_TEST(!result);
    reads.receive(reply_to(1));
    BOOST_TEST(result.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

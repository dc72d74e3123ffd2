#include <limpet/replica/replica.hpp>

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <sys/resource.h>

namespace limpet::replica
{

namespace
{

constexpr std::uint64_t snapshot_interval = 40;

/// Temporary folder that is removed by the destructor.
class temporary_folder
{
public:
    temporary_folder()
        : m_path((std::filesystem::temp_directory_path() / "limpet-XXXXXX")
                     .string())
    {
        BOOST_REQUIRE(::mkdtemp(m_path.data()) != nullptr);
    }

    ~temporary_folder()
    {
        std::filesystem::remove_all(m_path);
    }

    const std::string& path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

/// Lets every write of this process to a file fail until it is destroyed.
class refused_writes
{
public:
    refused_writes()
    {
        std::signal(SIGXFSZ, SIG_IGN);
        ::getrlimit(RLIMIT_FSIZE, &m_former);
        const ::rlimit none{0, m_former.rlim_max};
        ::setrlimit(RLIMIT_FSIZE, &none);
    }

    refused_writes(const refused_writes&) = delete;
    refused_writes& operator=(const refused_writes&) = delete;

    ~refused_writes()
    {
        ::setrlimit(RLIMIT_FSIZE, &m_former);
    }

private:
    ::rlimit m_former{};
};

/// Replicas with storage on the real file system in one event loop. Each state
/// machine concatenates all commands into one string.
struct replica_fixture
{
    struct vm
    {
        std::unique_ptr<replica> instance;
        std::string state;
        /// Commands that the replica has stored since its start.
        std::string stored;
        /// Whether this release cannot read the group's snapshots.
        bool refuses_snapshots = false;
    };

    temporary_folder folder;
    boost::asio::io_context context;
    std::vector<vm_id> names{vm_id{"a"}, vm_id{"b"}, vm_id{"c"}};
    std::map<vm_id, vm> vms;

    std::string folder_of(const vm_id& name) const
    {
        return folder.path() + "/" + name.get();
    }

    status start(const vm_id& name,
                 std::optional<std::string> initial = std::nullopt)
    {
        std::filesystem::create_directory(folder_of(name));
        replica_settings settings;
        settings.self = name;
        settings.group = names;
        settings.folder = folder_of(name);
        settings.initial_data = std::move(initial);
        settings.snapshot_interval_entries = snapshot_interval;
        settings.consensus.heartbeat_interval = milliseconds(30);
        settings.consensus.election_timeout = milliseconds(250);
        settings.consensus.trailing_entries = 10;
        auto opened = replica::open(context, settings, callbacks_of(name));
        if (!is_ok(opened))
        {
            return error_of(opened);
        }
        vms[name].instance = value_of(std::move(opened));
        vms[name].instance->start();
        return success();
    }

    replica_callbacks callbacks_of(const vm_id& name)
    {
        vm& owner = vms[name];
        owner.state.clear();
        owner.stored.clear();
        replica_callbacks result;
        result.stored = [&owner](log_index, std::string_view command)
        {
            owner.stored.append(command);
        };
        result.apply = [&owner](log_index, std::string_view command)
        {
            owner.state.append(command);
            return std::to_string(owner.state.size());
        };
        result.save = [&owner]
        {
            return owner.state;
        };
        result.restore = [&owner](std::string_view state)
        {
            if (owner.refuses_snapshots)
            {
                return status(error{error_code::malformed, "unknown format"});
            }
            owner.state = state;
            return success();
        };
        result.send =
            [this, name](const vm_id& to, std::vector<std::uint8_t> bytes)
        {
            boost::asio::post(context,
                              [this, name, to, bytes = std::move(bytes)]
                              {
                                  if (vms[to].instance)
                                  {
                                      vms[to].instance->receive(name, bytes);
                                  }
                              });
        };
        return result;
    }

    void start_all()
    {
        for (const vm_id& name : names)
        {
            BOOST_REQUIRE(is_ok(start(name)));
        }
        run_until(
            [this]
            {
                return has_converged();
            });
    }

    template <class Condition>
    void run_until(Condition condition)
    {
        while (!condition())
        {
            context.run_one();
        }
    }

    replica* leader()
    {
        for (auto& [name, owner] : vms)
        {
            if (owner.instance && owner.instance->view().has_lease)
            {
                return owner.instance.get();
            }
        }
        return nullptr;
    }

    /// Returns whether all replicas run, are voters and have applied the
    /// leader's last entry.
    bool has_converged()
    {
        const auto* leading = leader();
        if (leading == nullptr)
        {
            return false;
        }
        const replica_view view = leading->view();
        std::size_t voters = 0;
        for (const member_view& member : view.members)
        {
            voters += member.voter ? 1 : 0;
        }
        for (const vm_id& name : names)
        {
            const auto& instance = vms[name].instance;
            if (!instance || instance->view().applied != view.last)
            {
                return false;
            }
        }
        return voters == names.size();
    }

    std::size_t count_writable()
    {
        std::size_t count = 0;
        for (auto& [name, owner] : vms)
        {
            const bool is_writable = owner.instance->view().is_storage_writable;
            count += is_writable ? 1 : 0;
        }
        return count;
    }

    /// Checks that no replica takes the command.
    void check_refused(const std::string& command)
    {
        for (auto& [name, owner] : vms)
        {
            std::optional<bool> is_taken;
            owner.instance->propose(
                command,
                [&is_taken](const outcome<proposal_result>& result)
                {
                    is_taken = is_ok(result);
                });
            run_until(
                [&is_taken]
                {
                    return is_taken.has_value();
                });
            BOOST_TEST(!*is_taken);
        }
    }

    /// Proposes the command until it is acknowledged.
    void commit(const std::string& command)
    {
        while (!try_commit(command))
        {
        }
    }

    /// Returns false if the command was rejected and has no effect.
    bool try_commit(const std::string& command)
    {
        run_until(
            [this]
            {
                return leader() != nullptr;
            });
        std::optional<status> answer;
        leader()->propose(command,
                          [&](const outcome<proposal_result>& result)
                          {
                              answer =
                                  is_ok(result) ? success() : error_of(result);
                          });
        run_until(
            [&]
            {
                return answer.has_value();
            });
        const bool done = is_ok(*answer);
        BOOST_REQUIRE(done || error_of(*answer).code == error_code::not_leader);
        return done;
    }

    void check_all_have(const std::string& state)
    {
        run_until(
            [this]
            {
                return has_converged();
            });
        for (const vm_id& name : names)
        {
            BOOST_TEST(vms[name].state == state);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(replica_suite, replica_fixture)

BOOST_AUTO_TEST_CASE(replicas_restarted_after_500_changes_keep_state)
{
    start_all();
    std::string expected;
    for (int i = 0; i < 500; ++i)
    {
        commit("x");
        expected += "x";
    }
    for (const vm_id& name : names)
    {
        vms[name].instance.reset();
    }
    start_all();
    check_all_have(expected);
}

/// Guards against departures of servers that take effect only after an
/// election, if the leader is lost.
BOOST_AUTO_TEST_CASE(command_is_reported_as_stored_before_it_is_committed)
{
    start_all();
    replica* const leading = leader();
    std::vector<vm_id> followers;
    for (const vm_id& name : names)
    {
        if (vms[name].instance.get() != leading)
        {
            followers.push_back(name);
        }
    }
    // Without the followers nothing is committed.
    for (const vm_id& name : followers)
    {
        vms[name].instance.reset();
    }
    leading->propose("x", [](const outcome<proposal_result>& /*result*/) {});
    const auto self = leading->view().self.vm;
    run_until(
        [this, &self]
        {
            return vms[self].stored == "x";
        });
    BOOST_TEST(vms[self].state.empty());
    vms[self].instance.reset();
    BOOST_REQUIRE(is_ok(start(self)));
    BOOST_TEST(vms[self].stored == "x");
    BOOST_TEST(vms[self].state.empty());
}

BOOST_AUTO_TEST_CASE(replica_wiped_is_rebuilt_from_its_peers)
{
    start_all();
    std::string expected;
    for (int i = 0; i < 100; ++i)
    {
        commit("y");
        expected += "y";
    }
    const vm_id& wiped = names[0];
    const replica_id former = vms[wiped].instance->view().self;
    vms[wiped].instance.reset();
    std::filesystem::remove_all(folder_of(wiped));
    commit("z");
    BOOST_REQUIRE(is_ok(start(wiped)));
    check_all_have(expected + "z");
    BOOST_TEST((vms[wiped].instance->view().self != former));
}

BOOST_AUTO_TEST_CASE(leader_stopped_hands_over_and_refuses_commands)
{
    start_all();
    commit("1");
    replica* former = leader();
    bool stopped = false;
    former->stop(
        [&](const status&)
        {
            stopped = true;
        });
    bool refused = false;
    former->propose("2",
                    [&](const outcome<proposal_result>& result)
                    {
                        refused = !is_ok(result) && error_of(result).code ==
                                                        error_code::not_leader;
                    });
    BOOST_TEST(refused);
    run_until(
        [&]
        {
            return stopped && leader() != nullptr && leader() != former;
        });
    commit("3");
}

BOOST_AUTO_TEST_CASE(read_barrier_at_leader_only_succeeds)
{
    start_all();
    int answers = 0;
    int readable = 0;
    for (auto& [name, owner] : vms)
    {
        owner.instance->read_barrier(
            [&](const status& result)
            {
                ++answers;
                readable += is_ok(result) ? 1 : 0;
            });
    }
    run_until(
        [&]
        {
            return answers == 3;
        });
    BOOST_TEST(readable == 1);
}

BOOST_AUTO_TEST_CASE(group_founded_from_backup_starts_with_it)
{
    for (const vm_id& name : names)
    {
        BOOST_REQUIRE(is_ok(start(name, "backup")));
    }
    check_all_have("backup");
}

BOOST_AUTO_TEST_CASE(replicas_on_full_disks_write_on_once_there_is_space)
{
    start_all();
    commit("a");
    {
        const refused_writes full;
        leader()->propose("b", [](const outcome<proposal_result>&) {});
        run_until(
            [this]
            {
                return count_writable() == 0;
            });
        check_refused("c");
    }
    run_until(
        [this]
        {
            return count_writable() == names.size();
        });
    commit("d");
    run_until(
        [this]
        {
            return has_converged();
        });
    // It was unknown whether the command that was not written takes effect.
    const std::string& state = vms[names[0]].state;
    BOOST_TEST((state == "ad" || state == "abd"));
    check_all_have(state);
}

BOOST_AUTO_TEST_CASE(replica_that_cannot_read_a_snapshot_claims_no_state)
{
    start_all();
    for (std::uint64_t i = 0; i < 3 * snapshot_interval; ++i)
    {
        commit("y");
    }
    const vm_id& other = names[0];
    vms[other].refuses_snapshots = true;
    // From its own disk.
    vms[other].instance.reset();
    BOOST_REQUIRE(is_ok(start(other)));
    BOOST_TEST((vms[other].instance->view().applied == log_index{}));
    commit("z");
    BOOST_TEST((vms[other].instance->view().applied == log_index{}));
    // From the leader.
    vms[other].instance.reset();
    std::filesystem::remove_all(folder_of(other));
    BOOST_REQUIRE(is_ok(start(other)));
    for (int i = 0; i < 20; ++i)
    {
        commit("z");
    }
    BOOST_TEST((vms[other].instance->view().applied == log_index{}));
    vms[other].instance.reset();
    vms[other].refuses_snapshots = false;
    BOOST_REQUIRE(is_ok(start(other)));
    run_until(
        [this]
        {
            return has_converged();
        });
}

BOOST_AUTO_TEST_CASE(storage_on_full_disk_cannot_be_opened_until_there_is_space)
{
    const std::string path = folder_of(names[0]);
    std::filesystem::create_directory(path);
    {
        const refused_writes full;
        BOOST_TEST(!is_ok(check_storage(path)));
    }
    BOOST_TEST(is_ok(check_storage(path)));
    BOOST_REQUIRE(is_ok(start(names[0])));
}

BOOST_AUTO_TEST_CASE(replica_with_folder_in_use_or_damaged_is_not_opened)
{
    start_all();
    BOOST_TEST(!is_ok(start(names[0])));
    vms[names[0]].instance.reset();
    std::filesystem::resize_file(folder_of(names[0]) + "/identity", 3);
    const status opened = start(names[0]);
    BOOST_REQUIRE(!is_ok(opened));
    BOOST_CHECK(error_of(opened).code == error_code::corrupt);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace limpet::replica

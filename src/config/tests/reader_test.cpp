#include "config/config_reader.h"
#include "config/validation.h"
#include "faulty_platform.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <rapidcheck/boost_test.h>

using namespace fulmar;
using namespace fulmar::standin;

namespace {

using Reader = ConfigReader<FaultyPlatform, ManualClock>;

// A process that reads the platform and gets changes from peers; its platform calls can fail.
struct Process {
    Process(PlatformState& state, const ManualClock& clock, const std::string& name)
        : platform(state)
        , reader(platform, clock, name)
    {
    }

    void poll()
    {
        if (auto read = reader.poll(replica.version(), [this] { return replica; }))
            replica.apply(read->changes);
    }

    FaultyPlatform platform;
    Reader reader;
    ConfigReplica replica;
};

// Three processes that read one platform. Without `recommits` lost rows are not recommitted, and without
// `checksVersions` rows can revert; both show that the tests detect the failure.
class ProcessGroup {
public:
    explicit ProcessGroup(bool recommits = true, bool checksVersions = true)
        : m_recommits(recommits)
        , m_checksVersions(checksVersions)
    {
        for (int each = 0; each < 3; ++each)
            processes.push_back(std::make_unique<Process>(state, clock, fmt::format("z{}", each)));
    }

    void act(std::uint8_t action, std::uint8_t argument)
    {
        auto& process = *processes[argument % 3];
        auto& peer = *processes[(argument + 1) % 3];
        clock.advance(std::chrono::milliseconds(100));
        switch (action % 6) {
        case 0:
            // Another client writes a row.
            write(fmt::format("config/team/{}", argument % 4));
            break;
        case 1:
            // Poll the platform.
            poll(process);
            break;
        case 2:
            // Receive the rows of the next process.
            apply(process, peer.replica.changesSince(process.replica.version()));
            break;
        case 3:
            // Make a platform call fail.
            process.platform.addFault(CallFault(1 + argument % 3));
            break;
        case 4:
            // Roll the table back.
            if (argument % 4 == 0)
                state.table.restoreTo(
                    state.table.version() - std::min<Version>(state.table.version(), argument % 8));
            break;
        case 5:
            // Restart with the replica of the next process.
            if (argument % 4 == 0) {
                processes[argument % 3]
                    = std::make_unique<Process>(state, clock, fmt::format("r{}", ++m_restarts));
                apply(*processes[argument % 3], peer.replica.changesSince(0));
            }
            break;
        }
    }

    void settle()
    {
        for (auto& process : processes)
            process->platform.clearFaults();
        for (int round = 0; round < 8; ++round)
            for (auto& process : processes) {
                clock.advance(Reader::fullReadInterval);
                poll(*process);
            }
    }

    // Describes the first difference between a process and the table; empty if there is none.
    std::string difference() const
    {
        auto table = state.table.read(keys::configPrefix, 0).rows;
        for (const auto& process : processes) {
            std::size_t known = 0;
            for (const auto& row : table) {
                auto position = process->replica.rows().find(row.key);
                if (position == process->replica.rows().end() || position->second.value != row.value)
                    return row.key + " differs";
                ++known;
            }
            if (known != process->replica.rows().size())
                return "a process has rows that the table lacks";
        }
        return {};
    }

    void write(const std::string& key)
    {
        auto value = std::to_string(++m_values);
        (void)state.table.commit({ OperationId("w" + value), {}, { { key, value, false } } });
    }

    bool hasReplicaReverted { false };
    PlatformState state;
    ManualClock clock;
    std::vector<std::unique_ptr<Process>> processes;

private:
    void poll(Process& process)
    {
        if (m_recommits)
            process.poll();
        else if (auto changes = process.platform.read(keys::configPrefix, 0))
            apply(process, *changes);
    }

    void apply(Process& process, const Changes& changes)
    {
        auto before = process.replica.rows();
        if (!m_checksVersions) {
            ConfigReplica stale;
            stale.apply(changes);
            process.replica = stale;
        } else {
            process.replica.apply(changes);
        }
        for (const auto& [key, row] : before)
            hasReplicaReverted = hasReplicaReverted || !process.replica.rows().contains(key)
                || process.replica.rows().at(key).version < row.version;
    }

    bool m_recommits;
    bool m_checksVersions;
    std::uint64_t m_values { 0 };
    int m_restarts { 0 };
};

using Schedule = std::vector<std::pair<std::uint8_t, std::uint8_t>>;

Row teamRow(const std::string& name)
{
    TeamConfig team;
    team.team = TeamId(name);
    return { keys::teamPrefix + name, encode(team), 1, {}, false };
}

} // namespace

BOOST_AUTO_TEST_SUITE(Reader)

// Whatever rows the platform loses, no process's rows revert, and in the end all processes and the table
// agree.
RC_BOOST_PROP(ProcessesAndTableAgreeAfterAnySchedule, (const Schedule& schedule))
{
    ProcessGroup group;
    for (auto [action, argument] : schedule)
        group.act(action, argument);
    group.settle();
    RC_ASSERT(group.difference().empty());
    RC_ASSERT(!group.hasReplicaReverted);
}

BOOST_AUTO_TEST_CASE(LostRowsAreRecommittedAndLaterChangesReplaceThem)
{
    ProcessGroup group;
    for (int each = 0; each < 100; ++each)
        group.write("config/team/a");
    group.processes[0]->poll();
    auto before = group.processes[0]->replica.rows().at("config/team/a");
    group.state.table.restoreTo(10);
    group.processes[0]->poll();
    group.processes[0]->poll();
    auto after = group.state.table.read("config/team/a", 0).rows.at(0);
    BOOST_TEST(after.value == before.value);
    group.write("config/team/a");
    group.processes[0]->poll();
    BOOST_TEST(group.processes[0]->replica.rows().at("config/team/a").value == "101");
    // Recommitting takes one commit, however many versions were lost.
    BOOST_TEST(group.state.table.version() == 12);
}

BOOST_AUTO_TEST_CASE(WithoutRecommitProcessesAndTableDiffer)
{
    ProcessGroup group(false);
    for (int each = 0; each < 5; ++each)
        group.write("config/team/a");
    group.settle();
    group.state.table.restoreTo(2);
    group.settle();
    BOOST_TEST(!group.difference().empty());
}

BOOST_AUTO_TEST_CASE(WithoutVersionCheckAProcessReverts)
{
    ProcessGroup group(true, false);
    group.write("config/team/a");
    group.processes[0]->poll();
    group.write("config/team/a");
    group.processes[1]->poll();
    group.processes[0]->poll();
    // Process 2 receives the rows of process 0, then process 1 those of process 2.
    group.act(2, 2);
    group.act(2, 1);
    BOOST_TEST(group.hasReplicaReverted);
}

BOOST_AUTO_TEST_CASE(BadChangeIsRejectedWithAllErrors)
{
    ServiceConfig service;
    service.service = ServiceId("s");
    service.pool = PoolId("nowhere");
    auto result = validateChange({},
        { { "config/service/s", encode(service), false }, { "config/team/b", teamRow("c").value, false },
            { "config/pool/p", "{}", false }, { "config/vm/v", "{}", false }, { "colour", "red", false },
            { "config/team/gone", "", true } });
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST(result.error().detail
        == "config/team/gone is to be deleted but does not exist; colour is not a configuration key; "
           "config/pool/p: pool is missing; pool must not be empty; config/team/b: name is c, which does not "
           "match the key; config/vm/v can be changed by commands only; "
           "config/service/s refers to config/pool/nowhere, which does not exist");
}

BOOST_AUTO_TEST_CASE(DeletingAReferencedRowIsRejected)
{
    JobConfig job;
    job.job = JobId("j");
    job.pool = PoolId("p");
    job.team = TeamId("t");
    PoolConfig pool;
    pool.pool = PoolId("p");
    std::map<std::string, Row> rows { { "config/team/t", teamRow("t") },
        { "config/pool/p", { "config/pool/p", encode(pool), 2, {}, false } },
        { "config/job/j", { "config/job/j", encode(job), 3, {}, false } } };
    auto result = validateChange(rows, { { "config/team/t", "", true } });
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST(result.error().detail == "config/job/j refers to config/team/t, which does not exist");
    BOOST_TEST(
        validateChange(rows, { { "config/job/j", "", true }, { "config/team/t", "", true } }).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

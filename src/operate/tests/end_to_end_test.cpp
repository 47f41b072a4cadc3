#include "operate/operator_client.h"
#include "operate/operator_server.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <mutex>

#include "fixture.h"

using namespace fulmar;
using namespace fulmar::operate;
using namespace fulmar::operate::test;

namespace {

// A table that several control processes share.
struct SharedPlatform : FaultyPlatform {
    std::mutex& mutex;

    SharedPlatform(standin::MemoryTable& sharedTable, std::mutex& sharedMutex)
        : FaultyPlatform { sharedTable }
        , mutex(sharedMutex)
    {
    }
    Result<Version> commit(const Transaction& transaction)
    {
        std::lock_guard lock(mutex);
        return FaultyPlatform::commit(transaction);
    }
    Result<Changes> read(const std::string& prefix, Version since)
    {
        std::lock_guard lock(mutex);
        return FaultyPlatform::read(prefix, since);
    }
};

// The operators' side of one control process.
struct Control {
    SharedPlatform platform;
    SystemClock clock;
    EventLog events;
    OperatorServer<SharedPlatform, SystemClock> server;

    Control(const std::string& name, standin::MemoryTable& table, std::mutex& mutex)
        : platform(table, mutex)
        , events(ProcessId(name), 100)
        , server({}, platform, clock, events, sources(),
              { [] { return std::string(); }, [] { return true; }, [] { return true; } })
    {
    }

    OperatorSources sources()
    {
        return { [this](
                     Version since) { return platform.read(keys::configPrefix, since).value_or(Changes {}); },
            [](OperatorView& view, FactNeeds) { view.missingZones = { ZoneId("c") }; },
            [] { return std::vector<std::vector<Event>>(); },
            [](const TaskId&) -> Result<std::string> { return notRun(Reason::NotFound, "no such task"); } };
    }

    [[nodiscard]] std::string address() const { return fmt::format("127.0.0.1:{}", server.port()); }
};

struct TwoControls {
    SmallFleet fleet;
    std::mutex mutex;
    Control first { "control1", fleet.table, mutex };
    Control second { "control2", fleet.table, mutex };

    [[nodiscard]] static Answer send(const std::vector<std::string>& servers, const std::string& text,
        const std::string& id, const std::string& who)
    {
        return OperatorClient(servers, std::chrono::seconds(10))
            .send({ text, { OperationId(id), who, {} }, false });
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(EndToEnd)

BOOST_AUTO_TEST_CASE(QueriesNameTheZonesThatAreMissing)
{
    TwoControls controls;
    auto answer = TwoControls::send({ controls.first.address() }, "count vms by zone", "", "");
    BOOST_TEST(answer.rows.size() == 2);
    BOOST_TEST(formatForPeople(answer).find("no word from zones c") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(OperatorsOfDifferentControlsExcludeEachOther)
{
    TwoControls controls;
    auto alice = TwoControls::send({ controls.first.address() }, "drain vm v1", "c1", "alice");
    auto bob = TwoControls::send({ controls.second.address() }, "move vm v1 to pool spare", "c2", "bob");
    BOOST_CHECK(alice.status == AnswerStatus::Waiting);
    BOOST_CHECK(bob.status == AnswerStatus::Conflict);
    BOOST_TEST(bob.message.find("command c1 of alice: drain vm v1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ACommandSentToAnotherControlAgainHasOneEffect)
{
    TwoControls controls;
    (void)TwoControls::send({ controls.first.address() }, "set pool plans unavailable = 30%", "c1", "alice");
    auto again
        = TwoControls::send({ controls.second.address() }, "set pool plans unavailable = 30%", "c1", "alice");
    BOOST_CHECK(again.status == AnswerStatus::Ok);
    BOOST_TEST(again.message.starts_with("recorded before: command c1 of alice"));
    BOOST_TEST(controls.fleet.table.version() == 2);
}

BOOST_AUTO_TEST_CASE(ACancelledTaskThatIsUnknownIsSaidSo)
{
    TwoControls controls;
    auto answer = TwoControls::send({ controls.first.address() }, "cancel task t9", "c1", "alice");
    BOOST_CHECK(answer.status == AnswerStatus::Conflict);
    BOOST_TEST(answer.message == "command c1: no such task");
}

BOOST_AUTO_TEST_CASE(TheTimeLineOfBothControlsShowsTheCommands)
{
    TwoControls controls;
    (void)TwoControls::send({ controls.first.address() }, "drain vm v1", "c1", "alice");
    (void)TwoControls::send({ controls.second.address() }, "drain vm v2", "c2", "bob");
    auto collected
        = OperatorClient({ controls.first.address(), controls.second.address() }, std::chrono::seconds(10))
              .collectTimeline("timeline kind command");
    BOOST_TEST(collected.silentServers.empty());
    BOOST_TEST(collected.events.size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

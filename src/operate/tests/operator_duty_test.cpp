#include "operate/operator_duty.h"

#include "fleet/records.h"

#include <boost/test/unit_test.hpp>

#include "fixture.h"

using namespace fulmar;
using namespace fulmar::operate;
using namespace fulmar::operate::test;

namespace {

// The fleet behind a duty, without sockets: requests go in and replies come out on this thread.
struct DutyFixture {
    SmallFleet fleet;
    FaultyPlatform platform { fleet.table };
    ManualClock clock;
    EventLog events { ProcessId("control1"), 100 };
    std::vector<TaskId> cancelled;
    OperatorDuty<FaultyPlatform, ManualClock> duty { platform, clock, events, sources() };

    OperatorSources sources()
    {
        return { [this](Version since) { return fleet.table.read(keys::configPrefix, since); },
            [](OperatorView& view, FactNeeds) { view.missingZones = { ZoneId("c") }; },
            [this] {
                Event event { { clock.wallNow(), 0 }, ProcessId("entry1"), "vm.confirmed",
                    { { "vm", "v3" } } };
                return std::vector<std::vector<Event>> { { event } };
            },
            [this](const TaskId& task) -> Result<std::string> {
                cancelled.push_back(task);
                return "the task is cancelled";
            } };
    }

    Answer ask(const std::string& text, const std::string& id = "c1")
    {
        HttpReply reply;
        duty.handlers().operate(toJson(OperatorRequest { text, { OperationId(id), "alice", {} }, false }),
            [&](HttpReply each) { reply = std::move(each); });
        duty.step();
        auto answer = answerFromJson(reply.body);
        BOOST_REQUIRE(answer.has_value());
        return *answer;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(OperatorDutySteps)

BOOST_AUTO_TEST_CASE(AnswersSayTheirAgeAndWhatTheyLack)
{
    DutyFixture fixture;
    BOOST_TEST(fixture.ask("show vms").rows.size() == 10);
    fixture.platform.isOut = true;
    fixture.clock.advance(std::chrono::seconds(90));
    auto answer = fixture.ask("show commands");
    BOOST_TEST(answer.rows.size() == 1);
    BOOST_TEST(answer.age.count() == 90'000);
    BOOST_TEST(answer.missingZones.front().value() == "c");
}

BOOST_AUTO_TEST_CASE(ACancellationIsRecordedAndCarriedOut)
{
    DutyFixture fixture;
    auto answer = fixture.ask("cancel task t9");
    BOOST_CHECK(answer.status == AnswerStatus::Ok);
    BOOST_TEST(fixture.cancelled.size() == 1);
    BOOST_TEST(fixture.ask("cancel task t9").message
        == "recorded before: command c1 of alice: cancel task t9 (done: the task is cancelled)");
    BOOST_TEST(fixture.cancelled.size() == 1);
}

BOOST_AUTO_TEST_CASE(CommandsReachTheTimeLine)
{
    DutyFixture fixture;
    (void)fixture.ask("drain vm v1");
    HttpReply reply;
    fixture.duty.handlers().timeline(
        { TimelineFormat::Text, "timeline" }, [&](HttpReply each) { reply = std::move(each); });
    fixture.duty.step();
    BOOST_TEST(
        reply.body.find("event=command command=c1 who=alice statement=\"drain vm v1\"") != std::string::npos);
    BOOST_TEST(reply.body.find("process=entry1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(WavesAndMovesAreReadFromTheirRows)
{
    DutyFixture fixture;
    fleet::WaveRecord wave { WaveId("w-c1"), { "plans" }, fleet::WaveState::Running, {}, OperationId("c1"),
        fixture.fleet.now - std::chrono::minutes(150) };
    fleet::IntentRecord intent;
    intent.operation = OperationId("m1");
    intent.vm = VmId("v3");
    intent.wave = wave.wave;
    BOOST_REQUIRE(fixture.fleet.table.commit(
        { OperationId("o"), {}, { { "wave/w-c1", encode(wave) }, { "intent/v3", encode(intent) } } }));
    auto waves = fixture.ask("show waves");
    BOOST_TEST(std::get<double>(waves.rows.at(0).at(3)) == 2);
    BOOST_TEST(std::get<double>(waves.rows.at(0).at(4)) == 7);
    BOOST_TEST(std::get<std::string>(fixture.ask("show moves").rows.at(0).at(6)) == "wave w-c1");
}

BOOST_AUTO_TEST_CASE(AFullRingRefusesAsNotRecorded)
{
    DutyFixture fixture;
    std::vector<HttpReply> replies;
    auto handlers = fixture.duty.handlers();
    for (int i = 0; i < 100; ++i)
        handlers.operate("{}", [&](HttpReply reply) { replies.push_back(std::move(reply)); });
    BOOST_REQUIRE(!replies.empty());
    BOOST_CHECK(answerFromJson(replies.front().body)->status == AnswerStatus::Unavailable);
}

BOOST_AUTO_TEST_SUITE_END()

#include "operate/timeline.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace fulmar;
using namespace fulmar::operate;

namespace {

// A message that one process sent and another received: events that must stay in this order.
struct CausalPair {
    std::size_t cause { 0 };
    std::size_t effect { 0 };
};

struct History {
    std::vector<std::vector<Event>> processes;
    std::vector<CausalPair> pairs;
};

// Runs three processes whose clocks are up to an hour apart. Each step records an event; some send a message
// to the next process, which records its receipt. `observes` is false for processes that ignore the stamps.
History runProcesses(const std::vector<std::uint8_t>& script, bool observes)
{
    constexpr std::size_t count = 3;
    constexpr std::chrono::minutes skew[count] { std::chrono::minutes(0), std::chrono::minutes(60),
        std::chrono::minutes(-30) };
    std::vector<std::unique_ptr<EventLog>> logs;
    for (std::size_t i = 0; i < count; ++i)
        logs.push_back(std::make_unique<EventLog>(ProcessId("p" + std::to_string(i)), 1000));
    History history;
    WallTime now { std::chrono::hours(1000) };
    std::size_t number = 0;
    auto record = [&](std::size_t process) {
        logs[process]->record(now + skew[process], "step", { { "n", std::to_string(number) } });
        return number++;
    };
    for (auto step : script) {
        now += std::chrono::milliseconds(step % 7);
        auto sender = step % count;
        auto cause = record(sender);
        if (step % 2 == 0)
            continue;
        auto receiver = (sender + 1 + step / 128) % count;
        if (observes)
            logs[receiver]->observe(logs[sender]->stampForMessage(now + skew[sender]));
        history.pairs.push_back({ cause, record(receiver) });
    }
    for (const auto& log : logs)
        history.processes.push_back(log->snapshot());
    return history;
}

bool isCausal(const History& history)
{
    std::map<std::string, std::size_t> position;
    for (const auto& event : mergeEvents(history.processes))
        position.emplace(fieldValue(event, "n"), position.size());
    return std::all_of(history.pairs.begin(), history.pairs.end(), [&](const CausalPair& pair) {
        return position.at(std::to_string(pair.cause)) < position.at(std::to_string(pair.effect));
    });
}

Event event(int millis, const char* process, const char* kind, std::vector<EventField> fields)
{
    return { { WallTime(std::chrono::milliseconds(millis)), 0 }, ProcessId(process), kind,
        std::move(fields) };
}

std::vector<Event> moveStory()
{
    return mergeEvents({ { event(30, "entry1", "vm.confirmed", { { "move", "m1" } }),
                             event(50, "entry1", "call.done", { { "vm", "v2" }, { "caller", "10.0.0.9" } }) },
        { event(10, "control1", "command.recorded", { { "command", "c1" }, { "vm", "v1" } }),
            event(20, "control1", "vm.leaving", { { "vm", "v1" }, { "move", "m1" } }) } });
}

std::vector<std::string> kindsOf(const std::vector<Event>& events)
{
    std::vector<std::string> kinds;
    kinds.reserve(events.size());
    for (const auto& each : events)
        kinds.push_back(each.kind);
    return kinds;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Timeline)

RC_BOOST_PROP(CausesComeBeforeEffects, (const std::vector<std::uint8_t>& script))
{
    RC_ASSERT(isCausal(runProcesses(script, true)));
}

// The check must see it if processes ignore the stamps that they receive.
BOOST_AUTO_TEST_CASE(ClocksAloneAreSeenToFail)
{
    BOOST_TEST(!isCausal(runProcesses({ 1, 3, 7, 9, 5 }, false)));
}

BOOST_AUTO_TEST_CASE(AnEntityIsFollowedIntoItsMoves)
{
    TimelineQuery query;
    query.entity = Entity { EntityKind::Vm, "v1" };
    WallTime now { std::chrono::milliseconds(60) };
    std::vector<std::string> expected { "command.recorded", "vm.leaving", "vm.confirmed" };
    BOOST_TEST(kindsOf(selectEvents(query, moveStory(), now)) == expected, boost::test_tools::per_element());
    query.limit = 1;
    BOOST_TEST(selectEvents(query, moveStory(), now).front().kind == "vm.confirmed");
    TimelineQuery recent;
    recent.last = std::chrono::milliseconds(30);
    BOOST_TEST(selectEvents(recent, moveStory(), now).size() == 2);
    recent.kind = "call.";
    BOOST_TEST(selectEvents(recent, moveStory(), now).size() == 1);
}

BOOST_AUTO_TEST_CASE(NothingOfCallersIsShown)
{
    BOOST_TEST(timelineText(moveStory()).find("10.0.0.9") == std::string::npos);
    BOOST_TEST(timelineHtml(moveStory(), "t").find("10.0.0.9") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(EveryProcessIsListedOnce)
{
    auto story = moveStory();
    BOOST_TEST(mergeEvents({ story, story }).size() == story.size());
}

// Whatever events hold, a page has no more markup than one with harmless events.
RC_BOOST_PROP(
    PagesEscapeEverything, (const std::string& kind, const std::string& name, const std::string& value))
{
    auto countOf
        = [](const std::string& text, char byte) { return std::count(text.begin(), text.end(), byte); };
    auto harmless = timelineHtml({ event(1, "p", "k", { { "n", "v" } }) }, "t");
    auto page = timelineHtml(
        { event(1, (value + "<p>").c_str(), (kind + "\"<script>").c_str(), { { name, value + "'</td>" } }) },
        kind + "</title>");
    for (char byte : { '<', '>', '"' })
        RC_ASSERT(countOf(page, byte) == countOf(harmless, byte));
}

RC_BOOST_PROP(EventsSurviveJson, (const std::string& text))
{
    RC_ASSERT(!timelineFromJson(text).has_value());
    auto events = timelineFromJson(timelineJson(moveStory()));
    RC_ASSERT(events.has_value());
    RC_ASSERT(timelineText(*events) == timelineText(moveStory()));
}

BOOST_AUTO_TEST_SUITE_END()

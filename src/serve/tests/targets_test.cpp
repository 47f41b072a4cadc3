#include "serve/retry_budget.h"
#include "serve/run_times.h"
#include "serve/targets.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace fulmar;
using namespace fulmar::serve;
using namespace std::chrono_literals;

namespace {

const TimePoint t0 { 1000s };
const ServiceId service("s");

ServiceEntry serviceWith(std::size_t targets, const std::string& zones)
{
    ServiceEntry entry;
    entry.config.service = service;
    entry.config.slotsPerTarget = 2;
    for (std::size_t i = 0; i < targets; ++i)
        entry.targets.push_back({ VmId("v" + std::to_string(i)), "127.0.0.1:1",
            ZoneId(std::string(1, zones[i % zones.size()])), RackId("r" + std::to_string(i / 2)), true, 1 });
    return entry;
}

// Reference selection: among targets that serve and have a free slot, prefers those not in `tried`, then
// racks without tried targets, then the own zone, then the fewest calls in flight. Returns all targets that
// rank equally.
std::vector<VmId> referenceChoices(
    const ServiceEntry& entry, Targets& targets, const std::vector<VmId>& tried, TimePoint now)
{
    auto isTried = [&](const VmId& vm) { return std::find(tried.begin(), tried.end(), vm) != tried.end(); };
    auto triedRack = [&](const Target& target) {
        return std::any_of(entry.targets.begin(), entry.targets.end(),
            [&](const Target& other) { return isTried(other.vm) && other.rack == target.rack; });
    };
    using Rank = std::tuple<bool, bool, std::uint32_t>;
    std::vector<std::pair<Rank, VmId>> ranked;
    bool others = false;
    for (const auto& target : entry.targets)
        others |= target.serving && !targets.find(target.vm)->isLeaving(now) && !isTried(target.vm);
    for (const auto& target : entry.targets) {
        const auto& state = *targets.find(target.vm);
        bool usable = target.serving && !state.isLeaving(now)
            && state.slots.inFlight() < entry.config.slotsPerTarget && !(others && isTried(target.vm));
        if (usable)
            ranked.push_back(
                { { triedRack(target), target.zone != ZoneId("a"), state.slots.inFlight() }, target.vm });
    }
    std::vector<VmId> best;
    auto least = std::min_element(ranked.begin(), ranked.end());
    for (const auto& [rank, vm] : ranked)
        if (rank == least->first)
            best.push_back(vm);
    return best;
}

// Whether `pick` chooses a target of the reference selection while calls start and end and targets come and
// go.
template <typename Pick> bool agreesWithReference(std::uint32_t seed, Pick pick)
{
    std::mt19937 random(seed);
    auto entry = serviceWith(1 + random() % 7, "ab");
    Targets targets({ ProcessId("e"), ZoneId("a") }, 1);
    targets.setService(entry, t0);
    for (int i = 0; i < 60; ++i) {
        auto& any = entry.targets[random() % entry.targets.size()];
        switch (random() % 6) {
        case 0:
            if (targets.find(any.vm)->slots.inFlight() > 0)
                targets.find(any.vm)->slots.returnSlot({});
            break;
        case 1:
            targets.setListedLeaving(any.vm, random() % 2 == 0);
            break;
        case 2:
            any.serving = !any.serving;
            targets.setService(entry, t0);
            break;
        default: {
            std::vector<VmId> tried;
            if (random() % 2 == 0)
                tried.push_back(any.vm);
            auto choices = referenceChoices(entry, targets, tried, t0);
            auto* picked = pick(targets, entry, tried);
            if ((picked == nullptr) != choices.empty())
                return false;
            if (!picked)
                break;
            if (std::find(choices.begin(), choices.end(), picked->row.vm) == choices.end())
                return false;
            std::ignore = picked->slots.take(t0);
        }
        }
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TargetChoice)

RC_BOOST_PROP(AgreesWithTheReferenceSelection, ())
{
    auto seed = *rc::gen::arbitrary<std::uint32_t>();
    auto pick = [](Targets& targets, const ServiceEntry&, const std::vector<VmId>& tried) {
        return targets.pick(service, tried, t0);
    };
    RC_ASSERT(agreesWithReference(seed, pick));
}

BOOST_AUTO_TEST_CASE(RoundRobinDisagreesWithTheReference)
{
    std::size_t turn = 0;
    auto pick = [&turn](Targets& targets, const ServiceEntry& entry, const std::vector<VmId>&) {
        return targets.find(entry.targets[turn++ % entry.targets.size()].vm);
    };
    bool agrees = true;
    for (std::uint32_t seed = 1; seed <= 20; ++seed)
        agrees = agrees && agreesWithReference(seed, pick);
    BOOST_TEST(!agrees);
}

BOOST_AUTO_TEST_CASE(AFailingTargetIsEjectedAndThenProbedWithOneCall)
{
    Targets targets({ ProcessId("e"), ZoneId("a") }, 1);
    targets.setService(serviceWith(4, "a"), t0);
    VmId bad("v0");
    for (int i = 0; i < 6; ++i)
        targets.onFailure(bad, t0);
    auto picks = [&](TimePoint now) {
        std::size_t count = 0;
        std::vector<TargetState*> taken;
        while (auto* state = targets.pick(service, {}, now)) {
            std::ignore = state->slots.take(now);
            taken.push_back(state);
            count += state->row.vm == bad ? 1 : 0;
        }
        for (auto* state : taken)
            state->slots.returnSlot({});
        return count;
    };
    BOOST_TEST(picks(t0) == 0U);
    BOOST_TEST(picks(t0 + 6s) == 1U);
    for (int i = 0; i < 3; ++i)
        targets.onSuccess(bad, 1, t0 + 6s);
    BOOST_TEST(picks(t0 + 6s) == 2U);
}

BOOST_AUTO_TEST_CASE(ASlowTargetIsEjected)
{
    Targets targets({ ProcessId("e"), ZoneId("a") }, 1);
    targets.setService(serviceWith(4, "a"), t0);
    for (int i = 0; i < 10; ++i)
        targets.onSuccess(VmId("v1"), 10, t0);
    BOOST_TEST(targets.find(VmId("v1"))->health.isEjected(t0));
}

// However many targets fail, the number of ejected targets stays within the cap, and calls still find a
// target.
RC_BOOST_PROP(EjectionIsCapped, ())
{
    auto count = *rc::gen::inRange<std::size_t>(1, 12);
    Targets targets({ ProcessId("e"), ZoneId("a") }, 1);
    targets.setService(serviceWith(count, "a"), t0);
    auto failures = *rc::gen::inRange(0, 200);
    for (int i = 0; i < failures; ++i)
        targets.onFailure(VmId("v" + std::to_string(*rc::gen::inRange<std::size_t>(0, count))), t0);
    std::size_t ejected = 0;
    for (const auto* state : targets.targetsOf(service))
        ejected += state->health.isEjected(t0) ? 1 : 0;
    RC_ASSERT(ejected <= (count == 1 ? 0 : std::max<std::size_t>(1, count * 3 / 10)));
    RC_ASSERT(targets.pick(service, {}, t0) != nullptr);
}

// If all other targets are leaving, an ejected target is used.
BOOST_AUTO_TEST_CASE(InPanicEjectionsAreIgnored)
{
    Targets targets({ ProcessId("e"), ZoneId("a") }, 1);
    targets.setService(serviceWith(2, "a"), t0);
    for (int i = 0; i < 6; ++i)
        targets.onFailure(VmId("v0"), t0);
    targets.setLeaving(VmId("v1"), t0);
    auto* picked = targets.pick(service, {}, t0);
    BOOST_REQUIRE(picked);
    BOOST_TEST(picked->row.vm == VmId("v0"));
}

BOOST_AUTO_TEST_CASE(RetriesAreAShareOfFreshCalls)
{
    RetryBudget budget;
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.onFreshCall(0.1);
        retries += budget.tryTake() ? 1 : 0;
    }
    BOOST_TEST(retries <= 110);
    BOOST_TEST(retries >= 100);
}

BOOST_AUTO_TEST_CASE(LongClassesAreLearned)
{
    RunTimes times;
    auto quick = times.classOf(service, "GET", "/quote/17?x=1");
    BOOST_TEST(times.classOf(service, "GET", "/quote/4711") == quick);
    auto survey = times.classOf(service, "GET", "/survey/1");
    BOOST_TEST(survey != quick);
    for (int i = 0; i < 100; ++i) {
        times.record(quick, 20ms);
        if (i % 10 == 0)
            times.record(survey, 3s);
    }
    BOOST_TEST(!times.isLong(quick));
    BOOST_TEST(times.isLong(survey));
    BOOST_TEST(times.expected(quick).count() == Duration(20ms).count());
}

BOOST_AUTO_TEST_SUITE_END()

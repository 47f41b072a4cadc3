#include "jobs/admission.h"
#include "jobs/demand.h"
#include "jobs/maintenance_plan.h"
#include "jobs/move_plan.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace fulmar;
using namespace fulmar::jobs;
using namespace std::chrono_literals;

namespace {

Job smallJob(std::uint32_t tasks, Millis estimate)
{
    Job job;
    job.id = JobId("j");
    job.policy = { PoolId("p"), 0, 3, 1.6, 600ms };
    Step step;
    step.count = tasks;
    step.perTask = { 1'000, 100, 0 };
    step.estimate = estimate;
    job.steps.push_back(step);
    return job;
}

// A pool of 10 cores with waiting work, in core-milliseconds.
PoolLoad loadWith(double waiting)
{
    PoolLoad load;
    load.usableCpu = 10'000;
    load.waiting = waiting;
    return load;
}

} // namespace

BOOST_AUTO_TEST_SUITE(decisions)

BOOST_AUTO_TEST_CASE(RetryAfterReflectsTheBacklog)
{
    auto load = loadWith(90'000);
    auto decision = decideAdmission(smallJob(1, 500ms), load);
    BOOST_TEST(bool(decision.verdict == Admission::RejectOverload));
    BOOST_TEST((decision.retryAfter >= 5s));
    BOOST_TEST((decision.retryAfter <= 10s));
}

// Guards against rejecting small jobs beside free cores because work of later steps was counted.
BOOST_AUTO_TEST_CASE(JobThatCanStartNowIsAccepted)
{
    PoolLoad load;
    load.usableCpu = 10'000;
    load.freeCpu = 5'000;
    load.blocked = 900'000;
    load.running = 50'000;
    BOOST_TEST(bool(decideAdmission(smallJob(1, 500ms), load).verdict == Admission::Accept));
}

// The job would miss its objective of 1.4 s, but not by so much that its result is useless.
BOOST_AUTO_TEST_CASE(JobThatEndsLateButInUsefulTimeIsAccepted)
{
    auto load = loadWith(20'000);
    auto decision = decideAdmission(smallJob(1, 500ms), load);
    BOOST_TEST(bool(decision.verdict == Admission::Accept));
    BOOST_TEST((decision.expectedDuration > smallJob(1, 500ms).objective()));
}

BOOST_AUTO_TEST_CASE(JobIsRejectedWithoutUsableOrArrivingRunners)
{
    BOOST_TEST(bool(decideAdmission(smallJob(1, 500ms), {}).verdict == Admission::RejectNoRunner));
}

BOOST_AUTO_TEST_CASE(ArrivingVmsCountAtAdmission)
{
    auto load = loadWith(300'000);
    BOOST_TEST(bool(decideAdmission(smallJob(1, 4s), load).verdict == Admission::RejectOverload));
    load.arrivingCpu = 200'000;
    BOOST_TEST(bool(decideAdmission(smallJob(1, 4s), load).verdict == Admission::Accept));
}

BOOST_AUTO_TEST_CASE(BurstIsDetectedWithinAFewArrivals)
{
    DemandMeter meter;
    TimePoint now { 1'000s };
    for (int i = 0; i < 8; ++i)
        meter.recordArrival(JobId("quiet" + std::to_string(i)), 5'000, 800ms, 2s, now += 2s);
    BOOST_TEST(meter.demandedCores(now + 1s) < 10);
    for (int i = 0; i < 16; ++i)
        meter.recordArrival(JobId("turn" + std::to_string(i)), 5'000, 800ms, 2s, now += 25ms);
    BOOST_TEST(meter.demandedCores(now) > 150);
    BOOST_TEST(meter.demandedCores(now + 5s) < 10);
}

// Arrivals rise over three seconds, but a VM takes work only two seconds after it is ordered.
BOOST_AUTO_TEST_CASE(RisingArrivalsAreForecast)
{
    DemandMeter meter;
    TimePoint now { 1'000s };
    // The rate rises by 20 jobs a second each second, at 10 core-seconds a job.
    int number = 0;
    for (auto at = 0ms; at < 2s; at += 10ms) {
        now += 10ms;
        if (auto due
            = int(10 * std::chrono::duration<double>(at).count() * std::chrono::duration<double>(at).count());
            number < due)
            meter.recordArrival(JobId("j" + std::to_string(number++)), 10'000, 1s, 2s, now);
    }
    // 40 jobs a second now; 80 when a VM ordered now takes work.
    BOOST_TEST(meter.demandedCores(now) >= 10 * 60);
    BOOST_TEST(meter.demandedCores(now) <= 10 * 130);
}

BOOST_AUTO_TEST_CASE(SteadyArrivalsAreNotExtrapolated)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 random(seed);
        std::exponential_distribution<double> gap(0.06);
        DemandMeter meter;
        TimePoint now { 1'000s };
        double sum = 0;
        for (int i = 0; i < 600; ++i) {
            now += Duration(std::int64_t(gap(random) * 1'000));
            meter.recordArrival(JobId("j" + std::to_string(i)), 10'000, 1s, 2s, now);
            if (i >= 200)
                sum += meter.demandedCores(now);
        }
        // 60 jobs/s of 10 core-seconds need 600 cores; an estimate up to 50% higher is accepted as spare
        // capacity.
        BOOST_TEST(sum / 400 <= 60 * 10 * 1.5);
    }
}

// Guards against four long jobs in close succession demanding more VMs than the fleet has.
BOOST_AUTO_TEST_CASE(AFewLongJobsAreNotABurst)
{
    DemandMeter meter;
    TimePoint now { 1'000s };
    for (int i = 0; i < 4; ++i)
        meter.recordArrival(JobId("long" + std::to_string(i)), 50'000, 4s, 7s, now += 100ms);
    BOOST_TEST(meter.demandedCores(now) <= 4 * 50'000 / 2'000.0);
}

BOOST_AUTO_TEST_CASE(PoolWithShortObjectivesKeepsMoreOfItsPeak)
{
    TimePoint now { 1'000s };
    MinPoolSize shortObjective;
    MinPoolSize longObjective;
    BOOST_TEST(shortObjective.update(2, 10, 2'200ms, now) > longObjective.update(2, 10, 7s, now));
    BOOST_TEST(shortObjective.update(16, 10, 2'200ms, now + 10s) >= 9U);
    BOOST_TEST(shortObjective.update(2, 10, 2'200ms, now + 15s) >= 8U);
    BOOST_TEST(shortObjective.update(2, 10, 2'200ms, now + 300s) <= 2U);
}

BOOST_AUTO_TEST_CASE(ResubmittedJobCountsOnce)
{
    DemandMeter meter;
    TimePoint now { 1'000s };
    for (int i = 0; i < 50; ++i)
        meter.recordArrival(JobId("same"), 5'000, 1s, 2s, now += 10ms);
    BOOST_TEST(meter.demandedCores(now) <= 5);
}

BOOST_AUTO_TEST_CASE(PoolInABurstTakesStandbyAndIdleVms)
{
    MoveInput input;
    input.standbyPool = PoolId("off");
    input.standby = { VmId("s1"), VmId("s2") };
    input.pools
        = { { PoolId("busy"), 5, 0, 2, {}, {} }, { PoolId("quiet"), 2, 0, 4, { { VmId("q1"), 1s } }, {} } };
    auto plan = planMoves(input);
    BOOST_TEST(plan.moves.size() == 3U);
    for (const auto& move : plan.moves)
        BOOST_TEST(move.to.value() == "busy");
}

// VMs that one pool keeps for its next burst must not idle while another pool's burst lacks them.
BOOST_AUTO_TEST_CASE(KeptVmsMoveToAPoolInNeedButAreNotSwitchedOff)
{
    MoveInput input;
    input.standbyPool = PoolId("off");
    input.pools = { { PoolId("quiet"), 2, 6, 6, { { VmId("q1"), 5s }, { VmId("q2"), 5s } }, {} } };
    BOOST_TEST(planMoves(input).moves.empty());
    input.pools.push_back({ PoolId("busy"), 3, 0, 2, {}, {} });
    auto plan = planMoves(input);
    BOOST_REQUIRE_EQUAL(plan.moves.size(), 1U);
    BOOST_TEST(plan.moves[0].to.value() == "busy");
}

BOOST_AUTO_TEST_CASE(IdleVmsAreSwitchedOffAndBusyOnesCordoned)
{
    MoveInput input;
    input.standbyPool = PoolId("off");
    input.pools = { { PoolId("quiet"), 2, 0, 6, { { VmId("q1"), 5s }, { VmId("q2"), 100ms } },
        { VmId("b1"), VmId("b2"), VmId("b3") } } };
    auto plan = planMoves(input);
    BOOST_REQUIRE_EQUAL(plan.moves.size(), 1U);
    BOOST_TEST(plan.moves[0].vm.value() == "q1");
    BOOST_TEST(plan.cordoned.size() == 2U);
    BOOST_TEST(plan.cordoned.contains(VmId("b1")));
}

const MaintenanceTimes waveTimes { 2s, 2s };

BOOST_AUTO_TEST_CASE(WaveNeverExceedsItsAllowance)
{
    WaveProgress wave;
    wave.order = { 1, {}, 26s, 9 };
    wave.allowance = 3;
    TimePoint now { 1'000s };
    wave.firstSeen = now;
    std::vector<MaintenanceCandidate> candidates;
    for (int i = 0; i < 20; ++i)
        candidates.push_back({ VmId("vm" + std::to_string(i)), true, true, true, true, 0 });
    for (auto elapsed = 0ms; elapsed < 40s; elapsed += 500ms)
        BOOST_TEST(planMaintenance(wave, candidates, waveTimes, now + elapsed).takeDown.size() <= 3U);
}

// A new holder must count VMs that the previous one took down, or the wave exceeds its limit.
BOOST_AUTO_TEST_CASE(VmsTakenDownByAnEarlierHolderCount)
{
    WaveProgress wave;
    wave.order = { 1, { VmId("vm0"), VmId("vm1"), VmId("vm2") }, 26s, 2 };
    wave.allowance = 2;
    TimePoint now { 1'000s };
    wave.firstSeen = now;
    std::map<VmId, VmRecord> list;
    for (const auto& id : wave.order.vms)
        list[id] = { id, PoolId("p"), VmState::Up, {}, {}, {} };
    list[VmId("vm0")].state = VmState::Maintenance;
    list[VmId("vm1")].state = VmState::Maintenance;
    recordVmsInMaintenance(wave, list, now);
    std::vector<MaintenanceCandidate> candidates { { VmId("vm2"), true, true, true, true, 0 } };
    BOOST_TEST(planMaintenance(wave, candidates, waveTimes, now).takeDown.empty());
}

// A wave that runs out of time must not take down a VM with long-running tasks.
BOOST_AUTO_TEST_CASE(WaveNeverEndsLongRunningTasks)
{
    WaveProgress wave;
    wave.order = { 1, {}, 26s, 9 };
    wave.allowance = 9;
    TimePoint now { 1'000s };
    wave.firstSeen = now;
    wave.cordoned[VmId("vm")] = now;
    std::vector<MaintenanceCandidate> candidates { { VmId("vm"), false, false, true, false, 500 } };
    BOOST_TEST(planMaintenance(wave, candidates, waveTimes, now + 60s).takeDown.empty());
    candidates[0].mayEndRuns = true;
    BOOST_TEST(planMaintenance(wave, candidates, waveTimes, now + 60s).takeDown.size() == 1U);
}

// If VMs with long-running tasks came last, their evacuation would outlast the wave.
BOOST_AUTO_TEST_CASE(VmsWithLongRunningTasksAreCordonedFromTheStart)
{
    WaveProgress wave;
    wave.order = { 1, {}, 26s, 61 };
    wave.allowance = 20;
    TimePoint now { 1'000s };
    wave.firstSeen = now;
    std::vector<MaintenanceCandidate> candidates;
    for (int i = 0; i < 30; ++i)
        candidates.push_back({ VmId("busy" + std::to_string(i)), false, false, true, true, 1'000 });
    for (int i = 0; i < 12; ++i)
        candidates.push_back({ VmId("lasting" + std::to_string(i)), false, false, true, false, 9'000 });
    auto steps = planMaintenance(wave, candidates, waveTimes, now);
    auto longRunning = std::count_if(steps.empty.begin(), steps.empty.end(),
        [](const VmId& vm) { return vm.value().starts_with("lasting"); });
    // Twelve VMs that take 8 s each within 18 s.
    BOOST_TEST(longRunning >= 5);
    BOOST_TEST(longRunning <= 8);
    BOOST_TEST(steps.empty.size() > std::size_t(longRunning));
}

// Guards against a wave that takes down more VMs than it may: with fewer VMs at once than shards, a shard
// that waits for its turn went on while the last VM of the shard before was still down.
BOOST_AUTO_TEST_CASE(AShardIsDoneOnceItsLastVmIsBack)
{
    WaveProgress wave;
    VmId last("vm1");
    wave.order = { 1, { VmId("vm0"), last }, 26s, 1 };
    TimePoint now { 1'000s };
    std::map<VmId, VmRecord> list;
    for (const auto& id : wave.order.vms)
        list[id] = { id, PoolId("p"), VmState::Up, {}, {}, {} };
    wave.done = { VmId("vm0"), last };
    wave.down[last] = now;
    BOOST_TEST(!areAllVmsBack(wave, list));
    list[last].state = VmState::Maintenance;
    removeReturnedVms(wave, list, now + 2'100ms, 2s);
    BOOST_TEST(!areAllVmsBack(wave, list));
    list[last].state = VmState::Up;
    removeReturnedVms(wave, list, now + 1'900ms, 2s);
    BOOST_TEST(!areAllVmsBack(wave, list));
    removeReturnedVms(wave, list, now + 2'200ms, 2s);
    BOOST_TEST(areAllVmsBack(wave, list));
}

// Guards against the same where the VM interface is slow: the order may be carried out just before its
// answer, long after a list that still shows the VM up.
BOOST_AUTO_TEST_CASE(AVmCountsAsDownUntilItsOrderIsAnswered)
{
    WaveProgress wave;
    VmId vm("vm0");
    wave.order = { 1, { vm }, 26s, 1 };
    TimePoint now { 1'000s };
    std::map<VmId, VmRecord> list { { vm, { vm, PoolId("p"), VmState::Up, {}, {}, {} } } };
    wave.down[vm] = std::nullopt;
    removeReturnedVms(wave, list, now + 2'900ms, 2s);
    BOOST_TEST(wave.down.contains(vm));
    wave.down[vm] = now + 3s;
    removeReturnedVms(wave, list, now + 4'900ms, 2s);
    BOOST_TEST(wave.down.contains(vm));
    removeReturnedVms(wave, list, now + 5'100ms, 2s);
    BOOST_TEST(wave.down.empty());
}

// Guards against a late wave: with the allowance used up, the next VM was cordoned only once one was back,
// and the allowance lay idle while it emptied.
BOOST_AUTO_TEST_CASE(TheNextVmIsEmptiedWhileOneIsDown)
{
    WaveProgress wave;
    wave.order = { 1, {}, 26s, 1 };
    wave.allowance = 1;
    TimePoint now { 1'000s };
    wave.firstSeen = now;
    wave.down[VmId("vm")] = now;
    std::vector<MaintenanceCandidate> candidates;
    for (int i = 0; i < 10; ++i)
        candidates.push_back({ VmId("busy" + std::to_string(i)), false, false, true, true, 1'000 });
    auto steps = planMaintenance(wave, candidates, waveTimes, now);
    BOOST_TEST(steps.takeDown.empty());
    BOOST_TEST(steps.empty.size() == 1U);
    // With time to spare, no VM is taken from the tasks early.
    candidates.resize(2);
    BOOST_TEST(planMaintenance(wave, candidates, waveTimes, now).empty.empty());
}

// Guards against a wave that waits for ever for a VM that was lost after its maintenance.
BOOST_AUTO_TEST_CASE(AVmThatIsLostDoesNotHoldUpTheWave)
{
    WaveProgress wave;
    VmId vm("vm0");
    wave.order = { 1, { vm }, 26s, 1 };
    wave.done = { vm };
    TimePoint now { 1'000s };
    std::map<VmId, VmRecord> list { { vm, { vm, PoolId("p"), VmState::Down, {}, {}, {} } } };
    wave.down[vm] = now;
    removeReturnedVms(wave, list, now + 3s, 2s);
    BOOST_TEST(areAllVmsBack(wave, list));
}

BOOST_AUTO_TEST_CASE(ShardAllowancesAddUpToTheWaveLimit)
{
    for (std::uint32_t most = 1; most < 20; ++most) {
        std::uint32_t sum = 0;
        for (std::uint32_t shard = 0; shard < 6; ++shard)
            sum += allowanceOf(most, shard, 6);
        BOOST_TEST(sum == most);
    }
}

// Guards against a wave that empties no further VM because some that were being emptied are no longer
// listed: they count as in progress for as long as the holder lasts.
BOOST_AUTO_TEST_CASE(VmsLostWhileTheyAreEmptiedDoNotHoldUpTheWave)
{
    WaveProgress wave;
    wave.order = { 1, {}, 60s, 1 };
    wave.allowance = 1;
    TimePoint now { 1'000s };
    wave.firstSeen = now;
    wave.cordoned[VmId("gone1")] = now;
    wave.cordoned[VmId("gone2")] = now;
    std::vector<MaintenanceCandidate> candidates { { VmId("busy"), false, false, true, true, 1'000 } };
    auto isEmptied = false;
    for (auto elapsed = 0ms; elapsed < 60s; elapsed += 500ms)
        isEmptied |= !planMaintenance(wave, candidates, waveTimes, now + elapsed).empty.empty();
    BOOST_TEST(isEmptied);
}

// Guards against jobs that are accepted and wait for their team's quota until nobody needs them.
BOOST_AUTO_TEST_CASE(AJobThatItsTeamsQuotaHoldsBackForLongIsRejected)
{
    PoolLoad load;
    load.usableCpu = load.freeCpu = 10'000;
    auto job = smallJob(1, 500ms);
    load.quotaWait = 3s;
    BOOST_TEST(bool(decideAdmission(job, load).verdict == Admission::Accept));
    load.quotaWait = 10s;
    auto decision = decideAdmission(job, load);
    BOOST_TEST(bool(decision.verdict == Admission::RejectOverload));
    BOOST_TEST((decision.retryAfter >= 8s));
}

// Guards against a job that changes its team with its holder, and a row of a release without teams that is
// not read.
BOOST_AUTO_TEST_CASE(TheRowOfAJobNamesItsTeam)
{
    auto job = smallJob(1, 500ms);
    BOOST_TEST(encodeJob(job).find("team") == std::string::npos);
    BOOST_TEST(decodeJob(encodeJob(job))->team.empty());
    job.team = TeamId("a");
    BOOST_TEST(decodeJob(encodeJob(job))->team == TeamId("a"));
}

BOOST_AUTO_TEST_SUITE_END()

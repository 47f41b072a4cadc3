#include "crashing_pool.h"
#include "late_call_fixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace fulmar;
using namespace fulmar::jobs;
using namespace fulmar::jobs::test;

namespace {

// The longest wait of a job of which a task could run and none does; see stalled_jobs.h.
class WaitObserver {
public:
    void observe(ShardFixture& play)
    {
        for (const auto& [id, entry] : play.shard.jobTable().all()) {
            auto task
                = entry.isOver() ? std::nullopt : findStalledTask(entry, play.shard.runners(), play.wall());
            if (!task) {
                m_waits.erase(id);
                continue;
            }
            auto& [waiting, since] = m_waits.try_emplace(id, *task, play.now).first->second;
            if (waiting != *task) {
                waiting = *task;
                since = play.now;
            }
            if (play.now - since <= longest)
                continue;
            longest = play.now - since;
            auto areResolved = play.shard.areEarlierRunsResolved(pool, play.now);
            auto why = stallReasonOf(entry, *task, play.shard.runners(), true, areResolved, play.now);
            what = fmt::format("{}.{} waits {} ms for {} beside {}", id.value(), task->index,
                longest.count() / 1'000, toString(why),
                describeRunners(entry, *task, play.shard.runners(), play.now));
        }
    }

    Duration longest { 0 };
    std::string what;

private:
    std::map<JobId, std::pair<TaskName, TimePoint>> m_waits;
};

template <typename Play> WaitObserver observeWaits(Play& play, Duration length)
{
    constexpr Duration interval { 50ms };
    WaitObserver waits;
    for (auto end = play.now + length; play.now < end;) {
        play.play(interval);
        waits.observe(play);
    }
    return waits;
}

// The waits that the design has follow each other at worst: an earlier incarnation's or holder's lease
// lapses; the job is stalled (checked each second, when it begins and when it is used) until it may use the
// last resort; the runners observe for crashMemory what was isolated before; then each starts one of the
// waiting tasks in twice crashWindow, as a run is observed from its answer on.
constexpr Duration lapse = ShardSettings {}.maxLease * 11 / 10;
constexpr Duration untilLastResort = 3s + 2 * 1s;
Duration longestWait(std::size_t waiting, std::size_t runners)
{
    return lapse + untilLastResort + crashMemory
        + 2 * crashWindow * std::int64_t((waiting + runners - 1) / runners);
}

// A job during whose tasks, each of them, runners have crashed.
void restoreWithCrashes(CrashingPool& play, const Job& job, std::size_t crashes, bool wasSuspect = false)
{
    JobProgress progress;
    auto& step = progress.steps.emplace_back();
    step.done.resize(job.steps[0].count);
    step.failures.resize(job.steps[0].count);
    std::vector<CrashRecord> records;
    for (std::size_t i = 0; i < crashes; ++i)
        records.push_back({ i + 1, wasSuspect });
    step.crashes.assign(job.steps[0].count, records);
    play.shard.restoreJob(job, progress, play.now);
}

Job patient(Job job)
{
    job.policy.latencyAllowance = 100s;
    return job;
}

Job longRunning(const std::string& id, std::uint32_t tasks, std::int64_t memoryMb)
{
    auto job = ShardFixture::job(id, tasks, 100);
    job.steps[0].isLongRunning = true;
    job.steps[0].maxPerRunner = 1;
    job.steps[0].perTask.memoryMb = memoryMb;
    return job;
}

} // namespace

BOOST_AUTO_TEST_SUITE(stall)

// Guards against tasks that wait for isolation one after the other, 5 s each, while their pool is idle, and
// against others that wait since all runners observe them.
BOOST_AUTO_TEST_CASE(IsolationDoesNotHoldTasksBackOnAnIdlePool)
{
    constexpr std::size_t runners = 3;
    constexpr std::size_t jobs = 30;
    CrashingPool play(runners);
    play.taskTime = 6s;
    for (std::size_t i = 0; i < jobs; ++i)
        restoreWithCrashes(play, patient(ShardFixture::job("crashed" + std::to_string(i), 1)), 2);
    auto plain = patient(ShardFixture::job("plain", 1));
    plain.policy.latencyAllowance = 200s;
    BOOST_REQUIRE(bool(play.submit(plain) == SubmitVerdict::New));
    auto waits = observeWaits(play, 90s);
    BOOST_TEST_CONTEXT(waits.what)
    BOOST_TEST(waits.longest / 1ms <= longestWait(jobs, runners) / 1ms);
}

// Guards against a task that waits for ever since the only runner with room for it is set apart, for one that
// does not fit there.
BOOST_AUTO_TEST_CASE(ARunnerThatIsSetApartInVainTakesOtherTasks)
{
    CrashingPool play(2);
    BOOST_REQUIRE(bool(play.submit(longRunning("lasting", 1, 32'000)) == SubmitVerdict::New));
    play.play(2s);
    restoreWithCrashes(play, longRunning("large", 1, 40'000), 2);
    BOOST_REQUIRE(bool(play.submit(longRunning("second", 1, 2'000)) == SubmitVerdict::New));
    play.play(20s);
    auto crashed = patient(ShardFixture::job("elsewhere", 1));
    crashed.steps[0].requiredLabel = "none";
    restoreWithCrashes(play, crashed, 2);
    BOOST_REQUIRE(bool(play.submit(patient(ShardFixture::job("plain", 4))) == SubmitVerdict::New));
    play.play(longestWait(2, 2));
    BOOST_TEST(toString(play.shard.find(JobId("second"))->state) == "running");
    BOOST_TEST(toString(play.shard.find(JobId("plain"))->state) == "completed");
}

// Guards against a runner that is set apart for a task that fits on none, while others wait for room.
BOOST_AUTO_TEST_CASE(NoRunnerIsSetApartForATaskThatFitsOnNone)
{
    for (int runners : { 1, 2 }) {
        CrashingPool play(runners);
        play.taskTime = 10s;
        restoreWithCrashes(play, longRunning("too-large", 1, 40'000), 2);
        auto labelled = patient(ShardFixture::job("labelled", 1));
        labelled.steps[0].requiredLabel = "none";
        restoreWithCrashes(play, labelled, 2);
        play.play(untilLastResort);
        auto filling = patient(ShardFixture::job("filling", std::uint32_t(runners), 16'000));
        BOOST_REQUIRE(bool(play.submit(filling) == SubmitVerdict::New));
        play.play(100ms);
        BOOST_TEST(
            play.shard.find(JobId("filling"))->stepOccurrence(0, 0).placedCount == std::uint32_t(runners));
    }
}

// Guards against a runner that is set apart for a gang: it starts on the others only, and may need all.
BOOST_AUTO_TEST_CASE(NoRunnerIsSetApartForAGang)
{
    CrashingPool play(2);
    auto gang = patient(ShardFixture::job("gang", 2, 16'000));
    gang.steps[0].isGang = true;
    restoreWithCrashes(play, gang, 1, true);
    play.play(100ms);
    BOOST_TEST(play.shard.find(JobId("gang"))->stepOccurrence(0, 0).placedCount == 2U);
}

// Guards against a suspect that waits for as long as its pool of one runner has other work.
BOOST_AUTO_TEST_CASE(SuspectsStartBesideOtherWorkOnOneRunner)
{
    for (std::size_t crashes : { 1, 2 }) {
        CrashingPool play(1);
        restoreWithCrashes(play, patient(ShardFixture::job("suspect", 1)), crashes, true);
        WaitObserver waits;
        for (int i = 0; i < 400; ++i) {
            play.submit(patient(ShardFixture::job("job" + std::to_string(i), 1)));
            play.play(100ms);
            waits.observe(play);
        }
        BOOST_TEST_CONTEXT(waits.what)
        BOOST_TEST(waits.longest / 1ms <= longestWait(1, 1) / 1ms);
    }
}

// Guards against a short task that waits for ever in a pool whose memory is full of long-running tasks, while
// further VMs are there to be had.
BOOST_AUTO_TEST_CASE(AShortTaskThatFitsBesideNoLongRunningOneRaisesDemand)
{
    // Each of three VMs, as many as the long-running tasks require, holds two of them.
    auto minVmsAfterStall = [](const Job& waiting) {
        ShardFixture f;
        for (const auto* id : { "r0", "r1", "r2" })
            f.addRunner(id);
        auto lasting = longRunning("lasting", 6, 10'300);
        lasting.steps[0].maxPerRunner = 0;
        f.submit(lasting);
        f.advance();
        BOOST_REQUIRE_EQUAL(f.starts.size(), 6U);
        for (const auto& each : std::vector(f.starts))
            f.answerStart(each);
        BOOST_REQUIRE_EQUAL(f.shard.demandOf(pool, f.now, f.wall()).minVms, 3U);
        f.submit(waiting);
        for (int i = 0; i < 4; ++i)
            f.advance(stallTime);
        BOOST_REQUIRE_EQUAL(f.shard.stalledJobs().count, 1U);
        auto minVms = f.shard.demandOf(pool, f.now, f.wall()).minVms;
        // The VM comes.
        f.addRunner("r3");
        f.advance();
        for (int i = 0; i < 4; ++i)
            f.advance(stallTime);
        BOOST_TEST(f.shard.demandOf(pool, f.now, f.wall()).minVms <= minVms);
        return minVms;
    };
    auto large = ShardFixture::job("large", 3);
    large.steps[0].perTask.memoryMb = 16'000;
    BOOST_TEST(minVmsAfterStall(large) == 4U);
    // Two of its members fill a VM.
    auto gang = large;
    gang.steps[0].isGang = true;
    BOOST_TEST(minVmsAfterStall(gang) == 5U);
    auto tooLarge = large;
    tooLarge.steps[0].perTask.memoryMb = 40'000;
    BOOST_TEST(minVmsAfterStall(tooLarge) == 3U);
    auto labelled = large;
    labelled.steps[0].requiredLabel = "none";
    BOOST_TEST(minVmsAfterStall(labelled) == 3U);
}

// Guards against accepted tasks that wait for ever, whatever came before, with most of the pool's room free.
BOOST_AUTO_TEST_CASE(EveryStartableTaskStartsOnceCrashesAreOver)
{
    auto holds = rc::check("every startable task starts once crashes are over", [] {
        auto pick = [](int low, int high) {
            return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, high));
        };
        auto pickTime = [&](int low, int high) { return std::chrono::milliseconds(pick(low, high)); };
        auto runners = pick(2, 13);
        auto staying = runners - pick(0, runners / 4 + 1);
        std::vector<RunnerId> ids;
        for (int i = 0; i < runners; ++i)
            ids.emplace_back("r" + std::to_string(i));
        auto pickRunner = [&] { return ids[std::size_t(pick(0, int(ids.size())))]; };
        CrashingPool play(runners);
        play.downtime = pickTime(500, 5'000);
        play.taskTime = pick(0, 2) == 0 ? pickTime(100, 1'000) : pickTime(2'000, 6'000);
        // A quarter of the room, and no task needs more than a quarter of a VM: there is always a VM for it.
        Resources budget { staying * 4'000, staying * 8'192, 0 };
        std::size_t tasks = 0;
        int jobs = 0;
        auto submit = [&] {
            auto kind = pick(0, 5);
            auto id = "job" + std::to_string(jobs++);
            auto job = patient(ShardFixture::job(id, std::uint32_t(pick(1, 9)), 250));
            if (kind == 1)
                job = longRunning(id, std::uint32_t(pick(1, std::max(1, staying / 4) + 1)), pick(100, 4'000));
            if (kind == 2)
                job.steps[0].perTask = { 100, 8'192, 0 };
            if (kind == 3)
                play.deadly.insert(job.id);
            job.steps[0].estimate = std::chrono::duration_cast<Millis>(play.taskTime);
            auto need = job.steps[0].reserved();
            Resources all { need.cpu * job.steps[0].count, need.memoryMb * job.steps[0].count, 0 };
            if (!all.fitsIn(budget) || play.submit(job) != SubmitVerdict::New)
                return;
            budget -= all;
            tasks += job.steps[0].count;
        };
        for (auto waves = pick(3, 9); waves > 0; --waves) {
            for (auto count = pick(1, 5); count > 0; --count)
                submit();
            play.play(pickTime(10, 2'000));
            auto isSilent = pick(0, 4) == 0;
            switch (pick(0, 6)) {
            case 0:
                for (const auto& id : ids)
                    if (pick(0, 3) == 0)
                        play.crash(id, isSilent);
                break;
            case 1:
                for (auto count = pick(1, 6); count > 0; --count) {
                    play.crash(pickRunner(), isSilent);
                    play.play(pickTime(100, 2'500));
                }
                break;
            case 2:
                for (auto [id, count] = std::pair(pickRunner(), pick(2, 5)); count > 0; --count) {
                    play.crash(id, isSilent);
                    play.play(play.downtime + pickTime(50, 1'500));
                }
                break;
            case 3:
                if (std::size_t(staying) == ids.size())
                    break;
                if (pick(0, 2) == 0) {
                    play.leave(ids.back());
                } else {
                    play.vanish(ids.back(), isSilent);
                    play.handOverAt(play.now + pickTime(10, 4'000));
                }
                ids.pop_back();
                break;
            case 4: {
                std::map<RunnerId, Cordon> cordons;
                for (const auto& id : ids)
                    if (pick(0, 2) == 0)
                        cordons[id] = pick(0, 2) == 0 ? Cordon::Emptying : Cordon::OrderPending;
                play.shard.setCordons(cordons);
                break;
            }
            default:
                play.handOverAt(play.now + pickTime(10, 500));
                play.play(500ms);
            }
        }
        play.deadly.clear();
        play.shard.setCordons({});
        play.play(play.downtime);
        auto longest = longestWait(tasks, ids.size());
        auto waits = observeWaits(play, longest + 10s);
        RC_CLASSIFY(waits.longest >= stallTime);
        RC_LOG() << waits.what << '\n';
        RC_ASSERT(waits.longest <= longest);
    });
    BOOST_TEST(holds);
}

// The same with calls that are lost, answered in vain or carried out late.
BOOST_AUTO_TEST_CASE(EveryStartableTaskStartsOnceCallsAreAnswered)
{
    auto holds = rc::check("every startable task starts once calls are answered", [](std::uint64_t seed) {
        constexpr std::size_t runners = 4;
        LateCallPlay play(runners, seed);
        play.breaksConnections = play.chance(0.5);
        auto longestTask = play.chance(0.5) ? Duration(1s) : Duration(6s);
        play.taskTime = [&] { return play.pick(100ms, longestTask); };
        play.chooseFate = [&](const RunnerId&, const Call&) {
            if (play.chance(0.7))
                return Fate::Answered;
            return play.chance(0.3) ? Fate::Lost : play.chance(0.5) ? Fate::AnswerLost : Fate::Late;
        };
        std::uint32_t tasks = 0;
        for (int wave = 0; wave < 8; ++wave) {
            auto job = patient(ShardFixture::job(
                "job" + std::to_string(wave), std::uint32_t(play.pick(1us, 6us) / 1us), 500));
            if (play.chance(0.2)) {
                job.steps[0].count = 1;
                job.steps[0].perTask.memoryMb = 8'192;
            }
            tasks += play.submit(job) == SubmitVerdict::New ? job.steps[0].count : 0;
            play.play(play.pick(100ms, 3s));
            for (std::size_t i = 0; i < runners; ++i)
                if (play.chance(0.2))
                    play.restart(RunnerId("r" + std::to_string(i)), play.pick(50ms, 3s), play.pick(0ms, 1s));
            if (play.chance(0.2))
                play.replaceHolder();
        }
        play.chooseFate = [](const RunnerId&, const Call&) { return Fate::Answered; };
        play.play(3s + 1s);
        // A call that was sent before comes up to that much later.
        auto longest = maxLateness + longestWait(tasks, runners);
        auto waits = observeWaits(play, longest + 10s);
        RC_CLASSIFY(waits.longest >= stallTime);
        RC_LOG() << waits.what << '\n';
        RC_ASSERT(waits.longest <= longest);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

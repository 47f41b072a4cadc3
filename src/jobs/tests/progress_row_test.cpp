#include "shard_fixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace fulmar;
using namespace fulmar::jobs;
using namespace fulmar::jobs::test;

namespace {

constexpr std::size_t maxRowBytes = 65'536;

// Largest progress row that the shard writes while a runner reports these ends.
std::size_t largestRowAfterEnds(ShardFixture& f, const std::vector<TaskName>& tasks, EndKind kind)
{
    std::size_t largest = 0;
    std::vector<EndedTask> ended;
    for (const auto& task : tasks) {
        auto number = ++f.ends[RunnerId("a")];
        ended.push_back({ number, task, number, kind, {} });
    }
    f.advance();
    f.answerPoll("a", {}, std::move(ended));
    for (const auto& change : f.shard.takeChanges(f.now)) {
        if (change.kind == ShardChange::Kind::Progress)
            largest = std::max(largest, change.value.size());
        f.shard.onStored(change, f.now);
    }
    f.advance(200ms);
    return largest;
}

// A job of random size, with and without a schedule.
Job drawJob()
{
    auto job = ShardFixture::job("j", 1);
    job.steps.resize(*rc::gen::inRange<std::size_t>(1, 6), job.steps.front());
    auto maxTasks = *rc::gen::element(2U, 20U, 400U, 10'000U);
    for (auto& step : job.steps)
        step.count = *rc::gen::inRange(1U, maxTasks);
    job.policy.maxFailures = *rc::gen::inRange(1U, 7U);
    if (*rc::gen::arbitrary<bool>()) {
        job.firstStart = 1s;
        job.interval = 1s;
        job.occurrences = *rc::gen::inRange(1U, 120U);
    }
    return job;
}

std::size_t suspicions(const std::vector<CrashRecord>& crashes)
{
    return std::size_t(std::count_if(
        crashes.begin(), crashes.end(), [](const CrashRecord& crash) { return crash.wasSuspect; }));
}

// Room for a digit and a sixth by task, whatever becomes of it, and for the rest of the row.
bool hasRoomForCrashes(const Job& job, std::size_t limit)
{
    std::size_t tasks = 0;
    for (const auto& step : job.steps)
        tasks += step.count;
    return tasks * 7 / 6 + 300 <= limit;
}

void checkSameState(const JobEntry& before, JobEntry& after, bool hasCrashes)
{
    RC_ASSERT(after.state == before.state);
    if (before.isOver())
        return;
    RC_ASSERT(after.endedOccurrences == before.endedOccurrences);
    for (const auto& expected : before.stepOccurrences) {
        // A restored job does not hold the occurrences that have ended.
        if (expected.occurrence < after.firstHeld()) {
            RC_ASSERT(expected.isDone());
            continue;
        }
        after.hold(expected.occurrence);
        const auto& actual = after.stepOccurrence(expected.occurrence, expected.step);
        RC_ASSERT(actual.doneCount == expected.doneCount);
        for (std::size_t index = 0; index < expected.tasks.size(); ++index) {
            const auto& was = expected.tasks[index];
            const auto& is = actual.tasks[index];
            RC_ASSERT((is.state == TaskState::Done) == (was.state == TaskState::Done));
            // The records of a completed task have no effect.
            if (was.state == TaskState::Done)
                continue;
            RC_ASSERT(is.failedAttempts.size() == was.failedAttempts.size());
            if (!hasCrashes)
                continue;
            RC_ASSERT(is.crashes.size() == was.crashes.size());
            RC_ASSERT(suspicions(is.crashes) == suspicions(was.crashes));
        }
    }
}

// Something happens to a share of the tasks of an occurrence that is in progress.
class ProgressModel {
public:
    ProgressModel(const Job& job, std::size_t limit)
        : m_job(job)
        , m_maxRowBytes(limit)
        , m_table(limit)
        , m_entry(&m_table.add(job, m_now))
    {
    }

    void step()
    {
        enum class Event : std::uint8_t { Done, Failed, Crashed, EndOccurrence };
        auto event = *rc::gen::element(Event::Done, Event::Done, Event::Failed, Event::Crashed,
            Event::EndOccurrence, Event::EndOccurrence);
        auto occurrences = std::max(1U, m_job.occurrences);
        auto open = std::uint32_t(std::min<std::uint64_t>(
            occurrences, std::uint64_t(m_entry->endedOccurrences) + m_entry->maxOpen));
        if (m_entry->endedOccurrences >= open)
            return;
        auto occurrence = *rc::gen::inRange(m_entry->endedOccurrences, open);
        auto stride = event == Event::EndOccurrence ? 1U : *rc::gen::element(1U, 1U, 2U, 7U);
        auto isSuspect = *rc::gen::arbitrary<bool>();
        for (std::uint32_t step = 0; step < m_job.steps.size(); ++step) {
            for (std::uint32_t index = 0; index < m_job.steps[step].count; index += stride) {
                TaskName name { m_job.id, occurrence, step, index };
                ++m_attempt;
                if (event == Event::Crashed)
                    countCrash(*m_entry, { name, m_attempt, isSuspect, false }, m_now);
                else
                    recordEnd(*m_entry, name, m_attempt,
                        event == Event::Failed ? EndKind::Failed : EndKind::Done, {}, m_now);
            }
        }
    }

    // The next holder goes on from the row.
    void checkRow(bool isNextHolder)
    {
        auto row = encodeProgress(m_entry->progress(), m_job, m_maxRowBytes);
        RC_ASSERT(row.size() <= m_maxRowBytes);
        auto progress = decodeProgress(row);
        RC_ASSERT(progress.has_value());
        JobTable table(m_maxRowBytes);
        checkSameState(
            *m_entry, table.restore(m_job, *progress, m_now), hasRoomForCrashes(m_job, m_maxRowBytes));
        if (isNextHolder)
            m_entry = &m_table.restore(m_job, *progress, m_now);
    }

    [[nodiscard]] bool isOver() const { return m_entry->isOver(); }

private:
    const Job m_job;
    const std::size_t m_maxRowBytes;
    const TimePoint m_now { 1'000s };
    JobTable m_table;
    JobEntry* m_entry;
    Attempt m_attempt { 1U << 20 };
};

} // namespace

BOOST_AUTO_TEST_SUITE(progress_row)

// Jobs, schedules, failures, crashes and changes of the holder at random.
BOOST_AUTO_TEST_CASE(NoRowExceedsTheLimitAndEachRestoresTheState)
{
    BOOST_TEST(rc::check("a row fits and restores the state", [] {
        auto job = drawJob();
        auto limit = *rc::gen::element<std::size_t>(2'000, 8'000, maxRowBytes);
        RC_PRE(fitsInRows(job, limit));
        ProgressModel model(job, limit);
        auto steps = *rc::gen::inRange(1, 40);
        for (int i = 0; i < steps && !model.isOver(); ++i) {
            model.step();
            model.checkRow(*rc::gen::inRange(0, 4) == 0);
        }
    }));
}

// A failure or crash reported again to the next holder counts once, although the row has no attempts.
BOOST_AUTO_TEST_CASE(ARowWithoutAttemptsCountsEachOfThemOnce)
{
    auto job = ShardFixture::job("j", 10'000);
    JobTable table;
    TimePoint now { 1'000s };
    auto& entry = table.add(job, now);
    TaskName task { job.id, 0, 0, 7 };
    for (std::uint32_t index = 0; index < 10'000; ++index) {
        recordEnd(entry, { job.id, 0, 0, index }, 100 + index, EndKind::Failed, {}, now);
        countCrash(entry, { { job.id, 0, 0, index }, 20'100 + index, true, false }, now);
    }
    auto row = encodeProgress(entry.progress(), job, maxRowBytes);
    BOOST_TEST(row.size() <= maxRowBytes);
    auto& restored = table.restore(job, *decodeProgress(row), now);
    countFailure(restored, task, 107, now);
    countCrash(restored, { task, 20'107, true, false }, now);
    BOOST_TEST(restored.find(task)->failedAttempts.size() == 1U);
    BOOST_TEST(restored.find(task)->crashes.size() == 1U);
    countFailure(restored, task, 1U << 20, now);
    BOOST_TEST(restored.find(task)->failedAttempts.size() == 2U);
    countFailure(restored, task, (1U << 20) + 1, now);
    BOOST_TEST(bool(restored.state == JobState::Failed));
}

BOOST_AUTO_TEST_CASE(RowsOfEarlierReleasesAreRead)
{
    auto progress = decodeProgress(
        R"({"state":1,"steps":[[0,0,2,"3",{"1":[5]}],[1,0,2,"1",{"1":[8]},{"1":[[9,true]]}]]})");
    BOOST_REQUIRE(progress.has_value());
    auto job = ShardFixture::job("j", 2);
    job.occurrences = 3;
    job.firstStart = 1s;
    JobTable table;
    auto& entry = table.restore(job, *progress, TimePoint { 1'000s });
    BOOST_TEST(entry.endedOccurrences == 1U);
    BOOST_TEST(entry.stepOccurrence(1, 0).doneCount == 1U);
    auto* task = entry.find({ job.id, 1, 0, 1 });
    BOOST_TEST(bool(task->failedAttempts == std::vector<Attempt> { 8 }));
    BOOST_REQUIRE(task->crashes.size() == 1U);
    BOOST_TEST(task->crashes.front().attempt == 9U);
    BOOST_TEST(task->crashes.front().wasSuspect);
}

BOOST_AUTO_TEST_CASE(AJobThatMayOutgrowItsRowsDoesNotFit)
{
    auto job = ShardFixture::job("j", 10'000);
    BOOST_TEST(fitsInRows(job, maxRowBytes));
    job.occurrences = 1'000'000;
    BOOST_TEST(fitsInRows(job, maxRowBytes));
    job.steps.resize(64, job.steps.front());
    BOOST_TEST(!fitsInRows(job, maxRowBytes));
    auto described = ShardFixture::job("j", 1);
    described.steps.front().image = std::string(maxRowBytes, 'x');
    BOOST_TEST(!fitsInRows(described, maxRowBytes));
}

// Guards against a shard whose writes the store refuses for good, as the row of one timed job has outgrown
// the limit.
BOOST_AUTO_TEST_CASE(EndedOccurrencesTakeNoRoom)
{
    constexpr std::uint32_t stepCount = 60;
    constexpr std::uint32_t occurrences = 200;
    ShardFixture f;
    f.addRunner("a");
    auto job = ShardFixture::job("j", 1);
    job.steps.resize(stepCount, job.steps.front());
    job.occurrences = occurrences;
    job.firstStart = std::chrono::duration_cast<Millis>(f.now.time_since_epoch());
    job.interval = 1s;
    f.submit(job);
    std::size_t largest = 0;
    for (std::uint32_t occurrence = 0; occurrence < occurrences; ++occurrence) {
        std::vector<TaskName> tasks;
        for (std::uint32_t step = 0; step < stepCount; ++step)
            tasks.push_back({ job.id, occurrence, step, 0 });
        largest = std::max(largest, largestRowAfterEnds(f, tasks, EndKind::Done));
    }
    BOOST_TEST(bool(f.shard.find(job.id)->state == JobState::Completed));
    BOOST_TEST(largest > 0U);
    BOOST_TEST(largest < 4'096U);
}

BOOST_AUTO_TEST_CASE(ThousandsOfTasksThatFailOnceFitInTheRow)
{
    constexpr std::uint32_t tasks = 10'000;
    ShardFixture f;
    f.addRunner("a");
    auto job = ShardFixture::job("j", tasks);
    f.submit(job);
    std::vector<TaskName> names;
    for (std::uint32_t index = 0; index < tasks; ++index)
        names.push_back({ job.id, 0, 0, index });
    auto largest = largestRowAfterEnds(f, names, EndKind::Failed);
    BOOST_TEST(largest > 0U);
    BOOST_TEST(largest <= maxRowBytes);
}

// Guards against jobs with long schedules that make holder after holder exceed its memory.
BOOST_AUTO_TEST_CASE(ALongScheduleTakesMemoryOnlyForRunsThatAreDue)
{
    Job job;
    job.id = JobId("monthly");
    job.occurrences = 30 * 24 * 60;
    job.firstStart = Millis(4'102'444'800'000);
    job.interval = 1min;
    job.steps.resize(2);
    for (auto& step : job.steps)
        step.count = 6;
    auto at = [&](int minutes) { return WallTime(job.firstStart + job.interval * minutes); };
    JobTable table;
    auto& entry = table.add(job, TimePoint {});
    BOOST_TEST(entry.stepOccurrences.empty());
    entry.updateHeld(at(2));
    BOOST_TEST(entry.stepOccurrences.size() == 6U);
    for (std::uint32_t occurrence = 0; occurrence < 2; ++occurrence)
        for (std::uint32_t step = 0; step < 2; ++step)
            for (std::uint32_t index = 0; index < 6; ++index)
                recordEnd(entry, { job.id, occurrence, step, index }, 1, EndKind::Done, {}, TimePoint {});
    entry.updateHeld(at(2));
    BOOST_TEST(entry.endedOccurrences == 2U);
    BOOST_TEST(entry.stepOccurrences.size() == 2U);
    BOOST_TEST(!entry.find({ job.id, 1, 0, 0 }));
    BOOST_TEST(!entry.isOver());
    auto progress = decodeProgress(encodeProgress(entry.progress()));
    BOOST_REQUIRE(progress.has_value());
    JobTable next;
    auto& restored = next.restore(job, *progress, TimePoint {});
    restored.updateHeld(at(3));
    BOOST_TEST(restored.endedOccurrences == 2U);
    BOOST_TEST(restored.stepOccurrences.size() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

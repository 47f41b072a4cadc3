#include "node/shard_owner.h"
#include "node/tests/fake_platform.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace fulmar;
using namespace fulmar::node;
using namespace std::chrono_literals;
using jobs::JobState;
using test::FakePlatform;
using test::TransactionFate;

// A holder may be stopped after any transaction. Each test lets a holder write, then lets a new holder
// restore the rows as they were after every single transaction, and looks at what that one makes of them.
namespace {

constexpr auto part = "s0";
constexpr std::chrono::milliseconds longTime { 10'000 };
// More rows of finished jobs than a transaction holds.
constexpr int finishedJobs = 30;
constexpr int cancelledJobs = 3;

JobId finishedId(int number) { return JobId(fmt::format("{:016x}", 0xf0 + number)); }
JobId cancelledId(int number) { return JobId(fmt::format("{:016x}", 0xc0 + number)); }
const JobId partlyDoneId("00000000000000a1");
const JobId scheduledId("00000000000000a2");
const JobId orphanedId("00000000000000a3");

jobs::Job makeJob(const JobId& id)
{
    jobs::Job job;
    job.id = id;
    job.queue = "q";
    job.policy = { PoolId("p"), 0, 3, 1.6, 1min };
    job.steps.resize(1);
    job.steps[0].count = 2;
    job.steps[0].perTask = { 500, 64, 0 };
    job.steps[0].estimate = 100ms;
    return job;
}

// Progress with one of two tasks done.
jobs::JobProgress makeProgress(JobState state, std::uint32_t endedOccurrences = 0)
{
    jobs::JobProgress progress { state, endedOccurrences, 0, {} };
    if (state == JobState::Running)
        progress.steps.push_back({ endedOccurrences, 0, { true, false }, { {}, {} }, { {}, {} } });
    return progress;
}

void addJob(FakePlatform& fake, const jobs::Job& job, const jobs::JobProgress& progress)
{
    fake.put(jobTable, part, job.id.value(), jobs::encodeJob(job));
    fake.put(progressTable, part, job.id.value(), jobs::encodeProgress(progress));
}

FakePlatform::Rows initialRows()
{
    FakePlatform fake;
    fake.put(leaseTable, part, ownerKey, "owner");
    fake.put(leaseTable, part, renewalKey, "0");
    for (int i = 0; i < finishedJobs; ++i)
        addJob(fake, makeJob(finishedId(i)), makeProgress(JobState::Completed));
    for (int i = 0; i < cancelledJobs; ++i)
        addJob(fake, makeJob(cancelledId(i)), makeProgress(JobState::Cancelled));
    addJob(fake, makeJob(partlyDoneId), makeProgress(JobState::Running));
    auto scheduled = makeJob(scheduledId);
    scheduled.occurrences = 9;
    scheduled.firstStart = 1s;
    scheduled.interval = 1s;
    addJob(fake, scheduled, makeProgress(JobState::Running, 4));
    fake.put(
        progressTable, part, orphanedId.value(), jobs::encodeProgress(makeProgress(JobState::Completed)));
    return fake.rows();
}

// A process that holds the shard, and sends no orders.
struct Holder {
    asio::io_context loop;
    platform::HttpClient http { loop };
    platform::StoreClient store;
    platform::RunnerClient runners { http };
    platform::VmClient vms;
    NodeMetrics metrics;
    // Another process holds the shard as far as this one knows, or it was released.
    bool isLost { false };
    ShardOwner owner;

    Holder(FakePlatform& fake, std::chrono::milliseconds keepFinished)
        : store(http, fake.address())
        , vms(http, "127.0.0.1:1")
        , owner(loop, { store, runners, vms, metrics }, settings(keepFinished),
              { "node", 1, 0, {}, {}, {}, {} }, condition(fake, ownerKey),
              condition(fake, renewalKey).version, hooks())
    {
        // Without capacity that is on its way a job would be rejected.
        owner.shard().setArriving(PoolId("p"), 64'000);
    }

    ShardOwner::Hooks hooks()
    {
        ShardOwner::Hooks hooks { [] { return false; }, [] { return false; }, [this] { isLost = true; },
            [](TimePoint) {}, [](const VmId&) { return true; } };
        hooks.admit
            = [this](JobCall call, OnJobReply reply) { owner.handle(std::move(call), std::move(reply)); };
        return hooks;
    }

    static jobs::ShardSettings settings(std::chrono::milliseconds keepFinished)
    {
        jobs::ShardSettings settings;
        settings.keepFinished = keepFinished;
        return settings;
    }

    static platform::RowCondition condition(FakePlatform& fake, const char* key)
    {
        return { { leaseTable, part, key }, fake.rows().at({ leaseTable, part, key }).version };
    }

    // False if the condition is not met in time.
    template <typename Condition> bool runUntil(Condition isMet, std::chrono::milliseconds time = longTime)
    {
        auto end = std::chrono::steady_clock::now() + time;
        while (!isMet()) {
            if (std::chrono::steady_clock::now() > end)
                return false;
            loop.restart();
            loop.run_one_for(5ms);
        }
        return true;
    }

    bool runUntilRestored()
    {
        return runUntil([&] { return owner.isRestored(); });
    }

    void submit(const JobId& id, std::optional<JobReply>& reply)
    {
        owner.handle({ JobCallKind::Submit, id, "q", jobs::encodeJob(makeJob(id)), 0 },
            [&](const JobReply& answer) { reply = answer; });
    }

    // Again while the store is unavailable. False if the job is not accepted in time.
    bool submitUntilStored(const JobId& id)
    {
        std::optional<JobReply> reply;
        for (int tries = 0; tries < 20; ++tries) {
            reply.reset();
            submit(id, reply);
            if (!runUntil([&] { return reply.has_value(); }) || reply->verdict != JobVerdict::Unavailable)
                break;
            runUntil([] { return false; }, 50ms);
        }
        return reply && reply->verdict == JobVerdict::Done;
    }

    // As callers see it.
    std::string shownState(const JobId& id)
    {
        std::string state;
        owner.handle(
            { JobCallKind::Show, id, "q", {}, 0 }, [&](const JobReply& answer) { state = answer.state; });
        return state;
    }

    std::optional<JobState> stateOf(const JobId& id)
    {
        auto* entry = owner.shard().find(id);
        return entry ? std::optional(entry->state) : std::nullopt;
    }
};

bool has(const FakePlatform::Rows& rows, const char* table, const JobId& id)
{
    return rows.contains({ table, part, id.value() });
}

std::size_t countOf(const FakePlatform::Rows& rows, const char* table)
{
    return std::size_t(std::count_if(
        rows.begin(), rows.end(), [&](const auto& each) { return std::get<0>(each.first) == table; }));
}

// How a job may appear to a new holder; "over" is completed or cancelled, as it was.
enum class Expected : std::uint8_t { Gone, Over, OverOrGone, Queued, QueuedOrGone };

bool isAsExpected(std::optional<JobState> state, Expected expected, JobState over)
{
    switch (expected) {
    case Expected::Gone:
        return !state;
    case Expected::Over:
        return state == over;
    case Expected::OverOrGone:
        return !state || *state == over;
    case Expected::Queued:
        return state == JobState::Queued;
    case Expected::QueuedOrGone:
        return !state || *state == JobState::Queued;
    }
    return false;
}

// What a new holder restores from the rows. `special`: jobs for which something else is expected than that
// they are not started again.
void checkCut(const FakePlatform::Rows& rows, const std::map<JobId, Expected>& special = {})
{
    FakePlatform fake;
    fake.setRows(rows);
    fake.checkConditions();
    Holder holder(fake, 1h);
    BOOST_REQUIRE(holder.runUntilRestored());
    auto check = [&](const JobId& id, Expected usual, JobState over) {
        auto found = special.find(id);
        auto expected = found == special.end() ? usual : found->second;
        BOOST_TEST(isAsExpected(holder.stateOf(id), expected, over), "job " << id);
    };
    for (int i = 0; i < finishedJobs; ++i)
        check(finishedId(i), Expected::OverOrGone, JobState::Completed);
    for (int i = 0; i < cancelledJobs; ++i)
        check(cancelledId(i), Expected::OverOrGone, JobState::Cancelled);
    check(orphanedId, Expected::Gone, JobState::Completed);
    auto* partlyDone = holder.owner.shard().find(partlyDoneId);
    BOOST_REQUIRE(partlyDone);
    BOOST_TEST(partlyDone->stepOccurrence(0, 0).doneCount == 1U);
    auto* scheduled = holder.owner.shard().find(scheduledId);
    BOOST_REQUIRE(scheduled);
    BOOST_TEST(scheduled->endedOccurrences == 4U);
    // Progress without its job is removed.
    BOOST_TEST(holder.runUntil([&] {
        auto now = fake.rows();
        return std::all_of(now.begin(), now.end(), [&](const auto& each) {
            const auto& [table, rowPart, key] = each.first;
            return table != progressTable || has(now, jobTable, JobId(key));
        });
    }));
}

void checkAllCuts(const std::vector<FakePlatform::Rows>& history, std::size_t from = 0,
    const std::map<JobId, Expected>& special = {})
{
    for (auto cut = from; cut < history.size(); ++cut) {
        if (cut > from && history[cut] == history[cut - 1])
            continue;
        BOOST_TEST_CONTEXT("cut after transaction " << cut) { checkCut(history[cut], special); }
    }
}

// Only the two jobs that are not over are left, with their progress.
bool isCleanedUp(const FakePlatform::Rows& rows)
{
    return countOf(rows, jobTable) == 2 && countOf(rows, progressTable) == 2;
}

bool concerns(const std::vector<FakePlatform::RowName>& changed, const JobId& id)
{
    return std::any_of(
        changed.begin(), changed.end(), [&](const auto& row) { return std::get<2>(row) == id.value(); });
}

using MakeFate = std::function<FakePlatform::DecideFate()>;

// Each third transaction has this fate: the second one after a lost answer is the first that can be stored.
MakeFate everyThird(TransactionFate fate)
{
    return [fate] {
        return [fate, count = 1](
                   const auto&) mutable { return ++count % 3 == 0 ? fate : TransactionFate::Committed; };
    };
}

// Transactions with more rows than those of one job are refused, so that rows are sent alone.
FakePlatform::DecideFate refuseMany()
{
    return [](const auto& changed) {
        return changed.size() > 2 ? TransactionFate::Refused : TransactionFate::Committed;
    };
}

const std::map<std::string, MakeFate> troubles {
    { "none", [] { return FakePlatform::DecideFate(); } },
    { "refused", refuseMany },
    { "unavailable", everyThird(TransactionFate::Unavailable) },
    { "dropped", everyThird(TransactionFate::Dropped) },
    { "answer lost", everyThird(TransactionFate::AnswerLost) },
    // Some are refused while the outcome of others is unknown.
    { "mixed",
        [] {
            return [count = 0](const auto& changed) mutable {
                ++count;
                if (changed.size() > 2 && count % 3 == 0)
                    return TransactionFate::Refused;
                return count % 3 == 1 ? TransactionFate::AnswerLost : TransactionFate::Committed;
            };
        } },
};

// Plays with each of the troubles, from the same rows.
void forEachTrouble(
    const FakePlatform::Rows& rows, const std::function<void(FakePlatform&, FakePlatform::DecideFate)>& play)
{
    for (const auto& [name, makeFate] : troubles) {
        BOOST_TEST_CONTEXT("transactions: " << name)
        {
            FakePlatform fake;
            fake.setRows(rows);
            fake.checkConditions();
            play(fake, makeFate());
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_cut)

// Guards against a finished or cancelled job that runs again after its holder stopped while it removed the
// rows of that job.
BOOST_AUTO_TEST_CASE(NoFinishedJobComesBack)
{
    forEachTrouble(initialRows(), [](FakePlatform& fake, FakePlatform::DecideFate fate) {
        fake.setFate(std::move(fate));
        Holder holder(fake, 0ms);
        BOOST_TEST(holder.runUntil([&] { return isCleanedUp(fake.rows()); }));
        checkAllCuts(fake.history());
    });
}

// Guards against the same when the shard is handed over.
BOOST_AUTO_TEST_CASE(NoFinishedJobComesBackAfterAHandOver)
{
    forEachTrouble(initialRows(), [](FakePlatform& fake, FakePlatform::DecideFate fate) {
        fake.setFate(std::move(fate));
        Holder holder(fake, 0ms);
        BOOST_REQUIRE(holder.runUntilRestored());
        holder.owner.release("released", [&] { holder.isLost = true; });
        // Once the answer to the release is lost, the next transaction shows that the lease is given up.
        BOOST_TEST(holder.runUntil([&] { return holder.isLost; }));
        checkAllCuts(fake.history());
    });
}

// Guards against a job submitted again beside its removal that runs a second time, or is lost after the
// answer.
BOOST_AUTO_TEST_CASE(AJobSubmittedBesideItsRemovalRemainsOneJob)
{
    forEachTrouble(initialRows(), [](FakePlatform& fake, FakePlatform::DecideFate fate) {
        auto id = finishedId(0);
        std::atomic<bool> isBeingRemoved { false };
        fake.setCommitTime(30ms);
        fake.setFate([&, fate = std::move(fate)](const auto& changed) mutable {
            isBeingRemoved = isBeingRemoved || concerns(changed, id);
            return fate ? fate(changed) : TransactionFate::Committed;
        });
        // Long enough for the answer, after which the job is kept once more.
        Holder holder(fake, 150ms);
        BOOST_REQUIRE(holder.runUntil([&] { return isBeingRemoved.load(); }));
        std::optional<JobReply> reply;
        holder.submit(id, reply);
        BOOST_TEST(holder.shownState(id) == "completed");
        BOOST_REQUIRE(holder.runUntil([&] { return reply.has_value(); }));
        BOOST_TEST(bool(reply->verdict == JobVerdict::Done));
        BOOST_TEST(holder.shownState(id) == "completed");
        auto answeredAt = fake.history().size();
        checkAllCuts(fake.history());
        checkCut(fake.history().at(answeredAt - 1), { { id, Expected::Over } });
        BOOST_TEST(holder.runUntil([&] { return isCleanedUp(fake.rows()); }));
        checkAllCuts(fake.history(), answeredAt);
    });
}

// Guards against a job submitted under the id of a removed one that takes over its progress: it would be
// shown as completed and never run.
BOOST_AUTO_TEST_CASE(AJobSubmittedAfterTheRemovalRuns)
{
    forEachTrouble(initialRows(), [](FakePlatform& fake, FakePlatform::DecideFate fate) {
        auto id = finishedId(0);
        fake.setFate(std::move(fate));
        Holder holder(fake, 0ms);
        BOOST_REQUIRE(holder.runUntil([&] { return holder.owner.isRestored() && !holder.stateOf(id); }));
        auto removedAt = fake.history().size();
        BOOST_REQUIRE(holder.submitUntilStored(id));
        checkAllCuts(fake.history(), removedAt, { { id, Expected::QueuedOrGone } });
        checkCut(fake.rows(), { { id, Expected::Queued } });
    });
}

// Guards against progress without its job that is left for ever, or that a job submitted under that id takes
// over.
BOOST_AUTO_TEST_CASE(OrphanedProgressIsNotTakenOver)
{
    forEachTrouble(initialRows(), [](FakePlatform& fake, FakePlatform::DecideFate fate) {
        fake.setFate(std::move(fate));
        Holder holder(fake, 1h);
        BOOST_REQUIRE(holder.submitUntilStored(orphanedId));
        BOOST_TEST(!has(fake.rows(), progressTable, orphanedId));
        checkAllCuts(fake.history(), 0, { { orphanedId, Expected::QueuedOrGone } });
        checkCut(fake.rows(), { { orphanedId, Expected::Queued } });
    });
}

// Guards against the same beside a job row that cannot be read, whose progress is not orphaned.
BOOST_AUTO_TEST_CASE(ProgressOfAnUnreadableJobIsNotTakenOver)
{
    auto id = finishedId(0);
    auto rows = initialRows();
    rows.at({ jobTable, part, id.value() }).value = "{";
    forEachTrouble(rows, [&id](FakePlatform& fake, FakePlatform::DecideFate fate) {
        fake.setFate(std::move(fate));
        Holder holder(fake, 1h);
        BOOST_REQUIRE(holder.submitUntilStored(id));
        checkAllCuts(fake.history(), 0, { { id, Expected::QueuedOrGone } });
        checkCut(fake.rows(), { { id, Expected::Queued } });
    });
}

// Guards against a job of which one row is left for ever, as the store refused the removal of the other.
BOOST_AUTO_TEST_CASE(ARefusedRemovalLeavesBothRowsAndIsRepeated)
{
    FakePlatform fake;
    fake.setRows(initialRows());
    fake.checkConditions();
    fake.setFate([refusals = 0](const auto& changed) mutable {
        return concerns(changed, finishedId(0)) && ++refusals <= 3 ? TransactionFate::Refused
                                                                   : TransactionFate::Committed;
    });
    Holder holder(fake, 20ms);
    BOOST_REQUIRE(holder.runUntilRestored());
    // Only beside rows that are stored is a refusal put down to the record itself.
    auto rounds = 0;
    BOOST_TEST(holder.runUntil([&] {
        if (++rounds % 20 == 0)
            holder.owner.renew();
        return isCleanedUp(fake.rows());
    }));
    checkAllCuts(fake.history());
}

// Guards against callers that wait for seconds, as all jobs that a new holder has restored are removed at
// once.
BOOST_AUTO_TEST_CASE(ASubmissionDoesNotWaitForABulkOfRemovals)
{
    FakePlatform fake;
    fake.setRows(initialRows());
    for (int i = finishedJobs; i < 10 * finishedJobs; ++i)
        addJob(fake, makeJob(finishedId(i)), makeProgress(JobState::Completed));
    fake.checkConditions();
    fake.setCommitTime(5ms);
    Holder holder(fake, 0ms);
    BOOST_REQUIRE(holder.runUntil([&] { return fake.history().size() >= 2; }));
    auto before = fake.history().size();
    BOOST_REQUIRE(holder.submitUntilStored(JobId("00000000000000b1")));
    // One may be on its way, one may be full of removals.
    BOOST_TEST(fake.history().size() <= before + 3);
    BOOST_TEST(holder.runUntil([&] { return countOf(fake.rows(), progressTable) == 2; }));
}

// Guards against a job that runs although the process that submitted it through the store withdrew its row,
// and against one that is forgotten although it is stored, whatever becomes of the first transaction with it.
BOOST_AUTO_TEST_CASE(ASubmissionThroughTheStoreIsStoredUnlessItsRowIsWithdrawn)
{
    const JobId id("00000000000000b1");
    for (auto fate :
        { TransactionFate::Unavailable, TransactionFate::Dropped, TransactionFate::AnswerLost }) {
        FakePlatform fake;
        fake.setRows(initialRows());
        fake.checkConditions();
        auto expires = SystemClock().wallNow() + 5s;
        fake.put(submissionTable, part, "row",
            encodeSubmission({ id, "q", {}, expires, jobs::encodeJob(makeJob(id)) }));
        std::atomic<bool> isTried { false };
        fake.setFate([&](const auto& changed) {
            return concerns(changed, id) && !isTried.exchange(true) ? fate : TransactionFate::Committed;
        });
        Holder holder(fake, 1h);
        BOOST_REQUIRE(holder.runUntil([&] { return isTried.load(); }));
        auto isStored = has(fake.rows(), jobTable, id);
        BOOST_TEST(isStored == (fate == TransactionFate::AnswerLost));
        if (!isStored) {
            auto rows = fake.rows();
            rows.erase({ submissionTable, part, "row" });
            fake.setRows(std::move(rows));
        }
        BOOST_TEST(holder.submitUntilStored(JobId("00000000000000b2")));
        BOOST_TEST(has(fake.rows(), jobTable, id) == isStored);
        BOOST_TEST(holder.stateOf(id).has_value() == isStored);
        auto row = decodeSubmissionRow(fake.value(submissionTable, part, "row"));
        BOOST_TEST((row && std::holds_alternative<SubmissionOutcome>(*row)) == isStored);
    }
}

BOOST_AUTO_TEST_SUITE_END()

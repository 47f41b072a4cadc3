#include "node/shard_owner.h"

#include "core/log.h"
#include "jobs/burst_row.h"
#include "jobs/runner_row.h"
#include "node/queue_lookup.h"
#include "platform/decode.h"
#include "platform/names.h"

#include <algorithm>
#include <array>

namespace fulmar::node {

namespace {

// The runner list changes with every heartbeat, so reads are paced. A draining runner must be noticed within
// 2 s, and a moved runner should get work soon.
constexpr std::chrono::milliseconds runnerListPause { 150 };
constexpr std::chrono::milliseconds readTimeout { 2'000 };
// Retry-after of refusals without an estimate of their own; the row log retries the store twice a second.
constexpr std::chrono::milliseconds defaultRetryAfter { 1'000 };
constexpr std::chrono::milliseconds restoreRetry { 150 };
// Events within this time share one planning round.
constexpr std::chrono::milliseconds planDelay { 5 };
// Changes within this time are written together; the end of a run should be stored within 100 ms after the
// runner reports it.
constexpr std::chrono::milliseconds writeDelay { 30 };
// Per runner; each start in flight needs a connection.
constexpr std::size_t maxStartsInFlight = 3;

JobReply uncertain(std::string reason)
{
    JobReply reply;
    reply.verdict = JobVerdict::Uncertain;
    reply.reason = std::move(reason);
    return reply;
}

JobReply otherTeam()
{
    JobReply reply;
    reply.verdict = JobVerdict::OtherTeam;
    reply.reason = otherTeamReason;
    return reply;
}

JobReply done(std::string state)
{
    JobReply reply;
    reply.verdict = JobVerdict::Done;
    reply.state = std::move(state);
    return reply;
}

JobReply refusal(JobVerdict verdict, std::chrono::milliseconds retryAfter, std::string reason)
{
    JobReply reply;
    reply.verdict = verdict;
    reply.retryAfter = retryAfter;
    reply.reason = std::move(reason);
    return reply;
}

} // namespace

ShardOwner::ShardOwner(asio::io_context& loop, Clients clients, jobs::ShardSettings settings,
    const VmControllerSettings& vmSettings, const platform::RowCondition& lease, Version renewalVersion,
    Hooks hooks)
    : m_store(clients.store)
    , m_runnerClient(clients.runners)
    , m_metrics(clients.metrics)
    , m_part(lease.name.part)
    , m_shardIndex(vmSettings.shard)
    , m_shardCount(vmSettings.shards.count)
    , m_hooks(std::move(hooks))
    , m_log(loop, clients.store, lease,
          { [this] { m_hooks.onLost(); },
              [this](
                  platform::CommitOutcome outcome) { m_metrics.countCommit(std::string(toString(outcome))); },
              [this](const platform::RowName& name) { onRowRefused(name); }, submissionTable,
              [this](const std::vector<platform::RowName>& rows) { onRowsWithdrawn(rows); } })
    , m_shard(settings, vmSettings.epoch)
    , m_teamLimits(loop, clients.store, clients.metrics, m_shard.teamQuota(), m_hooks.configApplyTime,
          { m_hooks.configAge, [this] { schedule(); } })
    , m_vmController(clients.store, clients.vms, m_shard, vmSettings,
          { m_hooks.mayOrderVms, m_hooks.ownsVm,
              [this](std::int64_t wave, std::string value, std::function<void()> durable) {
                  m_log.put(
                      { { rowName(waveTable, std::to_string(wave)), std::move(value) } }, std::move(durable));
              },
              [this] { schedule(); } })
    , m_runnerList(loop, clients.store, platform::runnerListTable, { "" }, { runnerListPause },
          { [this](const platform::StoredRow& row) { onRunnerRow(row); },
              [this](const std::vector<platform::StoredRow>& rows) {
                  m_listedRunners.clear();
                  for (const auto& row : rows)
                      onRunnerRow(row);
              },
              [this] {
                  m_shard.observeRunners(m_listedRunners, m_clock.now());
                  onRestored();
                  schedule();
              } })
    , m_planTimer(loop)
    , m_submissions(loop, clients.store, m_part,
          { m_hooks.admit,
              [this](RowChange row, std::optional<Version> read) {
                  if (read)
                      m_log.seed(row.name, *read);
                  auto key = row.name.key;
                  m_log.put({ std::move(row) }, [this, key] { m_submissions.intake().onWritten(key); });
              } })
    , m_writeTimer(loop)
{
    m_log.seed(rowName(leaseTable, renewalKey), renewalVersion);
    restore(0);
}

ShardOwner::~ShardOwner()
{
    *m_isAlive = false;
    m_log.stop();
    for (auto& [call, reply] : m_waitingForRestore)
        reply(refusal(JobVerdict::NotHolder, defaultRetryAfter, "shard-lost"));
    for (auto* waiting : { &m_waitingForStore, &m_waitingForCancel })
        for (auto& [job, replies] : *waiting)
            for (auto& reply : replies)
                reply(uncertain("shard-lost"));
}

platform::RowName ShardOwner::rowName(std::string table, std::string key) const
{
    return { std::move(table), m_part, std::move(key) };
}

std::vector<RowChange> ShardOwner::rowsOf(const jobs::ShardChange& change) const
{
    using Kind = jobs::ShardChange::Kind;
    auto job = rowName(jobTable, change.key);
    auto progress = rowName(progressTable, change.key);
    auto runner = rowName(runnerTable, change.key);
    switch (change.kind) {
    case Kind::Job:
        return { { job, change.value },
            { progress, change.progress.empty() ? std::nullopt : std::optional(change.progress) } };
    case Kind::JobRemoval:
        return { { job, std::nullopt }, { progress, std::nullopt } };
    case Kind::Progress:
        return { { progress, change.value } };
    case Kind::Runner:
        return { { runner, change.value } };
    case Kind::RunnerRemoval:
        break;
    }
    return { { runner, std::nullopt } };
}

// Reads the tables in sequence; progress rows come before the jobs they belong to.
void ShardOwner::restore(std::size_t tableIndex)
{
    static constexpr std::array tables { progressTable, jobTable, runnerTable, waveTable, burstTable };
    if (tableIndex == tables.size() - (m_shard.burstForecast() ? 0 : 1)) {
        logInfo("shard-restored",
            { { "part", m_part }, { "jobs", std::to_string(m_shard.jobTable().all().size()) },
                { "runners", std::to_string(m_shard.runners().size()) } });
        removeOrphanedProgress();
        m_runnerList.start();
        return;
    }
    m_store.readAll(tables[tableIndex], m_part, readTimeout,
        [this, tableIndex, isAlive = m_isAlive](const std::optional<platform::RowPage>& page) {
            if (!*isAlive)
                return;
            if (page) {
                for (const auto& row : page->rows)
                    restoreRow(row);
                restore(tableIndex + 1);
                return;
            }
            m_planTimer.expires_after(restoreRetry);
            m_planTimer.async_wait([this, tableIndex, isAlive](const asio::error_code& error) {
                if (!error && *isAlive)
                    restore(tableIndex);
            });
        });
}

void ShardOwner::restoreRow(const platform::StoredRow& row)
{
    m_log.seed(row.name, row.version);
    const auto& [table, part, key] = row.name;
    auto isReadable = true;
    if (table == progressTable) {
        auto progress = jobs::decodeProgress(row.value);
        isReadable = progress.has_value();
        m_restoredProgress.emplace(key, std::move(progress));
    } else if (table == jobTable) {
        auto job = jobs::decodeJob(row.value);
        // A job with unreadable progress is not restored: its completed tasks would run again.
        auto stored = m_restoredProgress.extract(key);
        auto progress = stored ? std::move(stored.mapped()) : std::optional(jobs::JobProgress {});
        isReadable = job.has_value() && progress.has_value();
        if (isReadable)
            m_shard.restoreJob(std::move(*job), *progress, m_clock.now());
    } else if (table == runnerTable) {
        auto runner = jobs::decodeRunnerRow(key, row.value);
        isReadable = runner.has_value();
        if (runner)
            m_shard.restoreRunner(std::move(*runner), m_clock.now());
    } else if (table == waveTable) {
        isReadable = m_vmController.restoreWave(key, row.value);
    } else if (table == burstTable && key == burstForecastKey) {
        isReadable = restoreBursts(row.value);
    }
    if (!isReadable)
        logWarning("row-unreadable", { { "table", table }, { "key", key } });
}

// False if the row cannot be decoded. One that is too old is not used.
bool ShardOwner::restoreBursts(std::string_view row)
{
    auto record = jobs::decodeBurstRow(row);
    if (!record)
        return false;
    auto isUsed = m_shard.burstForecast()->restore(*record, m_clock.wallNow());
    logInfo("burst-forecast-restored",
        { { "part", m_part }, { "pools", std::to_string(record->pools.size()) },
            { "used", isUsed ? "true" : "false" } });
    return true;
}

// Earlier releases could remove the row of a job and leave its progress.
void ShardOwner::removeOrphanedProgress()
{
    for (const auto& [key, progress] : std::exchange(m_restoredProgress, {})) {
        logWarning("progress-without-job", { { "part", m_part }, { "job", key } });
        m_log.put({ { rowName(progressTable, key), std::nullopt } }, {});
    }
}

void ShardOwner::addWave(const jobs::WaveOrder& wave) { m_vmController.addWave(wave); }

void ShardOwner::tick()
{
    if (!m_isRestored)
        return;
    updateBurstForecast();
    m_vmController.tick();
    m_submissions.intake().tick(m_clock.now());
}

// The rows that exist are read once the shard is restored.
void ShardOwner::readSubmissions()
{
    if (m_isRestored)
        m_submissions.read();
}

void ShardOwner::updateBurstForecast()
{
    auto* forecast = m_shard.burstForecast();
    if (!forecast)
        return;
    auto now = m_clock.now();
    forecast->update(now);
    if (auto record = forecast->takeRecord(now, m_clock.wallNow()))
        m_log.put({ { rowName(burstTable, burstForecastKey), jobs::encodeBurstRow(*record) } }, {});
    auto counts = forecast->counts();
    m_metrics.countExpectedBursts("came", counts.hits - m_countedBursts.hits);
    m_metrics.countExpectedBursts("missed", counts.misses - m_countedBursts.misses);
    m_countedBursts = counts;
}

void ShardOwner::onRunnerRow(const platform::StoredRow& row)
{
    jobs::RunnerId id(row.name.key);
    auto report = row.isRemoved ? std::nullopt : platform::decodeRunner(row.name.key, row.value);
    if (report && m_hooks.ownsVm(report->vm)) {
        m_listedRunners.insert_or_assign(id, std::move(*report));
        return;
    }
    if (!row.isRemoved && !report)
        logWarning("runner-row-unreadable", { { "runner", row.name.key } });
    m_listedRunners.erase(id);
}

void ShardOwner::onRestored()
{
    if (std::exchange(m_isRestored, true))
        return;
    for (auto& [call, reply] : std::exchange(m_waitingForRestore, {}))
        handle(std::move(call), std::move(reply));
    readSubmissions();
}

void ShardOwner::configure(const jobs::FleetConfig& config)
{
    m_vmController.configure(config);
    m_hasTeams = config.teams.has_value();
    m_shard.setTeams(config.teams.value_or(std::vector<teams::TeamConfig> {}), m_shardCount);
    m_teamLimits.configure(config, m_shardIndex, m_shardCount);
    schedule();
}

void ShardOwner::handle(JobCall call, OnJobReply reply)
{
    if (!m_isRestored) {
        m_waitingForRestore.push_back({ std::move(call), std::move(reply) });
        return;
    }
    switch (call.kind) {
    case JobCallKind::Submit:
        submit(call, std::move(reply));
        break;
    case JobCallKind::Show:
        show(call, reply);
        break;
    case JobCallKind::Cancel:
        cancel(call, std::move(reply));
        break;
    case JobCallKind::Count: {
        auto count = done({});
        count.pending = m_shard.pending(call.queue);
        // Without a valid lease the count may be outdated.
        reply(m_hooks.mayOrder() ? count : unknownJobReply(false));
        break;
    }
    }
}

void ShardOwner::submit(const JobCall& call, OnJobReply reply)
{
    auto job = jobs::decodeJob(call.encodedJob);
    if (!job) {
        reply(refusal(JobVerdict::Rejected, defaultRetryAfter, "unreadable"));
        return;
    }
    job->team = call.team;
    if (auto* entry = m_shard.find(job->id); entry && isOfOtherTeam(*entry, call)) {
        reply(otherTeam());
        return;
    }
    // A job cannot be accepted while the store is unavailable, unless it is known and may be stored already.
    if (m_log.isStoreUnavailable() && !m_shard.find(job->id)) {
        m_shard.recordDemand(*job, m_clock.now());
        m_metrics.countAdmission("store-away", "none");
        logInfo("admission",
            { { "job", job->id.value() }, { "queue", job->queue }, { "verdict", "store-away" } });
        reply(refusal(JobVerdict::Unavailable, defaultRetryAfter, "store-away"));
        return;
    }
    auto decision = m_shard.submit(*job, m_clock.now(), m_clock.wallNow());
    auto verdict = decision.verdict == jobs::SubmitVerdict::Known
        ? std::string("known")
        : std::string(toString(decision.admission.verdict));
    auto share = std::string(toString(decision.share));
    m_metrics.countAdmission(verdict, share);
    logInfo("admission",
        { { "job", job->id.value() }, { "queue", job->queue }, { "pool", job->policy.pool.value() },
            { "verdict", verdict }, { "team", job->team.value() }, { "share", share },
            { "waiting-core-ms", std::to_string(std::int64_t(decision.load.waiting)) },
            { "later-core-ms", std::to_string(std::int64_t(decision.load.blocked)) },
            { "running-core-ms", std::to_string(std::int64_t(decision.load.running)) },
            { "arriving", std::to_string(decision.load.arrivingCpu) },
            { "cpu", std::to_string(decision.load.usableCpu) },
            { "free", std::to_string(decision.load.freeCpu) },
            { "work-core-ms", std::to_string(std::int64_t(decision.expectedWork)) },
            { "expected-ms", std::to_string(decision.admission.expectedDuration.count()) },
            { "objective-ms", std::to_string(decision.objective.count()) },
            { "quota-wait-ms", std::to_string(decision.load.quotaWait.count()) },
            { "retry-ms", std::to_string(decision.admission.retryAfter.count()) } });
    if (decision.verdict == jobs::SubmitVerdict::Rejected) {
        auto isOverload = decision.admission.verdict == jobs::Admission::RejectOverload;
        reply(refusal(isOverload ? JobVerdict::Rejected : JobVerdict::Unavailable,
            decision.admission.retryAfter, verdict));
        return;
    }
    if (decision.verdict == jobs::SubmitVerdict::New && !call.submission.empty())
        m_submissions.intake().bind(job->id, call.submission);
    if (m_shard.find(job->id)->isStored) {
        reply(done("stored"));
        return;
    }
    m_waitingForStore[job->id].push_back(std::move(reply));
    write();
}

// Jobs without a team were submitted to a public queue, or by a release that did not know teams. A call
// without a team, where there are teams, came through a public queue, which opens the jobs of that queue
// alone: the queue may have become public since they were submitted.
bool ShardOwner::isOfOtherTeam(const jobs::JobEntry& entry, const JobCall& call) const
{
    const auto& job = entry.job;
    if (job.team.empty() || job.team == call.team)
        return false;
    return call.team.empty() ? m_hasTeams && job.queue != call.queue : true;
}

void ShardOwner::show(const JobCall& call, const OnJobReply& reply)
{
    auto* entry = m_shard.find(call.job);
    // Also one that is written again, as it was submitted beside its removal.
    if (!entry || !(entry->isStored || entry->isEndStored())) {
        reply(unknownJobReply(m_hooks.mayOrder()));
        return;
    }
    if (isOfOtherTeam(*entry, call)) {
        reply(otherTeam());
        return;
    }
    auto mayReport = !entry->isOver() || entry->isEndStored();
    reply(done(std::string(toString(mayReport ? entry->state : jobs::JobState::Running))));
}

void ShardOwner::cancel(const JobCall& call, OnJobReply reply)
{
    auto* entry = m_shard.find(call.job);
    if (!entry) {
        reply(unknownJobReply(m_hooks.mayOrder()));
        return;
    }
    if (isOfOtherTeam(*entry, call)) {
        reply(otherTeam());
        return;
    }
    m_shard.cancel(call.job, m_clock.now());
    logInfo("cancel", { { "job", call.job.value() }, { "state", std::string(toString(entry->state)) } });
    if (entry->isEndStored()) {
        reply(done(std::string(toString(entry->state))));
        return;
    }
    m_waitingForCancel[call.job].push_back(std::move(reply));
    write();
    schedule();
}

void ShardOwner::write()
{
    for (auto& change : m_shard.takeChanges(m_clock.now())) {
        using Kind = jobs::ShardChange::Kind;
        auto rows = rowsOf(change);
        if (change.kind == Kind::Job)
            if (auto bound = m_submissions.intake().takeBound(JobId(change.key))) {
                m_log.seed(bound->first.name, bound->second);
                rows.push_back(std::move(bound->first));
            }
        m_log.put(std::move(rows), [this, change = std::move(change)] {
            m_shard.onStored(change, m_clock.now());
            if (change.kind == Kind::Job || change.kind == Kind::Progress)
                replyToWaitingCalls(JobId(change.key));
            schedule();
        });
    }
    // All reported run ends, also those that changed no row, are acknowledged to the runners once the rows
    // put so far are durable.
    if (auto mark = m_shard.appliedEnds(); !mark.entries.empty())
        m_log.whenDurable([this, mark = std::move(mark)] {
            m_shard.onEndsStored(mark);
            schedule();
        });
}

// The job of the row goes on in memory, but a job that is not stored was not accepted.
void ShardOwner::onRowRefused(const platform::RowName& name)
{
    m_metrics.countRefusedRow(name.table);
    JobId id(name.key);
    if (name.table == jobTable) {
        forgetUnstored(id, refusal(JobVerdict::Rejected, defaultRetryAfter, "row-refused"));
    } else if (name.table == progressTable) {
        if (auto waiting = m_waitingForCancel.extract(id))
            for (auto& reply : waiting.mapped())
                reply(uncertain("row-refused"));
    }
}

void ShardOwner::forgetUnstored(const JobId& id, const JobReply& result)
{
    m_shard.onJobRowRefused(id, m_clock.now());
    schedule();
    if (auto waiting = m_waitingForStore.extract(id))
        for (auto& reply : waiting.mapped())
            reply(result);
}

// The receiving process told its caller that the job does not run, so it was not stored. A direct submission
// of the same job that waited with it is refused too.
void ShardOwner::onRowsWithdrawn(const std::vector<platform::RowName>& rows)
{
    for (const auto& name : rows)
        if (name.table == submissionTable)
            m_submissions.intake().onWithdrawn(name.key);
    for (const auto& name : rows) {
        JobId id(name.key);
        if (name.table != jobTable)
            continue;
        logInfo("submission-withdrawn", { { "part", m_part }, { "job", id.value() } });
        forgetUnstored(id, refusal(JobVerdict::Unavailable, defaultRetryAfter, "submission-withdrawn"));
        if (auto waiting = m_waitingForCancel.extract(id))
            for (auto& reply : waiting.mapped())
                reply(uncertain("submission-withdrawn"));
    }
}

void ShardOwner::replyToWaitingCalls(const JobId& id)
{
    auto* entry = m_shard.find(id);
    if (!entry)
        return;
    if (auto waiting = m_waitingForStore.extract(id))
        for (auto& reply : waiting.mapped())
            reply(done("stored"));
    if (entry->isEndStored())
        if (auto waiting = m_waitingForCancel.extract(id))
            for (auto& reply : waiting.mapped())
                reply(done(std::string(toString(entry->state))));
}

void ShardOwner::renew()
{
    auto sent = m_clock.now();
    m_log.putFirst({ rowName(leaseTable, renewalKey), std::to_string(++m_renewals) },
        [this, sent] { m_hooks.onRenewed(sent); });
}

void ShardOwner::release(std::string releasedOwner, std::function<void()> done)
{
    write();
    m_log.release(std::move(releasedOwner), std::move(done));
}

void ShardOwner::schedule()
{
    if (!m_isRestored)
        return;
    auto at = m_clock.now() + planDelay;
    if (m_isPlanScheduled && m_planAt <= at)
        return;
    m_isPlanScheduled = true;
    m_planAt = at;
    m_planTimer.expires_after(planDelay);
    m_planTimer.async_wait([this, isAlive = m_isAlive](const asio::error_code& error) {
        if (!error && *isAlive)
            plan();
    });
}

void ShardOwner::plan()
{
    m_isPlanScheduled = false;
    auto now = m_clock.now();
    auto mayOrder = m_hooks.mayOrder();
    m_teamLimits.update();
    auto orders = m_shard.plan(now, m_clock.wallNow(), mayOrder);
    if (mayOrder)
        m_teamLimits.write(now);
    for (const auto& start : orders.starts)
        sendStart(start);
    for (const auto& stop : orders.stops)
        sendStop(stop);
    for (const auto& poll : orders.polls)
        sendPoll(poll);
    if (!std::exchange(m_isWriteScheduled, true)) {
        m_writeTimer.expires_after(writeDelay);
        m_writeTimer.async_wait([this, isAlive = m_isAlive](const asio::error_code& error) {
            if (error || !*isAlive)
                return;
            m_isWriteScheduled = false;
            write();
        });
    }
    if (m_isPlanScheduled)
        return;
    m_isPlanScheduled = true;
    m_planAt = orders.wakeAt;
    m_planTimer.expires_after(std::max(orders.wakeAt - now, Duration(planDelay)));
    m_planTimer.async_wait([this, isAlive = m_isAlive](const asio::error_code& error) {
        if (!error && *isAlive)
            plan();
    });
}

void ShardOwner::sendStart(const jobs::OutgoingStart& start)
{
    m_outboxes[start.runner.id].waiting.push_back(start);
    sendNextStart(start.runner.id);
}

void ShardOwner::sendNextStart(const jobs::RunnerId& id)
{
    auto& outbox = m_outboxes[id];
    while (outbox.inFlight < maxStartsInFlight && !outbox.waiting.empty()) {
        auto start = std::move(outbox.waiting.front());
        outbox.waiting.pop_front();
        auto now = m_clock.now();
        // Withholds a queued start if this process may no longer send orders for the shard, or the run was
        // cancelled meanwhile.
        if (!m_hooks.mayOrder() || !m_shard.prepareStart(id, start.order)) {
            m_shard.onStart(id, start.order, { jobs::OrderOutcome::Withheld, {}, 0 }, now);
            continue;
        }
        ++outbox.inFlight;
        m_runnerClient.start(start.runner, start.order,
            [this, id, order = start.order, sent = now, isAlive = m_isAlive](jobs::OrderAnswer answer) {
                if (!*isAlive)
                    return;
                answer.took = m_clock.now() - sent;
                --m_outboxes[id].inFlight;
                m_metrics.countOrder("start", std::string(toString(answer.outcome)));
                if (answer.outcome != jobs::OrderOutcome::Accepted)
                    logWarning("start",
                        { { "task", platform::formatTaskName(order.task) },
                            { "attempt", std::to_string(order.attempt) }, { "runner", id.value() },
                            { "incarnation", std::to_string(order.incarnation) },
                            { "outcome", std::string(toString(answer.outcome)) } });
                m_shard.onStart(id, order, answer, m_clock.now());
                sendNextStart(id);
                if (auto done = m_outboxes.find(id);
                    done->second.inFlight == 0 && done->second.waiting.empty())
                    m_outboxes.erase(done);
                schedule();
            });
    }
}

void ShardOwner::sendStop(const jobs::OutgoingStop& stop)
{
    m_runnerClient.stop(stop.runner, stop.order,
        [this, id = stop.runner.id, order = stop.order, sent = m_clock.now(), isAlive = m_isAlive](
            jobs::OrderAnswer answer) {
            if (!*isAlive)
                return;
            answer.took = m_clock.now() - sent;
            m_metrics.countOrder("stop", std::string(toString(answer.outcome)));
            m_shard.onStop(id, order, answer, m_clock.now());
            schedule();
        });
}

void ShardOwner::sendPoll(const jobs::OutgoingPoll& poll)
{
    m_runnerClient.poll(poll.runner, poll.order,
        [this, id = poll.runner.id, order = poll.order, sent = m_clock.now(), isAlive = m_isAlive](
            const jobs::PollAnswer& answer) {
            if (!*isAlive)
                return;
            m_metrics.countOrder("look", std::string(toString(answer.answer.outcome)));
            m_shard.onPoll(id, order, answer, sent, m_clock.now());
            schedule();
        });
}

} // namespace fulmar::node

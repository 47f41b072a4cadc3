#include "jobs/tests/fleet_replay.h"

#include "jobs/tests/shard_fixture.h"

namespace fulmar::jobs::test {

namespace {

// One-way latency between a holder and a runner in another zone.
constexpr Millis oneWayLatency { 2 };
// Delay between an event and the holder's next plan, as in the real process.
constexpr Millis planDelay { 5 };
// A late order is carried out after 2 to 12 s.
constexpr int minLateMs = 2'000;
constexpr int maxLateMs = 12'000;
// How often a rejected caller comes back.
constexpr std::uint32_t callerRetries = 4;
// Retry-After of the compared rejection: a backlog hardly shrinks in less time.
constexpr Millis minRetryAfter { 500 };

Millis objectiveOf(Job job, const std::vector<Millis>& durations)
{
    auto next = durations.begin();
    for (auto& step : job.steps) {
        step.estimate = *std::max_element(next, next + step.count);
        next += step.count;
    }
    return job.objective();
}

} // namespace

FleetReplay::FleetReplay(const ReplaySettings& settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_shard(ShardSettings {}, 1)
{
    std::map<RunnerId, RunnerReport> listed;
    for (std::uint32_t i = 0; i < settings.runners; ++i) {
        auto report = ShardFixture::report("r" + std::to_string(i), settings.cpuOfRunner);
        m_runners[report.id].report = report;
        listed.emplace(report.id, report);
    }
    m_shard.observeRunners(listed, m_now);
    m_shard.setTeams(settings.teams, settings.shardCount);
}

void FleetReplay::play(const std::vector<ReplayJob>& jobs, Millis length)
{
    auto begin = m_now + 1s;
    for (const auto& each : jobs)
        at(begin + (each.at - TimePoint {}), [this, each] { arrive(each); });
    schedulePlan();
    auto until = begin + length;
    while (!m_events.empty() && m_events.begin()->first <= until) {
        auto event = m_events.extract(m_events.begin());
        m_now = event.key();
        event.mapped()();
        store();
        countCompleted();
        schedulePlan();
    }
}

void FleetReplay::at(TimePoint when, std::function<void()> what) { m_events.emplace(when, std::move(what)); }

void FleetReplay::schedulePlan()
{
    if (std::exchange(m_isPlanScheduled, true))
        return;
    at(m_now + planDelay, [this] { plan(); });
}

void FleetReplay::plan()
{
    m_isPlanScheduled = false;
    auto orders = m_shard.plan(m_now, wallNow(), true);
    for (const auto& each : orders.starts)
        send(each);
    for (const auto& each : orders.stops)
        send(each);
    for (const auto& each : orders.polls)
        send(each);
}

void FleetReplay::store()
{
    for (const auto& change : m_shard.takeChanges(m_now))
        m_shard.onStored(change, m_now);
    m_shard.onEndsStored(m_shard.appliedEnds());
}

bool FleetReplay::isAnswerLost() { return std::bernoulli_distribution(m_settings.lostAnswerShare)(m_random); }

Millis FleetReplay::lateDelay()
{
    return Millis(std::uniform_int_distribution<int>(minLateMs, maxLateMs)(m_random));
}

void FleetReplay::send(const OutgoingStart& out)
{
    auto& runner = m_runners.at(out.runner.id);
    if (isAnswerLost()) {
        at(m_now + lateDelay(), [this, &runner, order = out.order] { start(runner, order); });
        at(m_now + timeoutOf(out.order.timeout),
            [this, out] { m_shard.onStart(out.runner.id, out.order, { OrderOutcome::Unknown }, m_now); });
        return;
    }
    at(m_now + oneWayLatency, [this, &runner, out] {
        auto outcome = start(runner, out.order);
        at(m_now + oneWayLatency, [this, out, outcome] {
            OrderAnswer answer { outcome, clock() };
            answer.took = oneWayLatency * 2;
            m_shard.onStart(out.runner.id, out.order, answer, m_now);
        });
    });
}

bool FleetReplay::admit(VirtualRunner& runner, FencingToken fence)
{
    if (fence < runner.fence)
        return false;
    runner.fence = fence;
    return true;
}

OrderOutcome FleetReplay::start(VirtualRunner& runner, const StartOrder& order)
{
    if (!admit(runner, order.fence))
        return OrderOutcome::Fenced;
    if (auto run = runner.runs.find(order.task); run != runner.runs.end())
        return run->second.attempt == order.attempt ? OrderOutcome::Accepted : OrderOutcome::Superseded;
    if (auto settled = runner.highestSettled.find(order.task);
        settled != runner.highestSettled.end() && settled->second >= order.attempt)
        return OrderOutcome::Superseded;
    if (order.leaseUntil < clock())
        return OrderOutcome::TooLate;
    auto runsElsewhere = std::any_of(m_runners.begin(), m_runners.end(),
        [&](const auto& each) { return each.second.runs.contains(order.task); });
    duplicateRuns += runsElsewhere || m_done.contains(order.task) ? 1 : 0;
    const auto& [arrivedAt, job, durations, objective, acceptedAt, endedAt] = m_jobs.at(order.task.job);
    auto cpu = job.steps[order.task.step].perTask.cpu;
    runner.runs[order.task] = { order.attempt, cpu };
    std::int64_t used = 0;
    for (const auto& [task, run] : runner.runs)
        used += run.cpu;
    overcommits += used > runner.report.capacity.cpu ? 1 : 0;
    std::size_t number = order.task.index;
    for (std::uint32_t step = 0; step < order.task.step; ++step)
        number += job.steps[step].count;
    at(m_now + durations[number], [this, &runner, order] {
        if (auto run = runner.runs.find(order.task);
            run != runner.runs.end() && run->second.attempt == order.attempt)
            end(runner, order.task, EndKind::Done);
    });
    return OrderOutcome::Accepted;
}

void FleetReplay::end(VirtualRunner& runner, const TaskName& task, EndKind kind)
{
    auto attempt = runner.runs.at(task).attempt;
    runner.runs.erase(task);
    runner.highestSettled[task] = attempt;
    runner.ended.push_back({ ++runner.endCount, task, attempt, kind, {} });
    if (kind == EndKind::Done)
        m_done.insert(task);
    if (auto answer = std::exchange(runner.answerPoll, nullptr))
        answer();
}

void FleetReplay::send(const OutgoingStop& out)
{
    auto& runner = m_runners.at(out.runner.id);
    auto isAnswered = !isAnswerLost();
    if (!isAnswered) {
        at(m_now + lateDelay(), [this, &runner, out] { stop(runner, out.order); });
        at(m_now + timeoutOf(out.order.timeout), [this, out] {
            m_shard.onStop(out.runner.id, out.order, { OrderOutcome::Unknown, clock() }, m_now);
        });
        return;
    }
    at(m_now + oneWayLatency, [this, &runner, out] {
        auto outcome = stop(runner, out.order);
        at(m_now + oneWayLatency, [this, out, outcome] {
            OrderAnswer answer { outcome, clock() };
            answer.took = oneWayLatency * 2;
            m_shard.onStop(out.runner.id, out.order, answer, m_now);
        });
    });
}

OrderOutcome FleetReplay::stop(VirtualRunner& runner, const StopOrder& order)
{
    if (!admit(runner, order.fence))
        return OrderOutcome::Fenced;
    auto& settled = runner.highestSettled[order.task];
    settled = std::max(settled, order.attempt);
    if (auto run = runner.runs.find(order.task);
        run != runner.runs.end() && run->second.attempt <= order.attempt)
        end(runner, order.task, EndKind::Stopped);
    return OrderOutcome::Accepted;
}

void FleetReplay::send(const OutgoingPoll& out)
{
    ++polls;
    auto sent = m_now;
    auto& runner = m_runners.at(out.runner.id);
    if (isAnswerLost()) {
        at(m_now + out.order.wait + timeoutOf(out.order.timeout), [this, out, sent] {
            m_shard.onPoll(out.runner.id, out.order, { { OrderOutcome::Unknown }, {}, {} }, sent, m_now);
        });
        return;
    }
    at(m_now + oneWayLatency, [this, &runner, out, sent] {
        if (!admit(runner, out.order.fence)) {
            at(m_now + oneWayLatency, [this, out, sent] {
                m_shard.onPoll(
                    out.runner.id, out.order, { { OrderOutcome::Fenced, clock() }, {}, {} }, sent, m_now);
            });
            return;
        }
        std::erase_if(
            runner.ended, [&](const EndedTask& each) { return each.number <= out.order.ackEndsUpTo; });
        auto answer = [this, &runner, out, sent] {
            PollAnswer poll { { OrderOutcome::Accepted, clock(), 1 }, {}, runner.ended };
            for (const auto& [task, run] : runner.runs)
                poll.running.push_back({ task, run.attempt, {}, 100 });
            at(m_now + oneWayLatency,
                [this, out, poll, sent] { m_shard.onPoll(out.runner.id, out.order, poll, sent, m_now); });
        };
        if (!runner.ended.empty() || out.order.wait.count() == 0) {
            answer();
            return;
        }
        auto number = runner.endCount;
        runner.answerPoll = answer;
        at(m_now + out.order.wait, [&runner, number] {
            if (runner.endCount != number)
                return;
            if (auto waiting = std::exchange(runner.answerPoll, nullptr))
                waiting();
        });
    });
}

void FleetReplay::arrive(const ReplayJob& replay)
{
    ++submitted;
    m_jobs[replay.job.id] = replay;
    m_jobs[replay.job.id].at = m_now;
    submit(replay.job.id, callerRetries);
}

// Retry-After has whole seconds.
void FleetReplay::submit(const JobId& id, std::uint32_t retries)
{
    auto decision = decide(m_jobs.at(id).job);
    if (retries == callerRetries - 1) {
        ++cameBack;
        acceptedAgain += decision.verdict == Admission::Accept ? 1 : 0;
    }
    if (decision.verdict == Admission::Accept) {
        m_jobs.at(id).acceptedAt = m_now;
        m_unfinished.insert(id);
        return;
    }
    ++rejected;
    if (retries == 0)
        ++givenUp;
    else
        at(m_now + std::chrono::ceil<std::chrono::seconds>(decision.retryAfter),
            [this, id, retries] { submit(id, retries - 1); });
}

// The shard's decision, after the rejection by `maxObjectives`.
AdmissionDecision FleetReplay::decide(const Job& job)
{
    if (m_settings.maxObjectives) {
        auto load = m_shard.loadOf(job, 0, m_now, wallNow());
        auto decision = decideAdmission(job, load);
        auto limit = Millis(std::int64_t(double(job.objective().count()) * *m_settings.maxObjectives));
        auto startsNow = load.waiting <= 0 && load.freeCpu >= job.steps.front().reserved().cpu;
        if (!startsNow && decision.expectedDuration > limit) {
            m_shard.recordDemand(job, m_now);
            return { Admission::RejectOverload,
                std::max(minRetryAfter, decision.expectedDuration - job.objective()),
                decision.expectedDuration };
        }
    }
    return m_shard.submit(job, m_now, wallNow()).admission;
}

void FleetReplay::countCompleted()
{
    for (auto id = m_unfinished.begin(); id != m_unfinished.end();) {
        auto* entry = m_shard.find(*id);
        if (!entry || entry->storedState != JobState::Completed) {
            ++id;
            continue;
        }
        auto& replay = m_jobs.at(*id);
        replay.endedAt = m_now;
        inUsefulTime += m_now <= replay.acceptedAt + replay.objective * 3 ? 1 : 0;
        if (m_now <= replay.at + replay.objective) {
            ++inTime;
            workInTime += replay.job.expectedWork() / 1'000;
        }
        id = m_unfinished.erase(id);
    }
}

std::vector<ReplayJob> burstOfSmallJobs(double perSecond, Millis length, double maxError, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(perSecond / 1000);
    std::uniform_int_distribution<std::uint32_t> width(4, 12);
    std::uniform_int_distribution<int> cpu(500, 1'500);
    std::uniform_int_distribution<int> duration(400, 900);
    std::uniform_real_distribution<double> error(1 - maxError, 1 + maxError);
    std::vector<ReplayJob> jobs;
    for (double at = gap(random); at < double(length.count()); at += gap(random)) {
        auto id = "job" + std::to_string(jobs.size());
        ReplayJob replay { TimePoint(Millis(std::int64_t(at))), ShardFixture::job(id, 1), {}, Millis(0), {},
            {} };
        replay.job.steps.assign(jobs.size() % 3 == 0 ? 2 : 1, replay.job.steps.front());
        for (std::uint32_t i = 0; i < replay.job.steps.size(); ++i) {
            auto& step = replay.job.steps[i];
            step.count = width(random);
            step.perTask.cpu = cpu(random);
            step.estimate = Millis(duration(random));
            if (i > 0)
                step.after = { i - 1 };
            for (std::uint32_t task = 0; task < step.count; ++task)
                replay.durations.emplace_back(std::int64_t(double(step.estimate.count()) * error(random)));
        }
        replay.objective = objectiveOf(replay.job, replay.durations);
        jobs.push_back(std::move(replay));
    }
    return jobs;
}

void disturbEstimates(std::vector<ReplayJob>& jobs, double deviation, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::lognormal_distribution<double> factor(0, deviation);
    for (auto& each : jobs)
        for (auto& step : each.job.steps)
            step.estimate = Millis(std::int64_t(double(step.estimate.count()) * factor(random)) + 1);
}

} // namespace fulmar::jobs::test

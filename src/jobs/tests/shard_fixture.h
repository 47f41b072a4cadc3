#pragma once

#include "jobs/shard.h"

#include <string>

namespace fulmar::jobs::test {

using namespace std::chrono_literals;

inline const PoolId pool { "pool" };

// A shard with helpers that act as the store and the runners.
struct ShardFixture {
    TimePoint now { std::chrono::seconds(1'000) };
    Shard shard { ShardSettings {}, 1 };
    std::map<RunnerId, RunnerReport> listed;
    std::vector<OutgoingStart> starts;
    std::vector<OutgoingStop> stops;
    std::vector<OutgoingPoll> polls;
    std::map<RunnerId, std::uint64_t> ends;

    static RunnerReport report(const std::string& id, std::int64_t cpu = 16'000, std::int64_t incarnation = 1)
    {
        RunnerReport report;
        report.id = RunnerId(id);
        report.vm = VmId("vm-" + id);
        report.address = id + ":1";
        report.pool = pool;
        report.incarnation = incarnation;
        report.capacity = { cpu, 32'768, 0 };
        report.labels = { "a", "r1" };
        return report;
    }

    static Job job(
        const std::string& id, std::uint32_t tasks, std::int64_t cpu = 1'000, Millis estimate = 500ms)
    {
        Job job;
        job.id = JobId(id);
        job.queue = "queue";
        job.policy = { pool, 0, 3, 1.6, 600ms };
        Step step;
        step.count = tasks;
        step.perTask = { cpu, 100, 0 };
        step.estimate = estimate;
        job.steps.push_back(step);
        return job;
    }

    WallTime wall() const { return WallTime { std::chrono::duration_cast<Millis>(now.time_since_epoch()) }; }

    void list(RunnerReport report)
    {
        auto id = report.id;
        listed.insert_or_assign(id, std::move(report));
        shard.observeRunners(listed, now);
    }

    // Adds a runner that is listed, has answered and is recorded.
    void addRunner(const std::string& id, std::int64_t cpu = 16'000)
    {
        list(report(id, cpu));
        advance();
        answerPoll(id, {}, {});
        store();
    }

    // Makes all changes of the shard durable.
    void store()
    {
        for (const auto& change : shard.takeChanges(now))
            shard.onStored(change, now);
        shard.onEndsStored(shard.appliedEnds());
    }

    void advance(Duration pause = 10ms, bool mayStart = true)
    {
        now += pause;
        auto orders = shard.plan(now, wall(), mayStart);
        starts = orders.starts;
        stops = orders.stops;
        for (const auto& poll : orders.polls)
            polls.push_back(poll);
    }

    SubmitVerdict submit(const Job& job)
    {
        auto verdict = shard.submit(job, now, wall()).verdict;
        store();
        return verdict;
    }

    void answerStart(const OutgoingStart& start, OrderOutcome outcome = OrderOutcome::Accepted)
    {
        shard.onStart(start.runner.id, start.order, { outcome, {}, 0 }, now);
    }

    void answerPoll(const std::string& id, std::vector<RunningTask> running, std::vector<EndedTask> ended,
        OrderOutcome outcome = OrderOutcome::Accepted, std::int64_t incarnation = 1)
    {
        answerPoll(id, now - 1ms, std::move(running), std::move(ended), outcome, incarnation);
    }

    // `sent`: when the poll was sent.
    void answerPoll(const std::string& id, TimePoint sent, std::vector<RunningTask> running,
        std::vector<EndedTask> ended, OrderOutcome outcome, std::int64_t incarnation)
    {
        auto at = findPoll(RunnerId(id));
        if (at == polls.end())
            return;
        auto order = at->order;
        polls.erase(at);
        PollAnswer poll { { outcome, {}, incarnation }, std::move(running), std::move(ended) };
        if (outcome == OrderOutcome::Accepted)
            poll.answer.clock = RunnerTime(std::chrono::duration_cast<Millis>(now.time_since_epoch()));
        shard.onPoll(RunnerId(id), order, poll, sent, now);
    }

    // The connections to a runner break, as its process ends.
    void breakOff(const std::string& id)
    {
        advance(1ms);
        answerPoll(id, now - 1ms, {}, {}, OrderOutcome::Unknown, 0);
    }

    // The runner starts again under its id and runs nothing: it is listed, confirms the stops and answers
    // polls.
    void restart(const std::string& id, std::int64_t incarnation, std::int64_t cpu = 16'000)
    {
        list(report(id, cpu, incarnation));
        std::erase_if(polls, [&](const auto& poll) { return poll.runner.id.value() == id; });
        for (int round = 0; round < 2; ++round) {
            advance(10ms, false);
            for (const auto& stop : stops)
                if (stop.runner.id.value() == id)
                    shard.onStop(stop.runner.id, stop.order, { OrderOutcome::Accepted, {}, 0 }, now);
            advance(10ms, false);
            answerPoll(id, {}, {}, OrderOutcome::Accepted, incarnation);
        }
        store();
    }

    // The poll of the runner that is not answered yet.
    std::vector<OutgoingPoll>::iterator findPoll(const RunnerId& id)
    {
        return std::find_if(
            polls.begin(), polls.end(), [&](const auto& poll) { return poll.runner.id == id; });
    }

    // Leaves all start orders of the run unanswered until the shard stops it.
    void loseStartAnswersUntilStop(OutgoingStart start)
    {
        for (int tries = 0; tries < 10 && stops.empty(); ++tries) {
            answerStart(start, OrderOutcome::Unknown);
            advance();
            if (!starts.empty())
                start = starts.front();
        }
    }

    // One runner answers no polls, the other does, until something starts again.
    void failPollsUntilStart(const std::string& unreachable, const std::string& reachable)
    {
        for (auto until = now + 30s; starts.empty() && now < until;) {
            advance(100ms);
            answerPoll(unreachable, {}, {}, OrderOutcome::Unknown);
            answerPoll(reachable, {}, {});
        }
    }

    EndedTask ended(const std::string& runner, const StartOrder& order, EndKind kind)
    {
        return { ++ends[RunnerId(runner)], order.task, order.attempt, kind, {} };
    }

    static RunningTask running(const StartOrder& order) { return { order.task, order.attempt, "", 100 }; }
};

} // namespace fulmar::jobs::test

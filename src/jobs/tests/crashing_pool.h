#pragma once

#include "jobs/tests/shard_fixture.h"

namespace fulmar::jobs::test {

// A pool whose runners answer starts at once, hold polls back until a task ends, run tasks for `taskTime` or
// until they are stopped, and crash when they start a task of a deadly job. A crashed runner breaks its
// connections, refuses others for `downtime`, and comes back as another incarnation; the store drops it from
// its list after some seconds of silence.
class CrashingPool : public ShardFixture {
public:
    explicit CrashingPool(int runners)
    {
        for (int i = 0; i < runners; ++i) {
            auto id = "r" + std::to_string(i);
            addRunner(id);
            m_hosts[RunnerId(id)] = {};
        }
    }

    SubmitVerdict submit(const Job& job)
    {
        auto verdict = shard.submit(job, now, wall()).verdict;
        store();
        return verdict;
    }

    void play(Duration length)
    {
        for (auto end = now + length; now < end;) {
            auto at = now;
            advance(10ms);
            for (auto& order : starts)
                start(order);
            for (auto& [id, host] : m_hosts)
                serve(id, host);
            shard.observeRunners(listed, now);
            for (auto& each : stops)
                stop(each);
            if (m_handOvers.upper_bound(at) != m_handOvers.upper_bound(now))
                restoreAtNextHolder();
            store();
        }
    }

    // The next holder starts from the stored rows alone.
    void handOverAt(TimePoint moment) { m_handOvers.insert(moment); }

    // The runner leaves for good, as planned.
    void leave(const RunnerId& id)
    {
        shard.endRunner(id, true, now, "left");
        listed.erase(id);
        m_hosts.erase(id);
        std::erase_if(polls, [&](const auto& poll) { return poll.runner.id == id; });
        store();
    }

    // The runner crashes and is not seen again.
    void vanish(const RunnerId& id, bool isSilent)
    {
        crash(id, isSilent);
        m_hosts.at(id).downUntil = TimePoint::max();
    }

    // Crashes a runner for a cause outside its tasks. `isSilent`: its connections stay open, and new ones get
    // no answer.
    void crash(const RunnerId& id, bool isSilent)
    {
        auto& host = m_hosts.at(id);
        if (!host.downUntil)
            host = { host.incarnation + 1, now + downtime, now + silenceUntilUnlisted, isSilent, {}, {}, 0,
                {} };
    }

    std::set<JobId> deadly;
    Duration downtime { 3s };
    Duration taskTime { 1s };
    std::map<TaskName, int> deadlyStarts;
    int crashes { 0 };

private:
    static constexpr Duration silenceUntilUnlisted { 4'500ms };

    struct Host {
        std::int64_t incarnation { 1 };
        std::optional<TimePoint> downUntil;
        TimePoint unlistedAt;
        bool isSilent { false };
        // When the poll that is not answered yet was sent.
        std::optional<TimePoint> pollSentAt;
        std::map<TaskName, std::pair<StartOrder, TimePoint>> runs;
        std::uint64_t ends { 0 };
        std::vector<EndedTask> ended;
    };

    void start(const OutgoingStart& order)
    {
        auto& host = m_hosts.at(order.runner.id);
        if (host.downUntil) {
            answerStart(order, host.isSilent ? OrderOutcome::Unknown : OrderOutcome::NotSent);
            return;
        }
        if (deadly.contains(order.order.task.job) && order.order.task.index == 0) {
            ++deadlyStarts[order.order.task];
            ++crashes;
            answerStart(order);
            crash(order.runner.id, false);
            return;
        }
        answerStart(order);
        host.runs.emplace(order.order.task, std::pair(order.order, now + taskTime));
    }

    void stop(const OutgoingStop& each)
    {
        auto& host = m_hosts.at(each.runner.id);
        auto found = host.runs.find(each.order.task);
        if (!host.downUntil && found != host.runs.end()
            && found->second.first.attempt == each.order.attempt) {
            host.ended.push_back({ ++host.ends, each.order.task, each.order.attempt, EndKind::Stopped, {} });
            host.runs.erase(found);
        }
        shard.onStop(each.runner.id, each.order, { OrderOutcome::Accepted, {}, 0 }, now);
    }

    bool isLongRunning(const StartOrder& order)
    {
        auto* entry = shard.find(order.task.job);
        return entry && entry->job.isLongRunning();
    }

    void serve(const RunnerId& id, Host& host)
    {
        if (host.downUntil && now >= *host.downUntil) {
            host.downUntil.reset();
            host.pollSentAt.reset();
            std::erase_if(polls, [&](const auto& poll) { return poll.runner.id == id; });
            list(report(id.value(), 16'000, host.incarnation));
        }
        if (host.downUntil && now >= host.unlistedAt)
            listed.erase(id);
        auto ended = host.downUntil ? false : endRuns(host);
        auto poll = findPoll(id);
        if (poll == polls.end())
            return;
        auto isInFlight = host.pollSentAt.has_value();
        auto sent = *(host.pollSentAt ? host.pollSentAt : host.pollSentAt = now);
        auto waitsUntil = sent + poll->order.wait;
        if (!host.downUntil) {
            if (ended || now >= waitsUntil)
                answer(id, host, OrderOutcome::Accepted);
        } else if (!host.isSilent) {
            answer(id, host, isInFlight ? OrderOutcome::Unknown : OrderOutcome::NotSent);
        } else if (now >= waitsUntil + poll->order.timeout) {
            answer(id, host, OrderOutcome::Unknown);
        }
    }

    // Returns whether any run has ended.
    bool endRuns(Host& host)
    {
        auto before = host.ends;
        for (auto each = host.runs.begin(); each != host.runs.end();) {
            const auto& [order, endsAt] = each->second;
            if (now < endsAt || isLongRunning(order)) {
                ++each;
                continue;
            }
            host.ended.push_back({ ++host.ends, order.task, order.attempt, EndKind::Done, {} });
            each = host.runs.erase(each);
        }
        return host.ends != before;
    }

    void answer(const RunnerId& id, Host& host, OrderOutcome outcome)
    {
        std::vector<RunningTask> runningTasks;
        for (const auto& [task, run] : host.runs)
            runningTasks.push_back(running(run.first));
        auto sent = *std::exchange(host.pollSentAt, std::nullopt);
        answerPoll(
            id.value(), sent, runningTasks, host.ended, outcome, host.downUntil ? 0 : host.incarnation);
    }

    void store()
    {
        for (const auto& change : shard.takeChanges(now)) {
            m_rows[{ change.kind, change.key }] = change.value;
            shard.onStored(change, now);
        }
        shard.onEndsStored(shard.appliedEnds());
    }

    void restoreAtNextHolder()
    {
        std::destroy_at(&shard);
        std::construct_at(&shard, ShardSettings {}, ++m_epoch);
        polls.clear();
        for (auto& [id, host] : m_hosts)
            host.pollSentAt.reset();
        for (const auto& [name, value] : m_rows) {
            const auto& [kind, key] = name;
            if (kind != ShardChange::Kind::Job)
                continue;
            auto progress = m_rows.find({ ShardChange::Kind::Progress, key });
            auto decoded
                = progress == m_rows.end() ? std::optional(JobProgress {}) : decodeProgress(progress->second);
            shard.restoreJob(*decodeJob(value), *decoded, now);
        }
        for (const auto& [id, report] : listed)
            shard.restoreRunner(report, now);
        shard.observeRunners(listed, now);
    }

    std::map<RunnerId, Host> m_hosts;
    std::map<std::pair<ShardChange::Kind, std::string>, std::string> m_rows;
    std::set<TimePoint> m_handOvers;
    Epoch m_epoch { 1 };
};

} // namespace fulmar::jobs::test

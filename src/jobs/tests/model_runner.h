#pragma once

#include "jobs/tests/shard_fixture.h"

namespace fulmar::jobs::test {

// The fencing token that an order carries.
template <typename Order> std::uint64_t fencingToken(const Order& order) { return order.fence; }

// One incarnation of a runner, as the section "Running tasks" of the protocol describes it.
class ModelRunner {
public:
    struct End {
        EndedTask end;
        TimePoint at;
        // `last-seen` has reached it.
        bool isNoted { false };
        // The lease lapsed before that.
        bool hasLapsed { false };
    };

    ModelRunner(std::int64_t incarnation, TimePoint bornAt, double clockRate)
        : m_incarnation(incarnation)
        , m_bornAt(bornAt)
        , m_clockRate(clockRate)
    {
    }

    [[nodiscard]] std::int64_t incarnation() const { return m_incarnation; }
    [[nodiscard]] TimePoint bornAt() const { return m_bornAt; }
    [[nodiscard]] const std::vector<End>& ends() const { return m_ends; }
    [[nodiscard]] std::size_t countRuns() const { return m_runs.size(); }
    [[nodiscard]] std::size_t countRuns(const TaskName& task) const
    {
        return std::size_t(std::count_if(
            m_runs.begin(), m_runs.end(), [&](const auto& each) { return each.first.first == task; }));
    }

    OrderOutcome start(
        const StartOrder& order, Duration taskTime, TimePoint now, EndKind kind = EndKind::Done)
    {
        if (isFenced(fencingToken(order)))
            return OrderOutcome::Fenced;
        if (order.leaseUntil <= clock(now))
            return OrderOutcome::TooLate;
        extendLease(order.leaseUntil, now);
        if (m_runs.contains({ order.task, order.attempt }))
            return OrderOutcome::Accepted;
        if (auto barred = m_barred.find(order.task);
            barred != m_barred.end() && order.attempt <= barred->second)
            return OrderOutcome::Superseded;
        m_runs.emplace(std::pair(order.task, order.attempt), Run { now + taskTime, kind });
        return OrderOutcome::Accepted;
    }

    // The order would begin a run if it came now.
    [[nodiscard]] bool wouldBegin(const StartOrder& order, TimePoint now) const
    {
        auto barred = m_barred.find(order.task);
        return fencingToken(order) >= m_highestToken && order.leaseUntil > clock(now)
            && !m_runs.contains({ order.task, order.attempt })
            && (barred == m_barred.end() || order.attempt > barred->second);
    }

    OrderOutcome stop(const StopOrder& order, TimePoint now)
    {
        if (isFenced(fencingToken(order)))
            return OrderOutcome::Fenced;
        bar(order.task, order.attempt);
        if (auto found = m_runs.find({ order.task, order.attempt });
            found != m_runs.end() && found->second.endsAt > now + stopTime)
            found->second = { now + stopTime, EndKind::Stopped };
        return OrderOutcome::Accepted;
    }

    OrderOutcome poll(const PollOrder& order, TimePoint now)
    {
        if (isFenced(fencingToken(order)))
            return OrderOutcome::Fenced;
        extendLease(order.leaseUntil, now);
        for (; m_forgotten < std::min<std::uint64_t>(order.ackEndsUpTo, m_ends.size()); ++m_forgotten) {
            auto& end = m_ends[m_forgotten];
            end.isNoted = true;
            end.hasLapsed = m_lapsedAt && *m_lapsedAt >= end.at;
        }
        return OrderOutcome::Accepted;
    }

    // Ends that `last-seen` has reached.
    [[nodiscard]] std::uint64_t countForgotten() const { return m_forgotten; }
    [[nodiscard]] bool hasEndsToList() const { return m_forgotten < m_ends.size(); }
    [[nodiscard]] PollAnswer lists(TimePoint now) const
    {
        PollAnswer answer { { OrderOutcome::Accepted, clock(now), m_incarnation }, {}, {} };
        for (const auto& [name, run] : m_runs)
            answer.running.push_back({ name.first, name.second, "", 100 });
        for (auto i = m_forgotten; i < m_ends.size() && answer.ended.size() < maxListedEnds; ++i)
            answer.ended.push_back(m_ends[i].end);
        return answer;
    }

    // Ends the runs that are due, and all when the lease has lapsed.
    void advance(TimePoint now)
    {
        auto isLapsing = !m_isLapsed && clock(now) >= m_leaseUntil;
        for (auto each = m_runs.begin(); each != m_runs.end();) {
            const auto& [name, run] = *each;
            if (run.endsAt > now && !isLapsing) {
                ++each;
                continue;
            }
            auto kind = run.endsAt <= now ? run.kind : EndKind::Lapsed;
            m_ends.push_back({ { m_ends.size() + 1, name.first, name.second, kind, {} }, now });
            bar(name.first, name.second);
            each = m_runs.erase(each);
        }
        if (isLapsing) {
            m_isLapsed = true;
            m_lapsedAt = now;
        }
    }

    // It has executed a call that was sent after its birth.
    bool hasExecutedNewCall { false };

private:
    static constexpr Millis maxHold = ShardSettings {}.maxLease;
    static constexpr Millis stopTime { 50 };
    static constexpr std::size_t maxListedEnds = 500;

    struct Run {
        TimePoint endsAt;
        EndKind kind { EndKind::Done };
    };

    [[nodiscard]] RunnerTime clock(TimePoint now) const
    {
        return RunnerTime(std::int64_t(double((now - m_bornAt) / 1ms) * m_clockRate));
    }
    bool isFenced(std::uint64_t token)
    {
        if (token < m_highestToken)
            return true;
        m_highestToken = token;
        return false;
    }
    void extendLease(RunnerTime until, TimePoint now)
    {
        m_leaseUntil = std::max(m_leaseUntil, std::min(until, clock(now) + maxHold));
        m_isLapsed = m_isLapsed && m_leaseUntil <= clock(now);
    }
    void bar(const TaskName& task, Attempt attempt) { m_barred[task] = std::max(m_barred[task], attempt); }

    std::int64_t m_incarnation;
    TimePoint m_bornAt;
    double m_clockRate;
    std::uint64_t m_highestToken { 0 };
    RunnerTime m_leaseUntil { 0 };
    bool m_isLapsed { true };
    std::optional<TimePoint> m_lapsedAt;
    std::map<std::pair<TaskName, Attempt>, Run> m_runs;
    // The highest attempt of each task that was stopped or ended here.
    std::map<TaskName, Attempt> m_barred;
    std::vector<End> m_ends;
    std::uint64_t m_forgotten { 0 };
};

} // namespace fulmar::jobs::test

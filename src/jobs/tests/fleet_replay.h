#pragma once

#include "jobs/shard.h"

#include <functional>
#include <map>
#include <random>
#include <set>

namespace fulmar::jobs::test {

using namespace std::chrono_literals;

struct ReplaySettings {
    std::uint32_t runners { 10 };
    std::int64_t cpuOfRunner { 16'000 };
    // Share of orders that get no answer and are carried out seconds later.
    double lostAnswerShare { 0 };
    // Used instead of the shard's adaptive timeout.
    std::optional<Millis> fixedTimeout;
    // Rejects jobs that the shard would accept if they are expected to take longer than this multiple of
    // their objective.
    std::optional<double> maxObjectives;
    std::uint64_t seed { 1 };
    // Empty for a deployment without teams.
    std::vector<teams::TeamConfig> teams;
    std::uint32_t shardCount { 3 };
};

// A job and the actual run time of each of its tasks, in the order of its steps.
struct ReplayJob {
    TimePoint at;
    Job job;
    std::vector<Millis> durations;
    // Latency objective by the actual run times, from the first attempt.
    Millis objective { 0 };
    TimePoint acceptedAt;
    std::optional<TimePoint> endedAt;
};

// Runs jobs against a shard in virtual time, with a store that answers at once and runners that run tasks,
// lose answers and carry out orders late. Counts violations of the shard's guarantees.
class FleetReplay {
public:
    explicit FleetReplay(const ReplaySettings&);

    void play(const std::vector<ReplayJob>&, Millis length);

    [[nodiscard]] const std::map<JobId, ReplayJob>& jobs() const { return m_jobs; }

    // Jobs completed within their objective from the first attempt, within three times their objective from
    // their acceptance, and all submitted jobs.
    std::uint32_t inTime { 0 };
    std::uint32_t inUsefulTime { 0 };
    std::uint32_t submitted { 0 };
    // Rejected attempts, and jobs whose last attempt was rejected.
    std::uint32_t rejected { 0 };
    std::uint32_t givenUp { 0 };
    // Rejected callers that came back for the first time, and those that were accepted then.
    std::uint32_t cameBack { 0 };
    std::uint32_t acceptedAgain { 0 };
    // Core-seconds of the jobs completed within their objective.
    double workInTime { 0 };
    std::uint32_t polls { 0 };
    // Tasks started while running or after completion; starts beyond a runner's capacity.
    std::uint32_t duplicateRuns { 0 };
    std::uint32_t overcommits { 0 };

private:
    struct VirtualRun {
        Attempt attempt { 0 };
        std::int64_t cpu { 0 };
    };
    struct VirtualRunner {
        RunnerReport report;
        // The highest fencing token seen.
        FencingToken fence { 0 };
        std::map<TaskName, VirtualRun> runs;
        // Highest attempt of each task that ended or was stopped here.
        std::map<TaskName, Attempt> highestSettled;
        std::vector<EndedTask> ended;
        std::uint64_t endCount { 0 };
        // Answers the pending poll.
        std::function<void()> answerPoll;
    };

    void at(TimePoint, std::function<void()>);
    void schedulePlan();
    void plan();
    void store();
    void send(const OutgoingStart&);
    void send(const OutgoingStop&);
    void send(const OutgoingPoll&);
    OrderOutcome start(VirtualRunner&, const StartOrder&);
    OrderOutcome stop(VirtualRunner&, const StopOrder&);
    // Whether an order with this fencing token is carried out.
    [[nodiscard]] static bool admit(VirtualRunner&, FencingToken);
    void end(VirtualRunner&, const TaskName&, EndKind);
    void arrive(const ReplayJob&);
    void submit(const JobId&, std::uint32_t retries);
    [[nodiscard]] AdmissionDecision decide(const Job&);
    void countCompleted();
    [[nodiscard]] bool isAnswerLost();
    [[nodiscard]] Millis timeoutOf(Millis wanted) const { return m_settings.fixedTimeout.value_or(wanted); }
    [[nodiscard]] Millis lateDelay();
    [[nodiscard]] WallTime wallNow() const
    {
        return WallTime { std::chrono::duration_cast<Millis>(m_now.time_since_epoch()) };
    }
    [[nodiscard]] RunnerTime clock() const
    {
        return RunnerTime(std::chrono::duration_cast<Millis>(m_now.time_since_epoch()));
    }

    ReplaySettings m_settings;
    std::mt19937_64 m_random;
    TimePoint m_now { 1'000s };
    Shard m_shard;
    std::map<RunnerId, VirtualRunner> m_runners;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::map<JobId, ReplayJob> m_jobs;
    std::set<TaskName> m_done;
    std::set<JobId> m_unfinished;
    bool m_isPlanScheduled { false };
};

// A burst of jobs with a few small tasks in one or two steps, `perSecond` of them for `length`. Actual run
// times differ from the estimates by up to the share `maxError`.
[[nodiscard]] std::vector<ReplayJob> burstOfSmallJobs(
    double perSecond, Millis length, double maxError, std::uint64_t seed);

// Makes the estimates wrong by a log-normal factor with the given standard deviation of its logarithm.
void disturbEstimates(std::vector<ReplayJob>&, double deviation, std::uint64_t seed);

} // namespace fulmar::jobs::test

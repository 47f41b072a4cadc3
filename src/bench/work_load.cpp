#include "bench/work_load.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <random>

namespace fulmar::bench::longwork {

namespace {

constexpr double workerProcessors = 32;
constexpr std::uint64_t workerMemoryMb = 65'536;
constexpr double badWorkerShare = 0.02;
constexpr double brokenJobShare = 0.01;
constexpr double idempotentShare = 0.8;
constexpr double declaredWrongBy = 4;
constexpr double smallestProcessors = 0.5;
constexpr double largestProcessors = 12;
constexpr double shortestRunTimeS = 60;
constexpr double longestRunTimeS = 600;
// Work asked for over work possible.
constexpr double offeredLoad = 1.3;
// Work that waits at the start, over what the fleet holds at once.
constexpr double backlogShare = 1.1;
constexpr std::size_t jobsPerPool = 40;

struct Job {
    TaskSpec spec;
    TrueTask truth;
};

using Random = std::mt19937_64;

double uniform(Random& random, double low, double high)
{
    return std::uniform_real_distribution<>(low, high)(random);
}

double logUniform(Random& random, double low, double high)
{
    return std::exp(uniform(random, std::log(low), std::log(high)));
}

bool chance(Random& random, double share) { return uniform(random, 0, 1) < share; }

// Some teams ask for much more than others.
std::size_t pickTeam(Random& random, std::size_t teams)
{
    return std::min(teams - 1, std::size_t(double(teams) * std::pow(uniform(random, 0, 1), 2)));
}

Job makeJob(Random& random, std::size_t number, std::size_t pools, std::size_t teams)
{
    Job job;
    auto& spec = job.spec;
    spec.job = JobId(fmt::format("job{}", number));
    spec.pool = PoolId(fmt::format("pool{}", number % pools));
    spec.team = TeamId(fmt::format("team{}", pickTeam(random, teams)));
    // One job of each pool.
    spec.urgent = number / pools == 0;
    spec.idempotent = chance(random, idempotentShare);
    job.truth.idempotent = spec.idempotent;
    job.truth.fails = chance(random, brokenJobShare);
    auto largest = spec.urgent ? largestProcessors / 3 : largestProcessors;
    job.truth.size.processors = logUniform(random, smallestProcessors, largest);
    job.truth.size.memoryMb = std::min(16'000.0, job.truth.size.processors * logUniform(random, 500, 4'000));
    auto wrongBy = logUniform(random, 1 / declaredWrongBy, declaredWrongBy);
    spec.size.processors = std::min(workerProcessors * 0.9, job.truth.size.processors * wrongBy);
    spec.size.memoryMb = std::min(double(workerMemoryMb) * 0.9, job.truth.size.memoryMb * wrongBy);
    auto runTime = logUniform(random, shortestRunTimeS, longestRunTimeS);
    spec.expectedRunTime = std::chrono::seconds(std::int64_t(runTime));
    job.truth.runTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(runTime));
    return job;
}

void addWorkers(WorkLoad& load, const WorkLoadSize& size, Random& random)
{
    for (std::size_t i = 0; i < size.workers; ++i) {
        WorkerReport worker;
        worker.worker = VmId(fmt::format("w{}", i));
        worker.pool = PoolId(fmt::format("pool{}", i % size.pools));
        worker.zone = ZoneId(fmt::format("z{}", i % 10));
        worker.rack = RackId(fmt::format("r{}", i / 4));
        worker.processors = workerProcessors;
        worker.memoryMb = workerMemoryMb;
        load.capacity += Resources { workerProcessors, double(workerMemoryMb), 0 };
        load.workers.push_back(std::move(worker));
        load.failsEverything.push_back(chance(random, badWorkerShare));
    }
}

void addTeams(WorkLoad& load, const WorkLoadSize& size)
{
    for (std::size_t i = 0; i < size.teams; ++i)
        load.teams.push_back(
            { TeamId(fmt::format("team{}", i)), load.capacity.processors / double(size.teams),
                std::uint64_t(load.capacity.memoryMb / double(size.teams)), 0 });
}

// One task of the job, its size and run time a little off the job's usual.
Arrival makeArrival(Random& random, const Job& job, std::size_t number, Duration at)
{
    Arrival arrival { at, job.spec, job.truth };
    arrival.spec.task = TaskId(fmt::format("t{}", number));
    auto& truth = arrival.truth;
    truth.size.processors *= uniform(random, 0.85, 1.15);
    truth.size.memoryMb *= uniform(random, 0.9, 1.1);
    truth.runTime = std::chrono::duration_cast<Duration>(truth.runTime * uniform(random, 0.5, 1.5));
    return arrival;
}

double workOf(const TrueTask& truth)
{
    return truth.size.processors * std::chrono::duration<double>(truth.runTime).count();
}

} // namespace

WorkLoad makeWorkLoad(const WorkLoadSize& size, std::uint64_t seed)
{
    Random random(seed);
    WorkLoad load;
    addWorkers(load, size, random);
    addTeams(load, size);
    std::vector<Job> jobs;
    for (std::size_t i = 0; i < size.pools * jobsPerPool; ++i)
        jobs.push_back(makeJob(random, i, size.pools, size.teams));

    auto pick = [&]() -> const Job& { return jobs[std::size_t(uniform(random, 0, double(jobs.size())))]; };
    double held = 0;
    while (held < load.capacity.processors * backlogShare) {
        const auto& job = pick();
        if (job.spec.urgent)
            continue;
        load.arrivals.push_back(makeArrival(random, job, load.arrivals.size(), Duration::zero()));
        held += load.arrivals.back().truth.size.processors;
    }
    auto perSecond = load.capacity.processors * offeredLoad;
    for (double at = 0; at < std::chrono::duration<double>(size.time).count();) {
        load.arrivals.push_back(makeArrival(random, pick(), load.arrivals.size(),
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at))));
        at += workOf(load.arrivals.back().truth) / perSecond;
    }
    return load;
}

} // namespace fulmar::bench::longwork

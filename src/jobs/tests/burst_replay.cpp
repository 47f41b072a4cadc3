#include "jobs/tests/burst_replay.h"

#include <algorithm>
#include <cmath>

namespace fulmar::jobs::test {

namespace {

constexpr Millis step { 50 };
constexpr Millis moveTime { 2'000 };
constexpr std::uint32_t coresOfVm = 32;
constexpr std::size_t vmCount = 110;
// In a turn, a pool of index i has so many jobs a second of this shard.
constexpr double busiestRate = 30;
constexpr double quietShare = 0.01;

struct VirtualVm {
    // Empty on standby.
    std::optional<std::size_t> pool;
    TimePoint usableFrom;
    std::vector<TimePoint> runs;
    TimePoint idleSince;
    bool isCordoned { false };
};

struct VirtualJob {
    std::uint32_t waiting { 0 };
    Millis duration { 0 };
    TimePoint dueBy;
    bool isLate { false };
};

struct VirtualPool {
    DemandMeter meter;
    MinPoolSize floor;
    std::vector<TimePoint> turns;
    std::deque<VirtualJob> jobs;
};

PoolId poolId(std::size_t index) { return PoolId("pool-" + std::to_string(index)); }

} // namespace

std::vector<std::vector<TimePoint>> turnsOf(const TurnLoad& load)
{
    std::mt19937_64 random(load.seed);
    std::vector<std::vector<TimePoint>> turns(load.pools);
    std::uniform_int_distribution<std::int64_t> jitter(-load.jitter.count(), load.jitter.count());
    std::uniform_int_distribution<std::int64_t> anywhere(0, load.period.count() - load.length.count());
    for (std::uint32_t pool = 0; pool < load.pools; ++pool)
        for (auto at = 3'000ms; at < load.day; at += load.period) {
            auto offset = load.isIrregular ? Millis(anywhere(random))
                                           : load.period * pool / load.pools + Millis(jitter(random));
            turns[pool].emplace_back(at + offset);
        }
    return turns;
}

void ReplayCost::operator+=(const ReplayCost& other)
{
    jobs += other.jobs;
    late += other.late;
    vmSeconds += other.vmSeconds;
    moves += other.moves;
    bursts.hits += other.bursts.hits;
    bursts.misses += other.bursts.misses;
}

ReplayCost replayTurns(const TurnLoad& load, bool isForecast)
{
    std::mt19937_64 random(load.seed + 1'000);
    std::uniform_int_distribution<std::uint32_t> width(8, 60);
    std::uniform_int_distribution<int> duration(400, 900);
    ReplayCost cost;
    BurstForecast forecast(moveTime + 250ms);
    std::vector<VirtualPool> pools(load.pools);
    auto turns = turnsOf(load);
    for (std::size_t i = 0; i < pools.size(); ++i)
        pools[i].turns = turns[i];
    std::vector<VirtualVm> vms(vmCount);
    for (std::size_t i = 0; i < vms.size() / 2; ++i)
        vms[i].pool = i % pools.size();
    std::uint64_t jobNumber = 0;
    for (TimePoint now { 0ms }; now < TimePoint(load.day); now += step) {
        for (std::size_t i = 0; i < pools.size(); ++i) {
            auto& pool = pools[i];
            auto inTurn = std::any_of(pool.turns.begin(), pool.turns.end(),
                [&](TimePoint begin) { return now >= begin && now < begin + load.length; });
            auto rate = busiestRate / double(i + 1) * (inTurn ? 1 : quietShare);
            std::poisson_distribution<int> arrivals(rate * std::chrono::duration<double>(step).count());
            for (auto count = arrivals(random); count > 0; --count) {
                Millis runTime(duration(random));
                auto tasks = width(random);
                auto work = double(tasks) * double(runTime.count());
                auto objective = runTime * 8 / 5 + 600ms;
                pool.meter.recordArrival(JobId(std::to_string(jobNumber++)), work, runTime, objective, now);
                if (isForecast)
                    forecast.recordArrival(poolId(i), work, now);
                pool.jobs.push_back({ tasks, runTime, now + objective - runTime });
            }
        }
        forecast.update(now);
        MoveInput input { {}, PoolId("standby"), {} };
        for (std::size_t i = 0; i < pools.size(); ++i) {
            auto& pool = pools[i];
            PoolNeed need { poolId(i) };
            double running = 0;
            for (std::size_t v = 0; v < vms.size(); ++v) {
                auto& vm = vms[v];
                if (vm.pool != i)
                    continue;
                auto hadRuns = !vm.runs.empty();
                std::erase_if(vm.runs, [now](TimePoint end) { return end <= now; });
                if (hadRuns && vm.runs.empty())
                    vm.idleSince = now;
                for (auto& job : pool.jobs)
                    for (; job.waiting > 0 && now >= vm.usableFrom && !vm.isCordoned
                         && vm.runs.size() < coresOfVm;
                         --job.waiting) {
                        vm.runs.push_back(now + job.duration);
                        job.isLate = job.isLate || now > job.dueBy;
                    }
                running += double(vm.runs.size());
                ++need.present;
                cost.vmSeconds += std::chrono::duration<double>(step).count();
                if (now >= vm.usableFrom && vm.runs.empty())
                    need.idle.push_back(
                        { VmId(std::to_string(v)), std::chrono::duration_cast<Millis>(now - vm.idleSince) });
                else if (now >= vm.usableFrom)
                    need.busy.emplace_back(std::to_string(v));
            }
            double waiting = 0;
            for (const auto& job : pool.jobs)
                waiting += double(job.waiting) * double(job.duration.count());
            while (!pool.jobs.empty() && pool.jobs.front().waiting == 0) {
                cost.late += pool.jobs.front().isLate ? 1 : 0;
                ++cost.jobs;
                pool.jobs.pop_front();
            }
            // As Shard::demandOf() and VmController::planMoves().
            auto horizon = std::clamp<Millis>(pool.meter.meanSlack() / 2, 500ms, 2'500ms);
            auto cores = std::max({ running + waiting / double(horizon.count()),
                pool.meter.demandedCores(now, forecast.isProven(need.pool)),
                forecast.expectedCores(need.pool, now) });
            need.needed = std::max(2U, std::uint32_t(std::ceil(cores * 1.4 / coresOfVm)));
            need.minBetweenBursts = pool.floor.update(
                need.needed, std::uint32_t(vms.size() / pools.size()), pool.meter.meanObjective(), now);
            if (forecast.isProven(need.pool))
                need.minBetweenBursts = 0;
            std::sort(need.idle.begin(), need.idle.end(),
                [](const auto& a, const auto& b) { return a.idleFor > b.idleFor; });
            input.pools.push_back(std::move(need));
        }
        for (std::size_t v = 0; v < vms.size(); ++v) {
            vms[v].isCordoned = false;
            if (!vms[v].pool && now >= vms[v].usableFrom)
                input.standby.emplace_back(std::to_string(v));
        }
        auto plan = planMoves(std::move(input));
        for (const auto& vm : plan.cordoned)
            vms[std::stoul(vm.value())].isCordoned = true;
        for (const auto& move : plan.moves) {
            auto& vm = vms[std::stoul(move.vm.value())];
            vm.pool.reset();
            for (std::size_t i = 0; i < pools.size(); ++i)
                if (poolId(i) == move.to)
                    vm.pool = i;
            vm.usableFrom = vm.idleSince = now + moveTime;
            ++cost.moves;
        }
    }
    cost.bursts = forecast.counts();
    return cost;
}

} // namespace fulmar::jobs::test

#include "bench/fleet_moves.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <fmt/format.h>
#include <numeric>
#include <random>
#include <vector>
#include <xxhash.h>

namespace fulmar::bench {

namespace {

constexpr std::uint32_t seed = 1213;
constexpr double stepSeconds = 0.25;
constexpr int steps = 2'400;
constexpr int stepsPerRound = 2;
// Reports show the demand of this many steps ago.
constexpr std::size_t reportLag = 4;
// From the decision to the first call in the new pool: leaving row, confirmations, calls in flight, new row.
constexpr int stepsOfMove = 6;
constexpr double slackSeconds = 2;
constexpr double burstFactor = 5;
constexpr double quietFactor = 0.05;
constexpr double shortestBurstSeconds = 5;
constexpr double longestBurstSeconds = 15;
// Pools that take turns; one of them has its burst.
constexpr std::size_t turnGroup = 5;

struct Pool {
    double queue { 0 };
    std::uint32_t serving { 0 };
    std::uint32_t leaving { 0 };
    std::uint32_t arriving { 0 };
    std::deque<double> reports;
};

struct Arrival {
    int step;
    std::size_t from;
    std::size_t to;
    std::uint32_t vms;
};

// Demand in VMs' worth of work per second. In each group of pools one after the other has its burst.
class Demand {
public:
    Demand(std::size_t pools, double meanVms)
        : m_mean(meanVms)
        , m_random(seed)
        , m_bursting((pools + turnGroup - 1) / turnGroup)
        , m_until(m_bursting.size())
    {
    }

    void advance(double now)
    {
        std::uniform_real_distribution<double> length(shortestBurstSeconds, longestBurstSeconds);
        std::uniform_int_distribution<std::size_t> skip(1, turnGroup - 1);
        for (std::size_t group = 0; group < m_bursting.size(); ++group)
            if (now >= m_until[group]) {
                m_bursting[group] = (m_bursting[group] + skip(m_random)) % turnGroup;
                m_until[group] = now + length(m_random);
            }
    }

    double of(std::size_t pool) const
    {
        bool bursts = m_bursting[pool / turnGroup] == pool % turnGroup;
        return m_mean * (bursts ? burstFactor : quietFactor);
    }

private:
    double m_mean;
    std::mt19937 m_random;
    std::vector<std::size_t> m_bursting;
    std::vector<double> m_until;
};

class MoveSimulation {
public:
    MoveSimulation(
        const FleetSize& size, MoveStyle style, std::size_t vmsPerPool, const fleet::MoveSettings& settings)
        : m_style(style)
        , m_settings(settings)
        , m_planner(plannerSettings(style, settings))
        , m_demand(size.pools, size.meanLoad * double(size.vms) / double(size.pools))
        , m_pools(size.pools)
    {
        for (std::size_t pool = 0; pool < m_pools.size(); ++pool) {
            m_pools[pool].serving = std::uint32_t(vmsPerPool);
            m_names.emplace_back(fmt::format("pool-{}", pool));
        }
    }

    MoveOutcome run()
    {
        for (m_step = 0; m_step < steps; ++m_step) {
            m_demand.advance(m_step * stepSeconds);
            arrive();
            serve();
            if (m_style != MoveStyle::FixedReserve && m_step % stepsPerRound == 0)
                plan();
        }
        m_outcome.lateShare = m_late / m_arrived;
        m_outcome.bufferCost = (m_held - m_used) / m_used;
        return m_outcome;
    }

private:
    static fleet::MoveSettings plannerSettings(MoveStyle style, fleet::MoveSettings settings)
    {
        if (style == MoveStyle::HeldPeaks)
            settings.peakHold = std::chrono::seconds(5);
        return settings;
    }

    void arrive()
    {
        std::erase_if(m_arrivals, [&](const Arrival& arrival) {
            if (arrival.step > m_step)
                return false;
            m_pools[arrival.from].leaving -= arrival.vms;
            m_pools[arrival.to].arriving -= arrival.vms;
            m_pools[arrival.to].serving += arrival.vms;
            return true;
        });
    }

    // Work that would wait longer than its slack is late; it is refused, and does not hold up what follows.
    void serve()
    {
        for (std::size_t number = 0; number < m_pools.size(); ++number) {
            auto& pool = m_pools[number];
            auto work = m_demand.of(number) * stepSeconds;
            auto capacity = pool.serving * stepSeconds;
            m_arrived += work;
            auto done = std::min(pool.queue + work, capacity);
            auto waiting = pool.queue + work - done;
            pool.queue = std::min(waiting, pool.serving * slackSeconds);
            m_late += waiting - pool.queue;
            m_used += done;
            m_held += (pool.serving + pool.leaving) * stepSeconds;
            pool.reports.push_back(m_demand.of(number) + pool.queue / slackSeconds);
            if (pool.reports.size() > reportLag + 1)
                pool.reports.pop_front();
        }
    }

    void plan()
    {
        auto began = std::chrono::steady_clock::now();
        auto moves = m_style == MoveStyle::Proportional ? proportionalMoves() : plannedMoves();
        m_outcome.planning += std::chrono::steady_clock::now() - began;
        ++m_outcome.rounds;
        for (const auto& move : moves)
            start(move);
    }

    std::vector<Arrival> plannedMoves()
    {
        std::vector<fleet::PoolLoad> loads;
        std::map<PoolId, std::size_t> numbers;
        for (std::size_t number = 0; number < m_pools.size(); ++number) {
            const auto& pool = m_pools[number];
            loads.push_back({ m_names[number], number == 0, pool.serving, pool.leaving, pool.arriving,
                pool.reports.front() });
            numbers[m_names[number]] = number;
        }
        TimePoint now { std::chrono::milliseconds(std::int64_t(m_step * stepSeconds * 1000)) };
        std::vector<Arrival> moves;
        for (const auto& move : m_planner.plan(now, loads))
            moves.push_back({ m_step + stepsOfMove, numbers[move.from], numbers[move.to], move.vms });
        return moves;
    }

    // The naive way: every pool should have its share of the demand; the first surplus goes to the first
    // lack.
    std::vector<Arrival> proportionalMoves() const
    {
        double demand = 0;
        std::uint32_t vms = 0;
        for (const auto& pool : m_pools) {
            demand += pool.reports.front();
            vms += pool.serving;
        }
        std::vector<std::int64_t> surplus;
        for (const auto& pool : m_pools)
            surplus.push_back(pool.serving - std::int64_t(pool.reports.front() / demand * vms));
        std::vector<Arrival> moves;
        for (std::size_t to = 0; to < m_pools.size(); ++to)
            for (std::size_t from = 0; from < m_pools.size() && surplus[to] < 0; ++from) {
                auto limit = std::int64_t(mayLeave(m_pools[from]));
                auto count = std::min({ surplus[from], -surplus[to], limit });
                if (count <= 0)
                    continue;
                moves.push_back({ m_step + stepsOfMove, from, to, std::uint32_t(count) });
                surplus[from] = 0;
                surplus[to] += count;
            }
        return moves;
    }

    std::uint32_t mayLeave(const Pool& pool) const
    {
        auto allowed = std::uint32_t(m_settings.leavingShare * (pool.serving + pool.leaving));
        return allowed > pool.leaving ? allowed - pool.leaving : 0;
    }

    void start(const Arrival& move)
    {
        m_pools[move.from].serving -= move.vms;
        m_pools[move.from].leaving += move.vms;
        m_pools[move.to].arriving += move.vms;
        m_arrivals.push_back(move);
        m_outcome.moves += move.vms;
        std::array<std::uint64_t, 4> decision { std::uint64_t(m_step), move.from, move.to, move.vms };
        m_outcome.signature = XXH64(decision.data(), sizeof(decision), m_outcome.signature);
    }

    MoveStyle m_style;
    fleet::MoveSettings m_settings;
    fleet::MovePlanner m_planner;
    Demand m_demand;
    std::vector<Pool> m_pools;
    std::vector<PoolId> m_names;
    std::vector<Arrival> m_arrivals;
    int m_step { 0 };
    double m_late { 0 };
    double m_arrived { 0 };
    double m_used { 0 };
    double m_held { 0 };
    MoveOutcome m_outcome;
};

} // namespace

MoveOutcome runMoves(
    const FleetSize& size, MoveStyle style, std::size_t vmsPerPool, const fleet::MoveSettings& settings)
{
    return MoveSimulation(size, style, vmsPerPool, settings).run();
}

std::size_t fixedReserveFor(const FleetSize& size, double lateShare)
{
    std::size_t vmsPerPool = 1;
    while (runMoves(size, MoveStyle::FixedReserve, vmsPerPool, {}).lateShare > lateShare)
        ++vmsPerPool;
    return vmsPerPool;
}

} // namespace fulmar::bench

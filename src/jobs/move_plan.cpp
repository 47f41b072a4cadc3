#include "jobs/move_plan.h"

#include <algorithm>

namespace fulmar::jobs {

namespace {

// Shorter idle times occur between two tasks of one job.
constexpr Millis idleBeforeTransfer { 250 };
// A move costs about as much as one second of an idle VM, and the VM takes 1.5 s to come back.
constexpr Millis idleBeforeStandby { 1'500 };

// Each list request has a cost; moves take 1.5 s, so a list of this age is fresh enough to plan them.
constexpr Millis minPauseAfterList { 500 };
// The pause is nine times the duration of the request, so that lists use at most a tenth of the link's
// capacity; but plans need a list every two seconds.
constexpr int pauseFactor = 9;
constexpr Millis maxPauseAfterList { 2'000 };

std::uint32_t surplus(const PoolNeed& pool)
{
    return pool.present > pool.needed ? pool.present - pool.needed : 0;
}

std::uint32_t deficit(const PoolNeed& pool)
{
    return pool.needed > pool.present ? pool.needed - pool.present : 0;
}

std::optional<VmId> takeIdle(PoolNeed& pool, std::uint32_t minRemaining, Millis idleAtLeast)
{
    if (pool.present <= minRemaining || pool.idle.empty() || pool.idle.front().idleFor < idleAtLeast)
        return std::nullopt;
    auto vm = pool.idle.front().vm;
    pool.idle.erase(pool.idle.begin());
    --pool.present;
    return vm;
}

} // namespace

Millis pauseAfterList(Duration took)
{
    return std::clamp(std::chrono::ceil<Millis>(took) * pauseFactor, minPauseAfterList, maxPauseAfterList);
}

MovePlan planMoves(MoveInput input)
{
    MovePlan plan;
    auto& moves = plan.moves;
    auto& pools = input.pools;
    std::stable_sort(pools.begin(), pools.end(),
        [](const PoolNeed& a, const PoolNeed& b) { return deficit(a) > deficit(b); });
    for (auto& pool : pools) {
        while (deficit(pool) > 0 && !input.standby.empty()) {
            moves.push_back({ input.standby.back(), input.standbyPool, pool.pool });
            input.standby.pop_back();
            ++pool.present;
        }
        for (auto& other : pools) {
            while (deficit(pool) > 0) {
                auto vm = takeIdle(other, other.needed, idleBeforeTransfer);
                if (!vm)
                    break;
                moves.push_back({ *vm, other.pool, pool.pool });
                ++pool.present;
            }
        }
    }
    for (auto& pool : pools) {
        if (!input.standbyPool.empty())
            while (auto vm = takeIdle(pool, std::max(pool.needed, pool.minBetweenBursts), idleBeforeStandby))
                moves.push_back({ *vm, pool.pool, input.standbyPool });
        auto busySurplus = surplus(pool) - std::min<std::size_t>(surplus(pool), pool.idle.size());
        busySurplus = std::min(busySurplus, pool.busy.size());
        plan.cordoned.insert(pool.busy.begin(), pool.busy.begin() + std::ptrdiff_t(busySurplus));
    }
    return plan;
}

} // namespace fulmar::jobs

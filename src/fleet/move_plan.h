#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace fulmar::fleet {

// What a user gains from short roll-outs, small buffers and few moves; only the proportions matter.
struct UserWeights {
    double rollOut { 1 };
    double buffer { 1 };
    double moves { 1 };

    // Two ready examples.
    [[nodiscard]] static constexpr UserWeights rollOutFirst() { return { 3, 1, 1 }; }
    [[nodiscard]] static constexpr UserWeights bufferFirst() { return { 1, 3, 1 }; }
};

struct MoveSettings {
    // VMs held for one VM's worth of demand.
    double headroom { 1.2 };
    // A pool's need is that of its highest demand within this time.
    Duration peakHold { std::chrono::milliseconds(500) };
    // VMs that a pool keeps whatever its demand.
    std::uint32_t floor { 2 };
    // VMs on their way at once, as a share of the pool that they leave.
    double leavingShare { 0.3 };
    // VMs that one round moves at most; each costs the platform two transactions.
    std::uint32_t movesPerRound { 10 };
};

// Weight on the buffer lowers the headroom; weight on few moves holds peaks for longer; weight on roll-out
// leaves more of the budgets to maintenance waves.
[[nodiscard]] MoveSettings moveSettingsFor(const UserWeights&);

// A pool as last reported. Demand lags; the counts come from the rows.
struct PoolLoad {
    PoolId pool;
    bool isSpare { false };
    std::uint32_t serving { 0 };
    std::uint32_t leaving { 0 };
    // VMs on their way into the pool.
    std::uint32_t arriving { 0 };
    // VMs' worth of work that arrives, that in the queue included.
    double demandVms { 0 };
};

struct PoolMove {
    PoolId from;
    PoolId to;
    std::uint32_t vms { 0 };

    bool operator==(const PoolMove&) const = default;
};

// Decides which pools lend VMs to which. VMs stay where they were needed last until another pool is short, so
// that a burst's end causes no move. VMs on their way count for the pool that gets them, so that late reports
// are not answered twice.
class MovePlanner {
public:
    explicit MovePlanner(MoveSettings settings)
        : m_settings(settings)
    {
    }

    [[nodiscard]] std::vector<PoolMove> plan(TimePoint now, const std::vector<PoolLoad>&);

private:
    struct Sample {
        TimePoint at {};
        double demandVms { 0 };
    };

    std::uint32_t needOf(TimePoint now, const PoolLoad&);

    MoveSettings m_settings;
    // Recent demands of each pool, falling, so that the first is the highest within the hold time.
    std::map<PoolId, std::deque<Sample>> m_peaks;
};

} // namespace fulmar::fleet

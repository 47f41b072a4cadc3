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

// Relative importance of fast maintenance waves (`rollOut`), a small reserve of VMs (`buffer`) and few moves;
// only the proportions matter.
struct UserWeights {
    double rollOut { 1 };
    double buffer { 1 };
    double moves { 1 };

    // Presets.
    [[nodiscard]] static constexpr UserWeights rollOutFirst() { return { 3, 1, 1 }; }
    [[nodiscard]] static constexpr UserWeights bufferFirst() { return { 1, 3, 1 }; }
};

struct MoveSettings {
    // Number of VMs that a pool needs for each VM's worth of demand.
    double headroomFactor { 1.2 };
    // A pool's need follows its highest demand within this time.
    Duration peakHold { std::chrono::milliseconds(500) };
    // Number of VMs that a pool needs even without demand.
    std::uint32_t minimumVms { 2 };
    // Largest share of a pool's VMs that may be moving to other pools at once.
    double leavingShare { 0.3 };
    // Largest number of VMs moved in one round; each move costs the platform two transactions.
    std::uint32_t movesPerRound { 10 };
};

// A higher weight on the buffer lowers the headroom, one on moves lengthens the peak hold, and one on the
// roll-out leaves more of the budgets to maintenance waves.
[[nodiscard]] MoveSettings moveSettingsFor(const UserWeights&);

// A pool's VM counts according to the rows, and its last reported demand, which lags.
struct PoolLoad {
    PoolId pool;
    bool isSpare { false };
    std::uint32_t serving { 0 };
    // VMs of this pool that are moving to another pool.
    std::uint32_t leaving { 0 };
    // VMs that are moving into the pool.
    std::uint32_t arriving { 0 };
    // Demand in VMs' worth of work, queued work included.
    double demandVms { 0 };
};

struct PoolMove {
    PoolId from;
    PoolId to;
    std::uint32_t vms { 0 };

    bool operator==(const PoolMove&) const = default;
};

// Decides how many VMs move from which pool to which. VMs stay in their pool until another pool is short, so
// that the end of a burst causes no move. VMs in transit count for the pool that receives them, so that a
// late demand report does not cause a second move.
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

    std::uint32_t requiredVms(TimePoint now, const PoolLoad&);

    MoveSettings m_settings;
    // Recent demand samples of each pool in decreasing order; the first is the highest within `peakHold`.
    std::map<PoolId, std::deque<Sample>> m_peaks;
};

} // namespace fulmar::fleet

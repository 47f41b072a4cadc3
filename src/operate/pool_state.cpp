#include "operate/pool_state.h"

#include "operate/rows.h"

#include <cmath>

namespace fulmar::operate {

namespace {

// Keeps 0.1 * 30 from being taken for less than 3.
constexpr double roundingSlack = 1e-9;

} // namespace

void PoolState::add(VmState state)
{
    ++vms;
    switch (state) {
    case VmState::Serving:
        ++serving;
        break;
    case VmState::Leaving:
        ++leaving;
        break;
    case VmState::Maintenance:
        ++maintenance;
        break;
    case VmState::Failed:
        ++failed;
        break;
    }
}

std::uint32_t allowedUnavailable(double share, std::uint32_t vms)
{
    return std::uint32_t(std::floor(share * vms + roundingSlack));
}

std::map<PoolId, PoolState> poolStates(const FleetView& view)
{
    std::map<PoolId, PoolState> states;
    forEachRow<PoolConfig>(view.config, keys::poolPrefix,
        [&](const Row&, const PoolConfig& config) { states.try_emplace(config.pool); });
    forEachRow<VmRecord>(view.config, keys::vmPrefix,
        [&](const Row&, const VmRecord& record) { states[record.pool].add(record.state); });
    return states;
}

} // namespace fulmar::operate

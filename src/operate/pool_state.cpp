#include "operate/pool_state.h"

#include "operate/rows.h"

namespace fulmar::operate {

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

std::map<PoolId, PoolState> poolStates(const OperatorView& view)
{
    std::map<PoolId, PoolState> states;
    forEachRow<PoolConfig>(view.config, keys::poolPrefix,
        [&](const Row&, const PoolConfig& config) { states.try_emplace(config.pool); });
    forEachRow<VmRecord>(view.config, keys::vmPrefix,
        [&](const Row&, const VmRecord& record) { states[record.pool].add(record.state); });
    return states;
}

} // namespace fulmar::operate

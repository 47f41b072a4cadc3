#pragma once

#include "config/model.h"
#include "fleet/budget.h"
#include "operate/operator_view.h"

#include <cstdint>
#include <map>
#include <vector>

namespace fulmar::fleet {
}

namespace fulmar::operate {

// How a pool's VMs stand against its availability budget.
struct PoolState {
    std::uint32_t vms { 0 };
    std::uint32_t serving { 0 };
    std::uint32_t leaving { 0 };
    std::uint32_t maintenance { 0 };
    std::uint32_t failed { 0 };

    // VMs that are unavailable for any reason.
    [[nodiscard]] std::uint32_t spent() const { return leaving + maintenance + failed; }
    void add(VmState);
};

// The state of every pool that has a configuration row or a VM.
[[nodiscard]] std::map<PoolId, PoolState> poolStates(const OperatorView&);

} // namespace fulmar::operate

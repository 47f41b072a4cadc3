#pragma once

#include "config/model.h"
#include "platform/table.h"

#include <cstddef>
#include <vector>

namespace fulmar::bench {

// Sizes of a fleet in the proportions of the design size: 5,200 VMs, 202 pools and services, 590 teams,
// 10 zones.
struct FleetShape {
    std::size_t vms { 5200 };

    [[nodiscard]] std::size_t pools() const { return share(202); }
    [[nodiscard]] std::size_t teams() const { return share(590); }

private:
    // At least one, so that every VM has a pool.
    [[nodiscard]] std::size_t share(std::size_t atDesignSize) const
    {
        auto scaled = vms * atDesignSize / 5200;
        return scaled == 0 ? 1 : scaled;
    }
};

// The VM's row as it is in ordinary service.
[[nodiscard]] VmRecord vmRecord(std::size_t number, const FleetShape&);

// All configuration rows of such a fleet: VMs, pools, services and teams; each has a version of its own.
[[nodiscard]] Changes configurationRows(const FleetShape&);

} // namespace fulmar::bench

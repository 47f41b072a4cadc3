#pragma once

#include "config/model.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace fulmar {

// Counts the unavailable VMs of each pool, rack and zone against the pools' availability budgets. Every
// reason counts alike: failed, leaving, in maintenance, moving, cut off, unknown.
class BudgetLedger {
public:
    void addPool(const PoolConfig&);

    // Counts a VM of its pool; `available` is false for any reason that keeps it from serving.
    void addVm(const VmRecord&, bool available);

    // Why one more VM cannot be taken out of service; empty if it can.
    [[nodiscard]] std::string refusal(const VmRecord&) const;

    // Takes a serving VM out of service, or puts one back.
    void take(const VmRecord&);
    void giveBack(const VmRecord&);

    // Unavailable VMs of the pool that the budget still allows; negative when failures exceed it.
    [[nodiscard]] std::int64_t remaining(const PoolId&) const;

    [[nodiscard]] std::uint32_t unavailable(const PoolId&) const;
    [[nodiscard]] std::uint32_t total(const PoolId&) const;

private:
    struct PoolCount {
        PoolConfig config;
        bool configured { false };
        std::uint32_t total { 0 };
        std::uint32_t unavailable { 0 };
        std::unordered_map<RackId, std::uint32_t> unavailableByRack;
        std::unordered_map<ZoneId, std::uint32_t> unavailableByZone;
    };

    std::unordered_map<PoolId, PoolCount> m_pools;
};

// VMs that a share of a pool allows, rounded down.
[[nodiscard]] std::uint32_t allowedVms(double share, std::uint32_t poolSize);

} // namespace fulmar

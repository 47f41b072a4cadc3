#pragma once

#include "config/model.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace fulmar::fleet {

// Counts the unavailable VMs of each pool, rack and zone against the pools' availability budgets. Every
// reason counts alike: failed, leaving, in maintenance, moving, cut off, unknown.
class BudgetLedger {
public:
    void addPool(const PoolConfig&);

    // Counts a VM of its pool; `available` is false for any reason that keeps it from serving.
    void addVm(const VmRecord&, bool available);

    // The unavailable VM is on its way to another pool: budgets must hold for the smaller pool too.
    void addDeparture(const VmRecord&);

    // Whether one more VM can be taken out of service.
    [[nodiscard]] bool allows(const VmRecord&) const;

    // Why one more VM cannot be taken out of service, or moved to another pool; empty if it can.
    [[nodiscard]] std::string refusal(const VmRecord&) const;
    [[nodiscard]] std::string refusalOfMove(const VmRecord&) const;

    // Takes a serving VM out of service, or puts one back.
    void take(const VmRecord&);
    void giveBack(const VmRecord&);

    // Unavailable VMs of the pool that the budget still allows; negative when failures exceed it.
    [[nodiscard]] std::int64_t remaining(const PoolId&) const;

    [[nodiscard]] std::uint32_t unavailable(const PoolId&) const;
    [[nodiscard]] std::uint32_t total(const PoolId&) const;

private:
    struct DomainCount {
        std::uint32_t unavailable { 0 };
        std::uint32_t departing { 0 };
    };

    struct PoolCount {
        PoolConfig config;
        bool configured { false };
        std::uint32_t total { 0 };
        DomainCount whole;
        std::unordered_map<RackId, DomainCount> racks;
        std::unordered_map<ZoneId, DomainCount> zones;
    };

    // VMs of a rack or zone that may be unavailable, also after all departures from elsewhere.
    static std::uint32_t allowedIn(const PoolCount&, const DomainCount&, double share);

    std::unordered_map<PoolId, PoolCount> m_pools;
};

// VMs that a share of a pool allows, rounded down.
[[nodiscard]] std::uint32_t allowedVms(double share, std::uint32_t poolSize);

} // namespace fulmar::fleet

namespace fulmar {

// Names that other slices share.
using fleet::allowedVms;
using fleet::BudgetLedger;

} // namespace fulmar

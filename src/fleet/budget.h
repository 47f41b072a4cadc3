#pragma once

#include "config/model.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace fulmar::fleet {

// Counts the unavailable VMs of each pool, rack and zone against the pools' availability budgets. All reasons
// count equally: failed, leaving, in maintenance, moving, unreachable, unknown.
class BudgetLedger {
public:
    void addPool(const PoolConfig&);

    // Adds a VM to its pool's counts; `available` is false if it cannot serve for any reason.
    void addVm(const VmRecord&, bool available);

    // Records that a VM already counted as unavailable is moving to another pool. The rack and zone budgets
    // must also hold for the pool's size without that VM.
    void addDeparture(const VmRecord&);

    // Whether the budgets allow this VM to be taken out of service.
    [[nodiscard]] bool allows(const VmRecord&) const;

    // Why this VM cannot be taken out of service, or moved to another pool; empty if it can.
    [[nodiscard]] std::string refusal(const VmRecord&) const;
    [[nodiscard]] std::string refusalOfMove(const VmRecord&) const;

    // Counts a serving VM as unavailable, or an unavailable one as serving again.
    void markUnavailable(const VmRecord&);
    void markAvailable(const VmRecord&);

    // Number of further VMs that the pool's budget allows to be unavailable; negative if failures exceed it.
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
        DomainCount poolWide;
        std::unordered_map<RackId, DomainCount> racks;
        std::unordered_map<ZoneId, DomainCount> zones;
    };

    // Number of VMs of a rack or zone that may be unavailable once all VMs moving out of the pool's other
    // racks or zones have left it.
    static std::uint32_t allowedIn(const PoolCount&, const DomainCount&, double share);

    std::unordered_map<PoolId, PoolCount> m_pools;
};

// Number of VMs that make up a share of a pool, rounded down.
[[nodiscard]] std::uint32_t allowedVms(double share, std::uint32_t poolSize);

} // namespace fulmar::fleet

namespace fulmar {

// Names that other modules use unqualified.
using fleet::allowedVms;
using fleet::BudgetLedger;

} // namespace fulmar

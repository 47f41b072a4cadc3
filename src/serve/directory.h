#pragma once

#include "config/model.h"
#include "platform/table.h"

#include <map>
#include <set>
#include <vector>

namespace fulmar::serve {

// A VM that can serve calls of a service.
struct Target {
    VmId vm;
    std::string address;
    ZoneId zone;
    RackId rack;
    // False if the state in the VM's row is not Serving. Calls in flight still run to completion.
    bool serving { true };
    // Epoch of the VM's row.
    Epoch epoch { 0 };

    bool operator==(const Target&) const = default;
};

struct ServiceEntry {
    ServiceConfig config;
    std::vector<Target> targets;
};

// Complete entries of the services whose configuration or targets changed, and the services that were
// removed.
struct DirectoryChange {
    std::vector<ServiceEntry> changed;
    std::vector<ServiceId> removed;
};

// Maps services to their VMs from the rows under config/. The cost of applying a row does not depend on the
// size of the fleet; a change contains only the affected services.
class DirectoryBuilder {
public:
    // Applies the newest version of a row. Rows of other kinds are ignored. A row that cannot be decoded is
    // counted, and the previous state stays in force.
    void apply(const Row&);

    // Changes since the previous call.
    [[nodiscard]] DirectoryChange takeChange();

    [[nodiscard]] std::size_t undecodedRows() const { return m_undecodedRows; }

private:
    void applyService(const Row&);
    void applyVm(const Row&);
    void removeVm(const VmId&);
    [[nodiscard]] ServiceEntry entryOf(const ServiceConfig&) const;

    std::map<std::string, ServiceConfig> m_services;
    std::map<PoolId, std::set<ServiceId>> m_servicesOfPool;
    std::map<PoolId, std::map<VmId, Target>> m_pools;
    std::map<VmId, PoolId> m_poolOfVm;
    std::set<PoolId> m_changedPools;
    std::set<ServiceId> m_changedServices;
    std::set<ServiceId> m_removedServices;
    std::size_t m_undecodedRows { 0 };
};

} // namespace fulmar::serve

#pragma once

#include "config/model.h"
#include "platform/table.h"

#include <map>
#include <set>
#include <vector>

namespace fulmar::serve {

// A VM that a service's calls can be sent to.
struct Target {
    VmId vm;
    std::string address;
    ZoneId zone;
    RackId rack;
    // False once the VM's row says anything but Serving; calls in flight there still end in order.
    bool serving { true };
    // Epoch of the VM's row.
    Epoch epoch { 0 };

    bool operator==(const Target&) const = default;
};

struct ServiceEntry {
    ServiceConfig config;
    std::vector<Target> targets;
};

// Services whose configuration or targets changed, whole, and those that are gone.
struct DirectoryChange {
    std::vector<ServiceEntry> changed;
    std::vector<ServiceId> removed;
};

// Finds which services use which VMs, from the rows under config/. Applying a row costs the same however
// large the fleet is; a change carries only the services that it touches.
class DirectoryBuilder {
public:
    // Takes a row in its newest version. Rows of other kinds are skipped; a row that does not decode leaves
    // what was known before in force, and is counted.
    void apply(const Row&);

    // What has changed since the last call.
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

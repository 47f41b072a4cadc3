#pragma once

#include "config/model.h"
#include "config/replica.h"

#include <map>
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
};

struct ServiceEntry {
    ServiceConfig config;
    std::vector<Target> targets;
};

// Every service with its targets, as the newest known configuration has them.
struct ServiceDirectory {
    std::map<ServiceId, ServiceEntry> services;
};

// Builds the directory from the rows under config/. A row that does not decode is left out.
[[nodiscard]] ServiceDirectory buildDirectory(const std::map<std::string, Row>& rows);

} // namespace fulmar::serve

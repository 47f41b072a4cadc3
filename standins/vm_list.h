#pragma once

#include "core/clock.h"
#include "platform/table.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace fulmar::standin {

// The platform's VMs as they are, and the list that shows them with a lag.
class VmList {
public:
    VmList(Duration lag, Duration rebootTime);

    void add(TimePoint now, ListedVm);
    // Announces that the VM will go; it stays usable until removed.
    void markLeaving(TimePoint now, const VmId&);
    // The VM is gone for good.
    void remove(TimePoint now, const VmId&);

    // Takes the VM down for the reboot time. Asked twice by one operation it reboots once.
    [[nodiscard]] Result<void> reboot(TimePoint now, const VmId&, const OperationId&);

    // The VMs as they were one lag ago.
    [[nodiscard]] std::vector<ListedVm> list(TimePoint now) const;

    // Whether the VM is up at this moment.
    [[nodiscard]] bool isUp(TimePoint now, const VmId&) const;

    [[nodiscard]] std::uint64_t reboots() const { return m_operations.size(); }
    void setLag(Duration lag) { m_lag = lag; }

private:
    // Presence from a moment on; empty while the VM is down.
    struct Change {
        TimePoint since;
        std::optional<VmPresence> presence;
    };
    struct Vm {
        ListedVm listed;
        std::vector<Change> history;
    };

    static std::optional<VmPresence> presenceAt(const Vm&, TimePoint);
    void change(const VmId&, TimePoint since, std::optional<VmPresence>);

    Duration m_lag;
    Duration m_rebootTime;
    std::map<VmId, Vm> m_vms;
    std::set<OperationId> m_operations;
};

} // namespace fulmar::standin

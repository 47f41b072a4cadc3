#pragma once

#include "core/clock.h"
#include "fleet/fleet_view.h"
#include "platform/table.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmar::fleet {

// Keeps track of which entries may route calls, from their rows and the platform's lagging list. All times
// are of this process's own clock.
class EntryPresence {
public:
    EntryPresence(Duration listLag, std::string entryVmPrefix);

    // Takes in the entries' rows, and the list read at `now`.
    void observeRows(TimePoint now, const FleetView&);
    void observeList(TimePoint now, const FleetView&, const std::vector<ListedVm>&);

    // The registered entries, and the listed entry VMs that have not registered, in the VM's region: every
    // one of them must confirm before the VM may serve another pool.
    [[nodiscard]] std::vector<EntryDependent> mayRoute(const FleetView&, const VmRecord&) const;

    // Why the present knowledge is not enough to say who may route; empty if it is.
    [[nodiscard]] std::string unsettled(TimePoint now) const;

    // Entries whose VM has been absent from every list for the list's lag: they cannot run any more.
    [[nodiscard]] std::vector<ProcessId> gone() const;

    // Entries whose row does not say yet that the list has shown their VM.
    [[nodiscard]] std::vector<ProcessId> newlyListed(const FleetView&) const;

private:
    struct Sight {
        std::string incarnation;
        TimePoint incarnationSince {};
        // The incarnation took the place of another one, which may have handed out copies.
        bool replacedOther { false };
        bool listed { false };
        std::optional<TimePoint> absentSince;
        bool gone { false };
    };

    Duration m_listLag;
    std::string m_entryVmPrefix;
    std::map<ProcessId, Sight> m_sights;
    // Listed entry VMs without a row.
    std::vector<ListedVm> m_unregistered;
};

} // namespace fulmar::fleet

#pragma once

#include "core/clock.h"
#include "fleet/fleet_view.h"
#include "platform/table.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmar::fleet {

// Tracks which entries may route calls, from their rows and the platform's list, which lags by up to
// `listLag`. All times are read from this process's own clock.
class EntryPresence {
public:
    EntryPresence(Duration listLag, std::string entryVmPrefix);

    // Record the entries' rows, and the list as read at `now`.
    void observeRows(TimePoint now, const FleetView&);
    void observeList(TimePoint now, const FleetView&, const std::vector<ListedVm>&);

    // The registered entries and the listed but unregistered entry VMs that may be in the VM's region. All of
    // them must confirm that the VM is drained before it may serve another pool.
    [[nodiscard]] std::vector<EntryEndpoint> possibleRouters(const FleetView&, const VmRecord&) const;

    // Why possibleRouters() may still be incomplete; empty if it is complete.
    [[nodiscard]] std::string incompleteReason(TimePoint now) const;

    // Entries whose VM has been absent from every list for `listLag`, which means that they no longer run.
    [[nodiscard]] std::vector<ProcessId> gone() const;

    // Entries whose VM the list shows but whose row is not marked as listed yet.
    [[nodiscard]] std::vector<ProcessId> newlyListed(const FleetView&) const;

private:
    struct Observation {
        std::string incarnation;
        TimePoint incarnationSince {};
        // The incarnation replaced another one, which may have given copies of the configuration to peers.
        bool replacedOther { false };
        bool listed { false };
        std::optional<TimePoint> absentSince;
        bool gone { false };
    };

    Duration m_listLag;
    std::string m_entryVmPrefix;
    std::map<ProcessId, Observation> m_observations;
    // Listed entry VMs without a row.
    std::vector<ListedVm> m_unregistered;
};

} // namespace fulmar::fleet

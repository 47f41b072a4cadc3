#pragma once

#include "serve/directory.h"
#include "serve/outlier_detector.h"
#include "serve/peer_load.h"
#include "serve/slot_account.h"

#include <random>
#include <set>
#include <unordered_map>

namespace fulmar::serve {

// State of one target, shared by all services that use it.
struct TargetState {
    Target row;
    // Limits of the service that was applied last.
    std::uint32_t totalSlots { 0 };
    std::uint32_t totalConnections { 0 };
    // Number of services that use the target.
    std::uint32_t serviceCount { 0 };
    // Connections allocated to this entry VM.
    std::uint32_t ownConnections { 0 };
    // Revision of the entry VM list for which slots and connections were allocated.
    std::uint64_t allocationRevision { 0 };
    SlotAccount slots;
    OutlierDetector health;
    // The platform's list says that the target is leaving.
    bool listedLeaving { false };
    // Expiry of the latest report of the target, an operator or a peer that the target is leaving.
    TimePoint leavingUntil;
    // `leavingUntil` was set by a report of the target or an operator, not of a peer.
    bool leavingReportedDirectly { false };
    // Epoch of the row at the newest report. A row with a higher epoch that says Serving cancels all reports.
    Epoch leavingEpoch { 0 };

    [[nodiscard]] bool isLeaving(TimePoint now) const { return listedLeaving || now < leavingUntil; }
    [[nodiscard]] bool takesCalls(TimePoint now) const { return row.serving && !isLeaving(now); }
};

// The targets of all services: tracks which are in use and which slots are ours, and selects the target of
// each call.
class Targets {
public:
    Targets(EntryVm self, std::uint64_t seed);

    // Applies the newest configuration and targets of a service.
    void setService(const ServiceEntry&, TimePoint now);
    void removeService(const ServiceId&);
    void setEntryVms(std::vector<EntryVm>, TimePoint now);

    // Gives up all slots, and takes our share again only after all other entry VMs must have noticed.
    void reacquireSlots(TimePoint now);

    void setLeaving(const VmId&, TimePoint now);
    void setListedLeaving(const VmId&, bool leaving);
    void setLeavingFromPeer(const LeavingMark&, TimePoint now);
    // Targets reported as leaving, except by peers.
    [[nodiscard]] std::vector<LeavingMark> leaving(TimePoint now);

    // Selects a target with a free slot, if possible not in `tried`, in a rack without tried targets and in
    // our own zone. Null if no target is available now.
    [[nodiscard]] TargetState* pick(const ServiceId&, const std::vector<VmId>& tried, TimePoint now);
    // Some target that takes calls is not in `tried`.
    [[nodiscard]] bool hasOther(const ServiceId&, const std::vector<VmId>& tried, TimePoint now) const;

    // Reports the end of a call. `relativeRunTime`: run time divided by the expected one, for complete
    // responses.
    void onSuccess(const VmId&, double relativeRunTime, TimePoint now);
    void onFailure(const VmId&, TimePoint now);

    // Number of slots usable for the service's calls, busy ones included.
    [[nodiscard]] std::uint32_t slotLimit(const ServiceId&, TimePoint now) const;
    [[nodiscard]] bool takesCalls(const ServiceId&, TimePoint now) const;

    [[nodiscard]] TargetState* find(const VmId&);
    [[nodiscard]] const std::vector<TargetState*>& targetsOf(const ServiceId&) const;
    [[nodiscard]] std::map<VmId, std::uint32_t> inFlight() const;
    // Number of currently ejected targets.
    [[nodiscard]] std::size_t ejected(TimePoint now) const;
    [[nodiscard]] const std::vector<EntryVm>& entryVms() const { return m_entryVms; }

private:
    void allocate(TargetState&, TimePoint now);
    void removeServiceFrom(const std::vector<TargetState*>&);
    void dropUnused();
    void ejectIfOutlier(TargetState&, TimePoint now);
    [[nodiscard]] bool isUsable(const TargetState&, bool panic, TimePoint now) const;
    [[nodiscard]] bool inPanic(const std::vector<TargetState*>&, TimePoint now) const;

    EntryVm m_self;
    std::mt19937_64 m_random;
    std::vector<EntryVm> m_entryVms;
    // Incremented with each change of the entry VM list.
    std::uint64_t m_entryVmsRevision { 1 };
    // Until then other entry VMs may still use slots that are ours according to the newest entry VM list.
    TimePoint m_allocationSettled;
    std::unordered_map<VmId, TargetState> m_states;
    std::unordered_map<ServiceId, std::vector<TargetState*>> m_services;
    // Targets that may be marked as leaving, except by peers.
    std::set<VmId> m_maybeLeaving;
    // Targets that no service uses any more; some may have calls in flight.
    std::vector<VmId> m_unused;
};

} // namespace fulmar::serve

#pragma once

#include "serve/directory.h"
#include "serve/outlier_detector.h"
#include "serve/peer_load.h"
#include "serve/slot_account.h"

#include <random>
#include <set>
#include <unordered_map>

namespace fulmar::serve {

// Everything known of one target, whichever services use it.
struct TargetState {
    Target row;
    // Limits of the service that was applied last.
    std::uint32_t totalSlots { 0 };
    std::uint32_t totalConnections { 0 };
    // Services that use it.
    std::uint32_t serviceCount { 0 };
    // Connections that are ours.
    std::uint32_t ownConnections { 0 };
    // The list of entry VMs by which slots and connections were dealt.
    std::uint64_t allocationRevision { 0 };
    SlotAccount slots;
    OutlierDetector health;
    // Said to be leaving by the platform's list, or until a time by the target, an operator or a peer. A row
    // with a higher epoch that says Serving clears both.
    bool listedLeaving { false };
    TimePoint leavingUntil;
    // The statement came from elsewhere than a peer.
    bool learnedDirectly { false };
    Epoch leavingEpoch { 0 };

    [[nodiscard]] bool isLeaving(TimePoint now) const { return listedLeaving || now < leavingUntil; }
    [[nodiscard]] bool takesCalls(TimePoint now) const { return row.serving && !isLeaving(now); }
};

// The targets of all services: which are in use, whose slots are whose, and which target gets the next call.
class Targets {
public:
    Targets(EntryVm self, std::uint64_t seed);

    // Takes a service's configuration and targets in their newest form.
    void setService(const ServiceEntry&, TimePoint now);
    void removeService(const ServiceId&);
    void setEntryVms(std::vector<EntryVm>, TimePoint now);

    // Gives up all slots, and counts on those that are ours again only when all entry VMs must have noticed.
    void reacquireSlots(TimePoint now);

    void setLeaving(const VmId&, TimePoint now);
    void setListedLeaving(const VmId&, bool leaving);
    void setLeavingFromPeer(const LeavingMark&, TimePoint now);
    // What was said of targets, other than by a peer.
    [[nodiscard]] std::vector<LeavingMark> leaving(TimePoint now);

    // A target with a free slot: not one of `tried`, another rack than theirs and our own zone if possible.
    // Null if there is none now.
    [[nodiscard]] TargetState* pick(const ServiceId&, const std::vector<VmId>& tried, TimePoint now);
    // Some target that takes calls is not one of `tried`.
    [[nodiscard]] bool hasOther(const ServiceId&, const std::vector<VmId>& tried, TimePoint now) const;

    // A call to the target ended. `slowness`: run time over the expected one, for whole answers.
    void onSuccess(const VmId&, double slowness, TimePoint now);
    void onFailure(const VmId&, TimePoint now);

    // Slots that calls of the service may hold now, busy ones included.
    [[nodiscard]] std::uint32_t slotLimit(const ServiceId&, TimePoint now) const;
    [[nodiscard]] bool takesCalls(const ServiceId&, TimePoint now) const;

    [[nodiscard]] TargetState* find(const VmId&);
    [[nodiscard]] const std::vector<TargetState*>& targetsOf(const ServiceId&) const;
    [[nodiscard]] std::map<VmId, std::uint32_t> inFlight() const;
    // Targets that are ejected now.
    [[nodiscard]] std::size_t ejected(TimePoint now) const;
    [[nodiscard]] const std::vector<EntryVm>& entries() const { return m_entries; }

private:
    void allocate(TargetState&, TimePoint now);
    void removeServiceFrom(const std::vector<TargetState*>&);
    void dropUnused();
    void ejectIfOutlier(TargetState&, TimePoint now);
    [[nodiscard]] bool isUsable(const TargetState&, bool panic, TimePoint now) const;
    [[nodiscard]] bool inPanic(const std::vector<TargetState*>&, TimePoint now) const;

    EntryVm m_self;
    std::mt19937_64 m_random;
    std::vector<EntryVm> m_entries;
    // Counts the lists of entry VMs.
    std::uint64_t m_entriesRevision { 1 };
    // Until then other entry VMs may still count on slots that are ours by the newest list of entry VMs.
    TimePoint m_allocationSettled;
    std::unordered_map<VmId, TargetState> m_states;
    std::unordered_map<ServiceId, std::vector<TargetState*>> m_services;
    // Targets that may be marked as leaving.
    std::set<VmId> m_maybeLeaving;
    // Targets that no service uses any more; some may have calls in flight.
    std::vector<VmId> m_unused;
};

} // namespace fulmar::serve

#pragma once

#include "serve/targets.h"

#include <set>

namespace fulmar::serve {

// Lends idle slots to entry VMs whose calls wait, and uses theirs. A peer that cannot be heard lends nothing,
// so that no call goes into a partition.
class SlotExchange {
public:
    SlotExchange(EntryVm self, std::uint64_t incarnation, Targets& targets);

    void onPeerLoad(const ProcessId&, const PeerLoad&, TimePoint now);

    // The message for `peer`. `waiting`: our calls per service that wait for a slot.
    [[nodiscard]] PeerLoad loadFor(
        const ProcessId& peer, const std::map<ServiceId, std::uint32_t>& waiting, TimePoint now);

    // All entry VMs that are registered. Peers that no longer are get forgotten.
    void setRegistered(const std::vector<EntryVm>&, TimePoint now);
    // The entry VMs that share the slots: all that are registered, but for those of our own zone that have
    // not been heard for long. Silence of another zone may be a cut, behind which its entry VMs use their
    // slots.
    [[nodiscard]] std::vector<EntryVm> sharers(TimePoint now) const;

    // Whether this process has been paused for so long that the zone's others may have taken its slots. To be
    // asked before each round of messages.
    [[nodiscard]] bool wasPaused(TimePoint now);

private:
    struct Peer {
        std::uint64_t incarnation { 0 };
        TimePoint heard;
        // Its clock when it sent its newest message.
        TimePoint sent;
        std::map<ServiceId, std::uint32_t> wanted;
        // Targets of which it may hold slots of ours.
        std::set<VmId> lent;
        // Targets of which we may hold slots of its.
        std::set<VmId> borrowed;
    };

    void lend(const ProcessId&, const ServiceId&, std::uint32_t wanted, PeerLoad&, TimePoint now);
    [[nodiscard]] std::uint32_t competingBorrowers(const ProcessId&, const ServiceId&, TimePoint now) const;
    [[nodiscard]] bool isLocal(const ProcessId&) const;

    EntryVm m_self;
    std::uint64_t m_incarnation;
    Targets& m_targets;
    std::map<ProcessId, Peer> m_peers;
    std::vector<EntryVm> m_registered;
    std::map<ProcessId, TimePoint> m_registeredSince;
    std::optional<TimePoint> m_lastRound;
};

} // namespace fulmar::serve

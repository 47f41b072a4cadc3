#pragma once

#include "serve/targets.h"

#include <set>

namespace fulmar::serve {

// Lends idle slots to entry VMs with waiting calls, and borrows slots from them. An unreachable peer lends
// nothing, so that no call is sent into a network partition.
class SlotExchange {
public:
    SlotExchange(EntryVm self, std::uint64_t incarnation, Targets& targets);

    void onPeerLoad(const ProcessId&, const PeerLoad&, TimePoint now);

    // Message for `peer`. `wanted`: our calls per service that wait for a slot or hold a borrowed one. No
    // slots are lent for these services.
    [[nodiscard]] PeerLoad loadFor(
        const ProcessId& peer, const std::map<ServiceId, std::uint32_t>& wanted, TimePoint now);

    // Sets all registered entry VMs; peers that are no longer registered are forgotten.
    void setRegistered(const std::vector<EntryVm>&, TimePoint now);
    // Entry VMs that share the slots: all registered ones except those of our own zone that have been silent
    // for too long. Silence from another zone may be a partition behind which its entry VMs still use their
    // slots.
    [[nodiscard]] std::vector<EntryVm> sharers(TimePoint now) const;

    // Returns true once after this process was paused for so long that the others in its zone may have taken
    // over its slots. Records `now` as the last time of activity; to be called before each message.
    [[nodiscard]] bool detectPause(TimePoint now);

private:
    struct Peer {
        std::uint64_t incarnation { 0 };
        TimePoint heardAt;
        // The peer's clock when it sent its newest message.
        TimePoint sentAt;
        std::map<ServiceId, std::uint32_t> wanted;
        // Targets of which the peer may hold slots of ours.
        std::set<VmId> lent;
        // Targets of which we may hold slots of the peer.
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
    std::optional<TimePoint> m_lastActive;
};

} // namespace fulmar::serve

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

    // Forgets peers that are no longer registered.
    void keepOnly(const std::vector<EntryVm>&);

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
    [[nodiscard]] std::uint32_t sharersOf(const ProcessId&, const ServiceId&, TimePoint now) const;
    [[nodiscard]] bool isLocal(const ProcessId&) const;

    EntryVm m_self;
    std::uint64_t m_incarnation;
    Targets& m_targets;
    std::map<ProcessId, Peer> m_peers;
};

} // namespace fulmar::serve

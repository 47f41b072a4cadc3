#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <cstdint>
#include <map>
#include <vector>

namespace fulmar::serve {

// An entry VM, ours included. `zone` is where it runs.
struct EntryVm {
    ProcessId process;
    ZoneId zone;

    bool operator==(const EntryVm&) const = default;
};

// A target that is leaving although its row, at this epoch, may still say Serving.
struct LeavingMark {
    VmId vm;
    Epoch epoch { 0 };

    bool operator==(const LeavingMark&) const = default;
};

// What one entry VM tells another, each way about every 100 ms. Everything in it is also true a little later,
// so that lost, late or doubled messages do no harm.
struct PeerLoad {
    // The sender's life; a new one has a new clock and none of the calls of the one before.
    std::uint64_t incarnation { 0 };
    // The sender's clock, and the newest `sent` that the sender has from the receiver. A loan runs from the
    // receiver's own time `echo`, so that it ends at the borrower no later than at the lender.
    TimePoint sent;
    TimePoint echo;
    // Slots of the sender that the receiver may use, busy ones included, until `echo` + `lentFor`.
    std::map<VmId, std::uint32_t> lent;
    Duration lentFor {};
    // Slots of the receiver that hold calls of the sender.
    std::map<VmId, std::uint32_t> borrowed;
    // Calls per service that wait for a slot or hold a borrowed one.
    std::map<ServiceId, std::uint32_t> wanted;
    // What the sender was told, other than by a peer.
    std::vector<LeavingMark> leaving;
};

} // namespace fulmar::serve

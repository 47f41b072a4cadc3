#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <cstdint>
#include <map>
#include <vector>

namespace fulmar::serve {

// An entry VM and the zone it runs in; this one included.
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

// Message between two entry VMs, sent in each direction about every 100 ms. It stays valid when delayed, so
// lost, late and duplicate messages do no harm.
struct PeerLoad {
    // Incarnation of the sender. A new incarnation has a new clock and none of the previous one's calls.
    std::uint64_t incarnation { 0 };
    // Time of sending on the sender's clock.
    TimePoint sent;
    // Newest `sent` received from the receiver, hence a past time on the receiver's clock. A loan ends at
    // `echo` + `lentFor` on that clock. The sender counts the slots as lent until it gets a message that the
    // receiver sent after that end, or writes the loan off much later, so the loan ends at the borrower no
    // later than at the lender.
    TimePoint echo;
    // Slots of the sender that the receiver may use until `echo` + `lentFor`, busy ones included.
    std::map<VmId, std::uint32_t> lent;
    Duration lentFor {};
    // Slots of the receiver that are in use by calls of the sender.
    std::map<VmId, std::uint32_t> borrowed;
    // Calls per service that wait for a slot or hold a borrowed slot.
    std::map<ServiceId, std::uint32_t> wanted;
    // Targets that are leaving, as learned by the sender directly rather than from a peer.
    std::vector<LeavingMark> leaving;
};

} // namespace fulmar::serve

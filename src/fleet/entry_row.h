#pragma once

#include "config/model.h"

#include <concepts>
#include <string>
#include <vector>

namespace fulmar::fleet {

// The value of a row entry/<process>. At each start an entry registers: it commits its row with a new
// incarnation, then reads the configuration up to at least that commit's version, and only then routes calls.
// An entry that cannot reach the platform may route with a registered peer's copy of the configuration; the
// peer reports it as a dependent until it has registered. An unregistered entry gives no copies to others.
struct EntryRecord {
    ProcessId process;
    // The entry's VM in the platform's list.
    VmId vm;
    // "host:port" on which the entry serves its peers.
    std::string address;
    RegionId region;
    ZoneId zone;
    // Unique for each start of the process.
    std::string incarnation;
    // The incarnation that the row named before this registration; empty if there was no row.
    std::string replaces;
    // Set by the fleet duty when the platform's list first shows the VM. Only after that does absence from
    // the list mean that the entry is gone.
    bool listed { false };
};

// An entry's process, VM and peer address.
struct EntryEndpoint {
    ProcessId process;
    VmId vm;
    std::string address;

    auto operator<=>(const EntryEndpoint&) const = default;
};

// An entry's answer about one VM; the routing thread reads all fields as one consistent snapshot.
struct EntryConfirmation {
    // Version of the configuration that the entry has applied.
    Version applied { 0 };
    // The last operation on the VM's row that the entry has applied. A version would not identify the row:
    // a platform restored to an earlier state assigns the same versions again.
    OperationId row;
    // Unfinished calls assigned to the VM, including those not sent yet and pending retries.
    std::size_t inFlight { 0 };
    std::string incarnation;
    // Unregistered entries to which this incarnation gave a configuration older than the requested version.
    std::vector<EntryEndpoint> dependents;
};

// Asks entries about VMs. Blocks the calling duty thread for at most the client's timeout.
template <typename E>
concept EntryConfirmer = requires(E& confirmer, const std::string& address, const VmId& vm, Version version) {
    // Asks the entry whose peer port is at `address` for its state of the VM; entries that got a
    // configuration older than `version` from it are named as dependents.
    {
        confirmer.confirm(address, vm, version)
    } -> std::same_as<Result<EntryConfirmation>>;
};

// Checks whether a VM's service answers, for instance by connecting to its address.
template <typename H>
concept VmProbe = requires(H& probe, const VmRecord& vm) {
    {
        probe.answers(vm)
    } -> std::same_as<bool>;
};

// "entry/<process>".
[[nodiscard]] std::string entryKey(const ProcessId&);

[[nodiscard]] std::string encode(const EntryRecord&);

} // namespace fulmar::fleet

namespace fulmar {

// Names that other modules use unqualified.
using fleet::EntryConfirmation;
using fleet::EntryConfirmer;
using fleet::EntryEndpoint;
using fleet::entryKey;
using fleet::EntryRecord;
using fleet::VmProbe;

template <> Result<fleet::EntryRecord> decode(const std::string& text);

} // namespace fulmar

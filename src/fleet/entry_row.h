#pragma once

#include "config/model.h"

#include <concepts>
#include <string>
#include <vector>

namespace fulmar::fleet {

// The value of a row entry/<process>. An entry commits its row with a new incarnation each time it starts,
// then reads the configuration up to at least that commit's version, and only then routes calls. An entry
// that cannot reach the platform may route with the copy of a registered peer; the peer then names it among
// its dependents until it has registered. An entry that is not registered hands out no copies.
struct EntryRecord {
    ProcessId process;
    // The entry's VM in the platform's list.
    VmId vm;
    // "host:port" of its port for peers.
    std::string address;
    RegionId region;
    ZoneId zone;
    // Differs each time the process starts.
    std::string incarnation;
    // The incarnation found in the row at registration; empty if there was no row.
    std::string replaces;
    // Set by the fleet duty once it has seen the VM in the platform's list. Only then does absence from the
    // list mean that the entry is gone.
    bool listed { false };
};

// An entry that received a copy of the configuration from another entry.
struct EntryDependent {
    ProcessId process;
    VmId vm;
    std::string address;

    auto operator<=>(const EntryDependent&) const = default;
};

// An entry's answer about one VM, read all at once by the thread that routes.
struct EntryConfirmation {
    // Version of the configuration that is in force in the entry.
    Version applied { 0 };
    // The operation that wrote the VM's row that is in force in the entry. A version would not do: a platform
    // that came back with less than it had gives out the same versions again.
    OperationId row;
    // Calls chosen for the VM that have not ended, unsent ones and pending retries included.
    std::size_t inFlight { 0 };
    std::string incarnation;
    // Entries that this incarnation gave a copy older than the version asked for, and that have not
    // registered.
    std::vector<EntryDependent> dependents;
};

// Asks entries about VMs. Blocks the calling duty thread, for at most the client's timeout.
template <typename E>
concept EntryConfirmer = requires(E& confirmer, const std::string& address, const VmId& vm, Version version) {
    // The answer of the entry whose peer port is at `address`: does the configuration of `version` rule
    // there?
    {
        confirmer.confirm(address, vm, version)
    } -> std::same_as<Result<EntryConfirmation>>;
};

// Finds out whether a VM's service answers, for instance by connecting to its address.
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

// Names that other slices share.
using fleet::EntryConfirmation;
using fleet::EntryConfirmer;
using fleet::EntryDependent;
using fleet::entryKey;
using fleet::EntryRecord;
using fleet::VmProbe;

template <> Result<fleet::EntryRecord> decode(const std::string& text);

} // namespace fulmar

#pragma once

#include "core/clock.h"
#include "fleet/entry_row.h"
#include "fleet/fleet_view.h"

#include <fmt/format.h>
#include <set>
#include <string>
#include <vector>

namespace fulmar::fleet {

// Whether every entry confirmed that one VM is drained.
struct DrainStatus {
    bool drained { false };
    // Why the first entry that did not confirm keeps the VM from being drained.
    std::string waitingFor;
};

// Asks entries during one step of the duty whether VMs are drained. An entry that does not answer is not
// asked again in the same step, so that it costs at most one timeout.
template <EntryConfirmer E, Clock C> class DrainRound {
public:
    DrainRound(E& confirmer, const C& clock, TimePoint deadline)
        : m_confirmer(confirmer)
        , m_clock(clock)
        , m_deadline(deadline)
    {
    }

    // Whether all of `entries`, and all entries that received an older configuration from them, have applied
    // the VM's current row and have no call in flight to the VM. Answers are not cached between rounds: an
    // entry that restarted in the meantime may have started from a peer's older copy.
    DrainStatus ask(const FleetView& view, std::vector<EntryEndpoint> entries, const Stored<VmRecord>& vm)
    {
        std::set<ProcessId> asked;
        auto version = view.configVersion(vm.version);
        for (std::size_t next = 0; next < entries.size(); ++next) {
            auto entry = entries[next];
            if (!asked.insert(entry.process).second)
                continue;
            if (m_clock.now() >= m_deadline)
                return { false, "more entries to ask" };
            if (m_unresponsive.contains(entry.process))
                return unresponsive(entry);
            auto answer = m_confirmer.confirm(entry.address, vm.record.vm, version);
            if (!answer) {
                m_unresponsive.insert(entry.process);
                return unresponsive(entry);
            }
            if (auto reason = notDrainedReason(view, entry, *answer, vm.operation); !reason.empty())
                return { false, std::move(reason) };
            entries.insert(entries.end(), answer->dependents.begin(), answer->dependents.end());
        }
        return { true, {} };
    }

private:
    static DrainStatus unresponsive(const EntryEndpoint& entry)
    {
        return { false,
            fmt::format("entry {} at {} does not answer and the platform's list does not show it gone",
                entry.process.value(), entry.address) };
    }

    // Why the entry's answer does not confirm that the VM is drained; empty if it does.
    static std::string notDrainedReason(const FleetView& view, const EntryEndpoint& entry,
        const EntryConfirmation& answer, const OperationId& vmRowOperation)
    {
        if (auto registered = view.entries().find(entry.process);
            registered != view.entries().end() && registered->second.record.incarnation != answer.incarnation)
            return fmt::format("entry {} restarted and has not registered", entry.process.value());
        if (answer.row != vmRowOperation)
            return fmt::format("entry {} has configuration {} without the VM's present row",
                entry.process.value(), answer.applied);
        if (answer.inFlight > 0)
            return fmt::format("entry {} has {} calls in flight", entry.process.value(), answer.inFlight);
        return {};
    }

    E& m_confirmer;
    const C& m_clock;
    TimePoint m_deadline;
    std::set<ProcessId> m_unresponsive;
};

} // namespace fulmar::fleet

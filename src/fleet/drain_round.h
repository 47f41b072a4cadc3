#pragma once

#include "core/clock.h"
#include "fleet/entry_row.h"
#include "fleet/fleet_view.h"

#include <fmt/format.h>
#include <set>
#include <string>
#include <vector>

namespace fulmar::fleet {

// The outcome of asking every entry about one VM.
struct DrainStatus {
    bool drained { false };
    // What the first entry that does not confirm said.
    std::string waitingFor;
};

// Asks entries about draining VMs within one step of the duty. An entry that does not answer is not asked
// again in the same step, so that it costs one timeout at most.
template <EntryConfirmer E, Clock C> class DrainRound {
public:
    DrainRound(E& confirmer, const C& clock, TimePoint deadline)
        : m_confirmer(confirmer)
        , m_clock(clock)
        , m_deadline(deadline)
    {
    }

    // Whether all of `entries`, and all entries that received an older configuration from them, have the VM's
    // row in force and no call in flight to the VM. Nothing is remembered from earlier
    // rounds: an entry that restarted since then may have fallen back to a peer's older copy.
    DrainStatus ask(const FleetView& view, std::vector<EntryDependent> entries, const Stored<VmRecord>& vm)
    {
        std::set<ProcessId> asked;
        auto version = view.configVersion(vm.version);
        for (std::size_t next = 0; next < entries.size(); ++next) {
            auto entry = entries[next];
            if (!asked.insert(entry.process).second)
                continue;
            if (m_clock.now() >= m_deadline)
                return { false, "more entries to ask" };
            if (m_silent.contains(entry.process))
                return silent(entry);
            auto answer = m_confirmer.confirm(entry.address, vm.record.vm, version);
            if (!answer) {
                m_silent.insert(entry.process);
                return silent(entry);
            }
            if (auto objection = objectionTo(view, entry, *answer, vm.operation); !objection.empty())
                return { false, std::move(objection) };
            entries.insert(entries.end(), answer->dependents.begin(), answer->dependents.end());
        }
        return { true, {} };
    }

private:
    static DrainStatus silent(const EntryDependent& entry)
    {
        return { false,
            fmt::format("entry {} at {} does not answer and the platform's list does not show it gone",
                entry.process.value(), entry.address) };
    }

    static std::string objectionTo(const FleetView& view, const EntryDependent& entry,
        const EntryConfirmation& answer, const OperationId& row)
    {
        if (auto registered = view.entries().find(entry.process);
            registered != view.entries().end() && registered->second.record.incarnation != answer.incarnation)
            return fmt::format("entry {} restarted and has not registered", entry.process.value());
        if (answer.row != row)
            return fmt::format("entry {} has configuration {} without the VM's present row",
                entry.process.value(), answer.applied);
        if (answer.inFlight > 0)
            return fmt::format("entry {} has {} calls in flight", entry.process.value(), answer.inFlight);
        return {};
    }

    E& m_confirmer;
    const C& m_clock;
    TimePoint m_deadline;
    std::set<ProcessId> m_silent;
};

} // namespace fulmar::fleet

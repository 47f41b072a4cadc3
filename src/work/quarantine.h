#pragma once

#include "work/fault_evidence.h"
#include "work/work_state.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace fulmar::work {

// How far a worker is trusted with tasks.
enum class Trust : std::uint8_t {
    Full,
    // Jobs have failed there since its last success: one task at a time, until it is clear whose fault it is.
    OneTask,
    // Out of use; one probe after a pause that doubles with each failed probe.
    Quarantined,
};

// Keeps workers that fail everything out of use, up to a share of each pool.
class Quarantine {
public:
    // Judges the pool's workers by the evidence. Returns those newly taken out of use.
    std::vector<VmId> evaluate(const std::vector<Worker*>& pool, const FaultEvidence&, TimePoint now);

    // A probe or another task has succeeded on the worker. True if that ends its quarantine.
    bool onSuccess(const VmId&);
    // A task has failed on the worker; in quarantine, that doubles the pause until the next probe.
    void onFailure(const VmId&, TimePoint now);

    [[nodiscard]] Trust trust(const VmId&, const FaultEvidence&) const;

    // True if a task may be placed: trusted workers always, others while they are empty, and quarantined
    // ones only when a probe is due and the task may be repeated.
    [[nodiscard]] bool admits(const Worker&, bool idempotent, const FaultEvidence&, TimePoint now) const;

    [[nodiscard]] std::size_t size() const { return m_workers.size(); }

private:
    struct Entry {
        TimePoint probeAt {};
        Duration pause {};
    };

    std::unordered_map<VmId, Entry> m_workers;
};

} // namespace fulmar::work

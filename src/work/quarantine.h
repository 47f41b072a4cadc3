#pragma once

#include "work/fault_evidence.h"
#include "work/work_state.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace fulmar::work {

// Limits on the tasks that a worker may get.
enum class Trust : std::uint8_t {
    Full,
    // One task at a time: jobs failed there since its last success, and the cause is not known yet.
    OneTask,
    // No tasks except single probes, at intervals that double with each failed probe.
    Quarantined,
};

// Keeps tasks away from workers on which every job fails, up to a share of each pool.
class Quarantine {
public:
    // Quarantines the pool's workers that the evidence implicates. Returns those newly quarantined.
    std::vector<VmId> evaluate(const std::vector<Worker*>& pool, const FaultEvidence&, TimePoint now);

    // A task succeeded on the worker. Returns true if this ended its quarantine.
    bool onSuccess(const VmId&);
    // A task failed on the worker. If that was a probe, doubles the pause until the next.
    void onFailure(const VmId&, TimePoint now);

    [[nodiscard]] Trust trust(const VmId&, const FaultEvidence&) const;

    // True if the worker may get a task: with full trust always; otherwise only while it has no tasks, and in
    // quarantine only when a probe is due and the task is idempotent.
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

#pragma once

#include "core/ring.h"
#include "daemon/distribution.h"
#include "fleet/lease.h"
#include "peer/peer_client.h"
#include "platform/http_platform.h"
#include "work/work_duty.h"

#include <functional>

namespace fulmar {

// The lease on the only task shard.
class WorkLease {
public:
    using Keeper = LeaseKeeper<HttpPlatform, SystemClock>;

    explicit WorkLease(Keeper& keeper)
        : m_keeper(keeper)
    {
    }

    [[nodiscard]] bool held(TimePoint) const { return m_keeper.holds(0); }

    // Without the lease, returns a condition that never holds, so that no write can commit.
    [[nodiscard]] Condition condition() const
    {
        return m_keeper.fence(0).value_or(Condition { "lease/none", ~Version { 0 } });
    }

private:
    Keeper& m_keeper;
};

static_assert(work::ShardLease<WorkLease>);

// Runs the work duty, and routes callers' task requests to it or to the process that owns the shard.
class WorkService {
public:
    WorkService(const work::WorkSettings&, const HttpPlatformOptions&, Distribution&, EventLog&);

    // Called repeatedly on the duty's thread.
    void step();
    // Releases the shard. Called after the last step.
    void shutDown();

    // Answers a request, or forwards it once to the owner. Blocks for at most a few seconds. Thread-safe.
    [[nodiscard]] TaskAnswer call(const TaskCall&, PeerClient&);

private:
    using Duty = work::WorkDuty<HttpPlatform, HttpPlatform, SystemClock, WorkLease>;

    [[nodiscard]] Result<work::TaskRecord> callLocally(const TaskCall&);
    void dispatchCall(const TaskCall&, work::TaskReply);
    // Answers a call with method LIST: workers and tasks as JSON. Empty if this process does not own the
    // shard.
    [[nodiscard]] std::optional<TaskAnswer> listLocally();
    // Passes configuration changes to the duty.
    void applyConfigChanges();
    [[nodiscard]] ProcessId owner() const;

    const SystemClock m_clock {};
    Distribution& m_distribution;
    HttpPlatform m_platform;
    WorkLease::Keeper m_keeper;
    WorkLease m_lease;
    Duty m_duty;
    BoundedRing<std::function<void()>> m_requests;
    mutable std::mutex m_mutex;
    ProcessId m_owner;
    // Version of the configuration that the duty has applied.
    Version m_configVersion { 0 };
};

} // namespace fulmar

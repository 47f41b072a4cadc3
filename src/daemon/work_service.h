#pragma once

#include "core/ring.h"
#include "daemon/distribution.h"
#include "fleet/lease.h"
#include "peer/peer_client.h"
#include "platform/http_platform.h"
#include "work/work_duty.h"

#include <functional>

namespace fulmar {

// The lease on the single shard of tasks.
class WorkLease {
public:
    using Keeper = LeaseKeeper<HttpPlatform, SystemClock>;

    explicit WorkLease(Keeper& keeper)
        : m_keeper(keeper)
    {
    }

    [[nodiscard]] bool held(TimePoint) const { return m_keeper.holds(0); }

    // Once the lease is lost the condition is one that never holds, so that nothing can be written.
    [[nodiscard]] Condition condition() const
    {
        return m_keeper.fence(0).value_or(Condition { "lease/none", ~Version { 0 } });
    }

private:
    Keeper& m_keeper;
};

static_assert(work::ShardLease<WorkLease>);

// Runs the work duty and brings callers' requests on tasks to it, or to the process that owns the shard.
class WorkService {
public:
    WorkService(const work::WorkSettings&, const HttpPlatformOptions&, Distribution&, EventLog&);

    // One round; called on the duty's thread.
    void step();
    // Gives up the shard, after the last step.
    void shutDown();

    // Answers a request, or passes it on once to the owner. Blocks for at most a few seconds; any thread.
    [[nodiscard]] TaskAnswer call(const TaskCall&, PeerClient&);

private:
    using Duty = work::WorkDuty<HttpPlatform, HttpPlatform, SystemClock, WorkLease>;

    [[nodiscard]] Result<work::TaskRecord> callHere(const TaskCall&);
    void begin(const TaskCall&, work::TaskReply);
    // Hands changed quotas, and workers that may get no new tasks, to the duty.
    // Answers a call with method LIST, for operators: workers and tasks as JSON.
    [[nodiscard]] std::optional<TaskAnswer> listHere();
    void takeConfig();
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
    Version m_configVersion { 0 };
    // Version of the configuration that the duty works by.
};

} // namespace fulmar

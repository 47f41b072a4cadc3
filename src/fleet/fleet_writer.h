#pragma once

#include "core/event.h"
#include "fleet/fleet_store.h"
#include "fleet/lease.h"

#include <string>
#include <utility>
#include <vector>

namespace fulmar::fleet {

// The number of the shard to which a pool belongs.
[[nodiscard]] std::uint32_t shardOf(const PoolId&, std::uint32_t shards);

// The rows and the leases of one process's fleet duty. Every change goes through commit(), under the lease of
// its shard.
template <PlatformClient P, Clock C> class FleetWriter {
public:
    FleetWriter(
        P& platform, const C& clock, EventLog& events, const ProcessId& self, const FleetSettings& settings)
        : m_clock(clock)
        , m_events(events)
        , m_leases(platform, clock, "fleet", settings.shards, self, settings.lease)
        , m_store(platform, clock, self.value(), settings)
    {
    }

    // Renews leases and reads rows when due. False if no lease is held or the rows are stale.
    bool beginStep()
    {
        m_leases.step();
        m_aborted = false;
        return m_leases.heldCount() > 0 && m_store.refresh();
    }

    // Commits under the shard's lease, whose validity is checked each time. True if the commit succeeded.
    bool commit(std::uint32_t shardNumber, const FleetChange& change, const OperationId& operation)
    {
        if (change.empty() || m_aborted)
            return false;
        auto fence = m_leases.fence(shardNumber);
        if (!fence)
            return false;
        auto committed = m_store.commit(change, *fence, operation);
        if (committed)
            return true;
        // The rows behind the decision may have changed; the next step reads them again.
        m_aborted = committed.error().reason != Reason::Overloaded;
        if (committed.error().reason == Reason::Conflict)
            m_leases.recheck();
        return false;
    }

    // Whether a commit of this step failed; no more decisions may be made until the next step.
    [[nodiscard]] bool aborted() const { return m_aborted; }

    [[nodiscard]] bool holds(std::uint32_t shardNumber) const { return m_leases.holds(shardNumber); }
    [[nodiscard]] std::uint32_t shard(const PoolId& pool) const
    {
        return shardOf(pool, m_leases.shardCount());
    }

    void record(const std::string& kind, const std::vector<EventField>& fields)
    {
        m_events.record(m_clock.wallNow(), kind, fields);
    }

    [[nodiscard]] FleetStore<P, C>& store() { return m_store; }
    [[nodiscard]] const FleetStore<P, C>& store() const { return m_store; }
    [[nodiscard]] const LeaseKeeper<P, C>& leases() const { return m_leases; }

private:
    const C& m_clock;
    EventLog& m_events;
    LeaseKeeper<P, C> m_leases;
    FleetStore<P, C> m_store;
    bool m_aborted { false };
};

} // namespace fulmar::fleet

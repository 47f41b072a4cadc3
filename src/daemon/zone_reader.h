#pragma once

#include "config/config_reader.h"
#include "core/event.h"
#include "daemon/distribution.h"
#include "fleet/lease.h"
#include "platform/table.h"

#include <fmt/format.h>
#include <map>
#include <mutex>
#include <vector>

namespace fulmar {

// Reads the configuration for one availability zone. The zone's control processes compete for one lease; only
// its holder polls the platform, and the others receive the rows from their peers. step() is called by one
// duty thread, listed() by any thread.
template <PlatformClient P, Clock C> class ZoneReader {
public:
    ZoneReader(P& platform, const C& clock, EventLog& events, Distribution& distribution, Duration readEvery,
        Duration listEvery)
        : m_platform(platform)
        , m_clock(clock)
        , m_events(events)
        , m_distribution(distribution)
        , m_lease(platform, clock, fmt::format("reader-{}", distribution.self().zone.value()), 1,
              distribution.self().process)
        , m_readEvery(readEvery)
        , m_listEvery(listEvery)
    {
    }

    void step()
    {
        m_lease.step();
        if (!m_lease.holds(0))
            return;
        if (m_clock.now() >= m_nextRead)
            readRows();
        if (m_clock.now() >= m_nextList)
            readList();
    }

    // VMs that the platform lists as leaving, and VMs that were leaving earlier and are live again.
    [[nodiscard]] std::vector<ListedTarget> listed() const
    {
        std::lock_guard lock(m_mutex);
        std::vector<ListedTarget> listed;
        for (const auto& [vm, isLeaving] : m_listed)
            listed.push_back({ vm, isLeaving });
        return listed;
    }

private:
    void readRows()
    {
        m_nextRead = m_clock.now() + m_readEvery;
        auto read = m_reader.poll(m_distribution.version(), [this] { return m_distribution.replica(); });
        if (!read) {
            m_nextRead = m_clock.now() + m_backoff.failed();
            return;
        }
        m_backoff.succeeded();
        if (read->platformRolledBack)
            m_events.record(m_clock.wallNow(), "config.platform-went-back",
                { { "kept_version", std::to_string(m_distribution.version()) },
                    { "rows_committed_again", std::to_string(read->rowsRecommitted) } });
        m_distribution.applyFromPlatform(read->changes);
    }

    void readList()
    {
        m_nextList = m_clock.now() + m_listEvery;
        auto list = m_platform.listVms();
        if (!list)
            return;
        std::lock_guard lock(m_mutex);
        for (const auto& vm : *list)
            if (vm.presence == VmPresence::Leaving)
                m_listed[vm.vm] = true;
            else if (auto known = m_listed.find(vm.vm); known != m_listed.end())
                known->second = false;
    }

    P& m_platform;
    const C& m_clock;
    EventLog& m_events;
    Distribution& m_distribution;
    LeaseKeeper<P, C> m_lease;
    ConfigReader<P, C> m_reader { m_platform, m_clock, m_distribution.self().process.value() };
    const Duration m_readEvery;
    const Duration m_listEvery;
    Backoff m_backoff { m_distribution.self().process.value() };
    TimePoint m_nextRead {};
    TimePoint m_nextList {};
    mutable std::mutex m_mutex;
    std::map<VmId, bool> m_listed;
};

} // namespace fulmar

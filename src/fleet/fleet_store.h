#pragma once

#include "core/clock.h"
#include "core/event.h"
#include "fleet/backoff.h"
#include "fleet/fleet_settings.h"
#include "fleet/fleet_view.h"
#include "platform/table.h"

#include <array>
#include <fmt/format.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmar::fleet {

// Caches the fleet's rows and the platform's list as last read, and commits all changes to rows. After a
// failed write, whose outcome may be unknown, no decision is made until the rows have been read again: they
// show whether the write took effect, and its conditions fail if it arrives only later.
template <PlatformClient P, Clock C> class FleetStore {
public:
    FleetStore(P& platform, const C& clock, std::string process, const FleetSettings& settings)
        : m_platform(platform)
        , m_clock(clock)
        , m_settings(settings)
        , m_process(std::move(process))
        , m_backoff(m_process)
    {
    }

    // Reads the rows and the list when due. False while the rows are too stale to base decisions on.
    bool refresh()
    {
        auto now = m_clock.now();
        if (now < m_blockedUntil)
            return false;
        if (m_stale || now >= m_nextRead)
            readRows();
        if (!m_stale && m_clock.now() >= m_nextList)
            readList();
        return !m_stale;
    }

    // Commits a change under a lease. After a failed commit the rows are read again.
    Result<Version> commit(const FleetChange& change, const Condition& fence, const OperationId& operation)
    {
        if (!acquireWritePermit())
            return notRun(Reason::Overloaded, "write rate limit reached");
        Transaction transaction { operation, change.conditions(), change.writes() };
        transaction.conditions.push_back(fence);
        auto committed = m_platform.commit(transaction);
        if (committed) {
            m_backoff.succeeded();
            applyCommitted(transaction, *committed);
            return committed;
        }
        m_stale = true;
        if (committed.error().reason != Reason::Conflict)
            m_blockedUntil = m_clock.now() + m_backoff.failed();
        return committed;
    }

    [[nodiscard]] const FleetView& view() const { return m_view; }
    [[nodiscard]] const std::map<VmId, ListedVm>& listed() const { return m_listed; }
    [[nodiscard]] TimePoint listedAt() const { return m_listedAt; }
    // Rows that could not be decoded at the last read.
    [[nodiscard]] const std::vector<std::string>& unreadable() const { return m_unreadable; }

    // The budget usage according to the rows and the list; VMs that the list does not show as live count as
    // unavailable.
    [[nodiscard]] const BudgetLedger& ledger()
    {
        if (!m_ledger) {
            std::set<VmId> live;
            for (const auto& [id, vm] : m_listed)
                if (vm.presence == VmPresence::Live)
                    live.insert(live.end(), id);
            m_ledger = m_view.ledger(live);
        }
        return *m_ledger;
    }

    [[nodiscard]] bool listIsFresh() const
    {
        return m_listRead && m_clock.now() - m_listedAt <= m_settings.listFreshFor;
    }

    [[nodiscard]] OperationId nextOperation(const std::string& kind)
    {
        return OperationId(fmt::format(
            "{}-{}-{}-{}", kind, m_process, m_clock.wallNow().time_since_epoch().count(), ++m_operations));
    }

    [[nodiscard]] P& platform() { return m_platform; }

private:
    // Budget rows must precede VM rows; see FleetView.
    static constexpr std::array readOrder { keys::eraKey, keys::budgetPrefix, keys::vmPrefix,
        keys::poolPrefix, keys::intentPrefix, keys::wavePrefix, keys::entryPrefix, keys::commandPrefix };

    void readRows()
    {
        m_stale = true;
        for (const auto* prefix : readOrder) {
            auto& since = m_readVersions[prefix];
            auto changes = m_platform.read(prefix, since);
            if (!changes) {
                m_blockedUntil = m_clock.now() + m_backoff.failed();
                return;
            }
            if (changes->tableVersion < since) {
                // The platform was restored to an earlier state: discard the cache and read all rows again.
                m_view = {};
                m_ledger.reset();
                m_readVersions.clear();
                return;
            }
            m_unreadable = m_view.apply(changes->rows);
            if (!changes->rows.empty())
                m_ledger.reset();
            since = changes->tableVersion;
        }
        m_backoff.succeeded();
        m_nextRead = m_clock.now() + m_settings.readEvery;
        m_stale = false;
    }

    void readList()
    {
        auto list = m_platform.listVms();
        m_nextList = m_clock.now() + m_settings.listEvery;
        if (!list)
            return;
        m_listed.clear();
        m_ledger.reset();
        for (auto& vm : *list)
            m_listed.emplace(vm.vm, vm);
        m_listedAt = m_clock.now();
        m_listRead = true;
    }

    // Applies this process's own committed writes to the view without reading them back.
    void applyCommitted(const Transaction& transaction, Version version)
    {
        std::vector<Row> rows;
        rows.reserve(transaction.writes.size());
        for (const auto& write : transaction.writes)
            rows.push_back({ write.key, write.value, version, transaction.operation, write.deletes });
        m_view.apply(rows);
        m_ledger.reset();
    }

    // Enforces the write rate limit in fixed windows of one second; false if this window's limit is reached.
    bool acquireWritePermit()
    {
        if (m_clock.now() >= m_windowEnd) {
            m_windowEnd = m_clock.now() + std::chrono::seconds(1);
            m_writesInWindow = 0;
        }
        if (m_writesInWindow >= m_settings.writesPerSecond)
            return false;
        ++m_writesInWindow;
        return true;
    }

    P& m_platform;
    const C& m_clock;
    const FleetSettings& m_settings;
    std::string m_process;
    FleetView m_view;
    std::map<std::string, Version> m_readVersions;
    std::map<VmId, ListedVm> m_listed;
    std::optional<BudgetLedger> m_ledger;
    std::vector<std::string> m_unreadable;
    TimePoint m_listedAt {};
    bool m_listRead { false };
    bool m_stale { true };
    TimePoint m_nextRead {};
    TimePoint m_nextList {};
    TimePoint m_blockedUntil {};
    TimePoint m_windowEnd {};
    std::uint32_t m_writesInWindow { 0 };
    std::uint64_t m_operations { 0 };
    Backoff m_backoff;
};

} // namespace fulmar::fleet

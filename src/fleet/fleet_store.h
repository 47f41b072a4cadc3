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

// The fleet's rows and the platform's list as last read, and the only way to change rows. After a write whose
// outcome is unknown nothing is decided before the rows have been read again: the rows then show whether it
// took effect, and a late arrival fails on its conditions.
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

    // Reads what is due. False while the rows are not known well enough to decide on.
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

    // Commits a change under a lease. Failures leave the rows to be read anew.
    Result<Version> commit(const FleetChange& change, const Condition& fence, const OperationId& operation)
    {
        if (!takeWriteAllowance())
            return notRun(Reason::Overloaded, "write allowance spent");
        Transaction transaction { operation, change.conditions(), change.writes() };
        transaction.conditions.push_back(fence);
        auto committed = m_platform.commit(transaction);
        if (committed) {
            m_backoff.succeeded();
            applyOwn(transaction, *committed);
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

    // The budgets as the rows and the list show them; VMs that the list does not show as live are
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

    [[nodiscard]] OperationId nextOperation(const std::string& what)
    {
        return OperationId(fmt::format(
            "{}-{}-{}-{}", what, m_process, m_clock.wallNow().time_since_epoch().count(), ++m_operations));
    }

    [[nodiscard]] P& platform() { return m_platform; }

private:
    // Budget rows come first; see FleetView.
    static constexpr std::array readOrder { keys::eraKey, keys::budgetPrefix, keys::vmPrefix,
        keys::poolPrefix, keys::intentPrefix, keys::wavePrefix, keys::entryPrefix, keys::commandPrefix };

    void readRows()
    {
        m_stale = true;
        for (const auto* prefix : readOrder) {
            auto& since = m_since[prefix];
            auto changes = m_platform.read(prefix, since);
            if (!changes) {
                m_blockedUntil = m_clock.now() + m_backoff.failed();
                return;
            }
            if (changes->tableVersion < since) {
                // The platform came back with less than it had: forget everything and read it all.
                m_view = {};
                m_ledger.reset();
                m_since.clear();
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

    void applyOwn(const Transaction& transaction, Version version)
    {
        std::vector<Row> rows;
        rows.reserve(transaction.writes.size());
        for (const auto& write : transaction.writes)
            rows.push_back({ write.key, write.value, version, transaction.operation, write.deletes });
        m_view.apply(rows);
        m_ledger.reset();
    }

    // Counts transactions in windows of one second.
    bool takeWriteAllowance()
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
    std::map<std::string, Version> m_since;
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

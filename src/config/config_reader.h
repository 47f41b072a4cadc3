#pragma once

#include "config/replica.h"
#include "config/version_eras.h"
#include "core/clock.h"
#include "platform/table.h"

#include <cstddef>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace fulmar {

// What one poll of the platform brought.
struct ConfigRead {
    // To apply to the replica and to hand to peers; versions are configuration versions.
    Changes changes;
    // The platform has less than it had: to be reported loudly. Rows that were lost have been committed
    // again.
    bool platformRolledBack { false };
    std::size_t rowsRestored { 0 };
};

// The transaction that brings a platform that went back up to the replica again; no writes if it is not
// behind.
[[nodiscard]] Transaction planRestoration(const std::map<std::string, Row>& tableRows, Version tableVersion,
    const VersionEras&, const ConfigReplica&);

// Turns the platform's versions into configuration versions.
[[nodiscard]] Changes toConfigVersions(const Changes&, const VersionEras&);

// Reads the distributed rows for a zone. Most polls read only what changed. The first poll, one in
// `fullReadEvery`, and any after the table's version fell, read everything and compare it with the replica.
template <PlatformClient P, Clock C> class ConfigReader {
public:
    static constexpr Duration fullReadEvery = std::chrono::seconds(60);

    ConfigReader(P& platform, const C& clock, std::string processName)
        : m_platform(platform)
        , m_clock(clock)
        , m_process(std::move(processName))
    {
    }

    // `known` is the version of this process's replica. A copy of the replica, with everything heard from
    // peers so far, is asked for only when everything is read.
    Result<ConfigRead> poll(Version known, const std::function<ConfigReplica()>& copyReplica)
    {
        bool isFull = m_since == 0 || m_clock.now() >= m_nextFullRead;
        auto changes = m_platform.read(keys::configPrefix, isFull ? 0 : m_since);
        if (!changes)
            return tl::unexpected(changes.error());
        bool rolledBack = changes->tableVersion < m_since;
        if (rolledBack && !isFull) {
            m_since = 0;
            return poll(known, copyReplica);
        }
        takeEra(*changes, isFull);
        rolledBack = rolledBack || m_eras.configVersion(changes->tableVersion) < known;
        m_since = rolledBack ? 0 : changes->tableVersion;
        ConfigRead read { toConfigVersions(*changes, m_eras), rolledBack, 0 };
        if (!isFull)
            return read;
        m_nextFullRead = m_clock.now() + fullReadEvery;
        return restore(*changes, copyReplica(), std::move(read));
    }

    [[nodiscard]] const VersionEras& eras() const { return m_eras; }

private:
    void takeEra(const Changes& changes, bool isFull)
    {
        if (isFull)
            m_eras = {};
        for (const auto& row : changes.rows)
            if (row.key == keys::eraKey)
                m_eras = VersionEras::fromRow(row);
    }

    // Commits lost rows again if there are any. The next poll reads everything, and finds out what took
    // effect.
    Result<ConfigRead> restore(const Changes& changes, const ConfigReplica& replica, ConfigRead read)
    {
        std::map<std::string, Row> rows;
        for (const auto& row : changes.rows)
            rows.emplace(row.key, row);
        auto transaction = planRestoration(rows, changes.tableVersion, m_eras, replica);
        if (transaction.writes.empty())
            return read;
        read.platformRolledBack = true;
        // What has been read lacks rows: only a later read, after the restoration, counts as complete.
        read.changes.tableVersion = 0;
        m_since = 0;
        transaction.operation = OperationId(fmt::format("{}{}-{}-{}", restorationPrefix, m_process,
            m_clock.wallNow().time_since_epoch().count(), ++m_operations));
        if (auto committed = m_platform.commit(transaction))
            read.rowsRestored = transaction.writes.size() - 1;
        return read;
    }

    P& m_platform;
    const C& m_clock;
    std::string m_process;
    VersionEras m_eras;
    // The platform's version up to which everything has been read; 0 asks for a full read.
    Version m_since { 0 };
    TimePoint m_nextFullRead {};
    std::uint64_t m_operations { 0 };
};

} // namespace fulmar

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

// Result of one poll of the platform.
struct ConfigRead {
    // To apply to the replica and to pass on to peers. The versions are configuration versions.
    Changes changes;
    // The platform was found rolled back, for example to a backup. The caller records it.
    bool platformRolledBack { false };
    // Rows recommitted in this poll, without the era row; 0 if none were lost or the commit failed.
    std::size_t rowsRecommitted { 0 };
};

// Returns the transaction that recommits the rows that a rolled-back platform lost, from the replica; it has
// no writes if the platform is not behind.
[[nodiscard]] Transaction planRecommit(const std::map<std::string, Row>& tableRows, Version tableVersion,
    const VersionEras&, const ConfigReplica&);

// Converts table versions to configuration versions.
[[nodiscard]] Changes toConfigVersions(const Changes&, const VersionEras&);

// Reads the distributed rows for a zone. Most polls read only changes. The first poll, one every
// `fullReadInterval`, and any after the table's version decreased read all rows and compare them with the
// replica.
template <PlatformClient P, Clock C> class ConfigReader {
public:
    static constexpr Duration fullReadInterval = std::chrono::seconds(60);

    ConfigReader(P& platform, const C& clock, std::string processName)
        : m_platform(platform)
        , m_clock(clock)
        , m_process(std::move(processName))
    {
    }

    // `known` is the version of this process's replica. `copyReplica` is called only for a full read; its
    // copy includes all changes received from peers so far.
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
        updateEras(*changes, isFull);
        rolledBack = rolledBack || m_eras.configVersion(changes->tableVersion) < known;
        m_since = rolledBack ? 0 : changes->tableVersion;
        ConfigRead read { toConfigVersions(*changes, m_eras), rolledBack, 0 };
        if (!isFull)
            return read;
        m_nextFullRead = m_clock.now() + fullReadInterval;
        return recommitLostRows(*changes, copyReplica(), std::move(read));
    }

    [[nodiscard]] const VersionEras& eras() const { return m_eras; }

private:
    void updateEras(const Changes& changes, bool isFull)
    {
        if (isFull)
            m_eras = {};
        for (const auto& row : changes.rows)
            if (row.key == keys::eraKey)
                m_eras = VersionEras::fromRow(row);
    }

    // Recommits lost rows if there are any. The next poll then reads all rows, which shows the result.
    Result<ConfigRead> recommitLostRows(const Changes& changes, const ConfigReplica& replica, ConfigRead read)
    {
        std::map<std::string, Row> rows;
        for (const auto& row : changes.rows)
            rows.emplace(row.key, row);
        auto transaction = planRecommit(rows, changes.tableVersion, m_eras, replica);
        if (transaction.writes.empty())
            return read;
        read.platformRolledBack = true;
        // This read lacks the lost rows, so the replica's version must not advance to the table's; the next
        // read is complete.
        read.changes.tableVersion = 0;
        m_since = 0;
        transaction.operation = OperationId(fmt::format("{}{}-{}-{}", recommitPrefix, m_process,
            m_clock.wallNow().time_since_epoch().count(), ++m_operations));
        if (auto committed = m_platform.commit(transaction))
            read.rowsRecommitted = transaction.writes.size() - 1;
        return read;
    }

    P& m_platform;
    const C& m_clock;
    std::string m_process;
    VersionEras m_eras;
    // Table version up to which all changes have been read; 0 requests a full read.
    Version m_since { 0 };
    TimePoint m_nextFullRead {};
    std::uint64_t m_operations { 0 };
};

} // namespace fulmar

#pragma once

#include "config/model.h"
#include "core/clock.h"
#include "operate/command_row.h"
#include "platform/table.h"

#include <algorithm>
#include <array>
#include <map>
#include <string>

namespace fulmar::operate {

// The rows that only operators ask for: commands, waves, intents and leases. Read when an operator asks, and
// then only what has changed; while the platform is out, the rows last read serve on.
template <PlatformClient P> class RowCache {
public:
    explicit RowCache(P& platform)
        : m_platform(platform)
    {
    }

    // Reads what has changed. False if the platform did not answer; the rows are then those read before.
    bool refresh(TimePoint now)
    {
        Version newest = ~Version { 0 };
        for (const auto* prefix : prefixes) {
            auto changes = m_platform.read(prefix, m_version);
            if (!changes)
                return false;
            // The platform came back with less than it had: read everything again.
            if (changes->tableVersion < m_version) {
                forget();
                return false;
            }
            newest = std::min(newest, changes->tableVersion);
            for (auto& row : changes->rows)
                keep(std::move(row));
        }
        m_version = newest;
        m_readAt = now;
        return true;
    }

    [[nodiscard]] const std::map<std::string, Row>& commands() const { return m_commands; }
    [[nodiscard]] const std::map<std::string, Row>& others() const { return m_others; }
    [[nodiscard]] Version version() const { return m_version; }
    [[nodiscard]] TimePoint readAt() const { return m_readAt; }

private:
    static constexpr std::array prefixes { keys::commandPrefix, orderPrefix, keys::wavePrefix,
        keys::intentPrefix, keys::leasePrefix };

    void forget()
    {
        m_commands.clear();
        m_others.clear();
        m_version = 0;
    }

    void keep(Row row)
    {
        bool isCommand = row.key.starts_with(keys::commandPrefix) || row.key.starts_with(orderPrefix);
        auto& rows = isCommand ? m_commands : m_others;
        if (row.deleted)
            rows.erase(row.key);
        else
            rows.insert_or_assign(row.key, std::move(row));
    }

    P& m_platform;
    std::map<std::string, Row> m_commands;
    std::map<std::string, Row> m_others;
    Version m_version { 0 };
    TimePoint m_readAt {};
};

} // namespace fulmar::operate

#pragma once

#include "config/model.h"
#include "core/clock.h"
#include "fleet/backoff.h"
#include "platform/table.h"

#include <cassert>
#include <fmt/format.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmar::fleet {

// The value of a row lease/<duty>/<shard>.
struct LeaseRecord {
    ProcessId holder;
    // Increases with each new claim of the lease.
    Epoch epoch { 0 };
    // Number of renewals since the lease was claimed.
    std::uint64_t renewals { 0 };
};

[[nodiscard]] std::string encode(const LeaseRecord&);

struct LeaseSettings {
    // Another process takes over after it has seen no renewal for this long on its own clock.
    Duration length { std::chrono::seconds(10) };
    Duration renewEvery { std::chrono::seconds(2) };
    // The holder stops acting this long before other processes may take over.
    Duration margin { std::chrono::seconds(4) };
};

// Acquires and renews the leases on a duty's shards for one process. Clocks of different processes are never
// compared: an observer measures from when it saw a renewal, the holder from just before it sent that
// renewal, so the holder always stops first. Clocks only decide when to stop and when to take over. Mutual
// exclusion comes from fence(), a condition on the lease row's version that every write made under the lease
// carries.
template <PlatformClient P, Clock C> class LeaseKeeper {
public:
    LeaseKeeper(P& platform, const C& clock, std::string duty, std::uint32_t shards, ProcessId self,
        LeaseSettings settings = {})
        : m_platform(platform)
        , m_clock(clock)
        , m_prefix(fmt::format("{}{}/", keys::leasePrefix, duty))
        , m_self(std::move(self))
        , m_settings(settings)
        , m_shards(shards)
        , m_backoff(m_self.value())
    {
        assert(shards > 0 && settings.margin < settings.length && settings.renewEvery < settings.length);
    }

    // Renews held leases and claims free or expired ones when due. Reads the lease rows every `renewEvery`/2,
    // and at once after a conflict.
    void step()
    {
        if (m_nextRead <= m_clock.now())
            observeRows();
        for (std::uint32_t shard = 0; shard < m_shards.size(); ++shard) {
            auto& state = m_shards[shard];
            if (state.held && state.renewedAt + m_settings.renewEvery <= m_clock.now())
                write(shard, state.row.epoch, state.row.renewals + 1);
            else if (!state.held && mayClaim(state))
                write(shard, state.row.epoch + 1, 0);
        }
    }

    // The condition that every write under the shard's lease must carry; empty unless the lease is held and
    // more than its margin remains. Call again for each transaction.
    [[nodiscard]] std::optional<Condition> fence(std::uint32_t shard) const
    {
        const auto& state = m_shards.at(shard);
        if (!state.held || m_clock.now() >= state.renewedAt + m_settings.length - m_settings.margin)
            return std::nullopt;
        return Condition { key(shard), state.version };
    }

    [[nodiscard]] bool holds(std::uint32_t shard) const { return fence(shard).has_value(); }

    [[nodiscard]] Epoch epoch(std::uint32_t shard) const { return m_shards.at(shard).row.epoch; }

    // The holder that the lease row names; empty if no row has been seen.
    [[nodiscard]] const ProcessId& holder(std::uint32_t shard) const { return m_shards.at(shard).row.holder; }

    [[nodiscard]] std::uint32_t shardCount() const { return std::uint32_t(m_shards.size()); }

    [[nodiscard]] std::size_t heldCount() const
    {
        std::size_t count = 0;
        for (std::uint32_t shard = 0; shard < m_shards.size(); ++shard)
            count += holds(shard) ? 1 : 0;
        return count;
    }

    // Makes the next step read the lease rows at once; called when a write under a fence met a conflict.
    void recheck() { m_nextRead = TimePoint {}; }

private:
    // A write whose outcome is not known yet. It is repeated unchanged until a read or a reply shows the
    // outcome.
    struct PendingWrite {
        Transaction transaction;
        LeaseRecord record;
        TimePoint sentAt {};
    };

    struct ShardState {
        LeaseRecord row;
        Version version { 0 };
        OperationId operation;
        bool held { false };
        bool seen { false };
        // When this process first saw the current version.
        TimePoint seenAt {};
        // When this process sent its last successful renewal.
        TimePoint renewedAt {};
        std::optional<PendingWrite> pending;
        // The table was restored to an earlier state: a process may hold the lease although its row is
        // missing.
        bool mayBeHeld { false };
    };

    [[nodiscard]] std::string key(std::uint32_t shard) const { return fmt::format("{}{}", m_prefix, shard); }

    // The delay before a claim grows with the number of leases held, so that shards spread over the
    // processes.
    [[nodiscard]] bool mayClaim(const ShardState& state) const
    {
        if (!state.seen)
            return false;
        auto takeoverDelay = m_settings.renewEvery * int(heldCount());
        if (state.version != 0 || state.mayBeHeld)
            takeoverDelay += m_settings.length;
        return m_clock.now() >= state.seenAt + takeoverDelay;
    }

    void observeRows()
    {
        auto changes = m_platform.read(m_prefix, 0);
        if (!changes) {
            backOff();
            return;
        }
        m_backoff.succeeded();
        m_nextRead = m_clock.now() + m_settings.renewEvery / 2;
        bool restored = changes->tableVersion < m_tableVersion;
        m_tableVersion = changes->tableVersion;
        std::map<std::string, Row> rows;
        for (auto& row : changes->rows)
            if (!row.deleted)
                rows.emplace(row.key, std::move(row));
        for (std::uint32_t shard = 0; shard < m_shards.size(); ++shard)
            observe(m_shards[shard], rows[key(shard)], restored);
    }

    // A table restored to an earlier state may assign versions again, so leases held before it no longer
    // count.
    void observe(ShardState& state, const Row& row, bool restored)
    {
        if (state.seen && !restored && row.version == state.version && row.operation == state.operation)
            return;
        bool isOurs = state.pending && !restored && row.operation == state.pending->transaction.operation;
        state.held = isOurs;
        state.mayBeHeld = restored;
        if (isOurs)
            state.renewedAt = state.pending->sentAt;
        state.pending.reset();
        state.seen = true;
        state.seenAt = m_clock.now();
        state.version = row.version;
        state.operation = row.operation;
        state.row = decode<LeaseRecord>(row.value).value_or(LeaseRecord {});
    }

    // Commits a claim or renewal, or repeats the pending one.
    void write(std::uint32_t shard, Epoch epoch, std::uint64_t renewals)
    {
        auto& state = m_shards[shard];
        if (m_clock.now() < m_nextWrite)
            return;
        if (!state.pending) {
            LeaseRecord record { m_self, epoch, renewals };
            OperationId operation(fmt::format("lease-{}-{}{}-{}-{}", m_self.value(), m_prefix, shard, epoch,
                m_clock.wallNow().time_since_epoch().count() + std::int64_t(++m_operationCounter)));
            Transaction transaction { std::move(operation), { { key(shard), state.version } },
                { { key(shard), encode(record), false } } };
            state.pending = PendingWrite { std::move(transaction), std::move(record), m_clock.now() };
        }
        handleCommitResult(state, m_platform.commit(state.pending->transaction));
    }

    void handleCommitResult(ShardState& state, const Result<Version>& committed)
    {
        if (committed) {
            auto pending = *std::exchange(state.pending, std::nullopt);
            state = { pending.record, *committed, pending.transaction.operation, true, true, pending.sentAt,
                pending.sentAt, {} };
            return;
        }
        if (committed.error().reason == Reason::Conflict) {
            // Another process or an earlier try of this one wrote the row. The next read shows which, and
            // observe() sets `held` again if it was this process.
            state.held = false;
            m_nextRead = TimePoint {};
            return;
        }
        if (committed.error().outcome == Outcome::NotRun)
            state.pending.reset();
        backOff();
    }

    void backOff()
    {
        m_nextRead = m_clock.now() + m_backoff.failed();
        m_nextWrite = m_nextRead;
    }

    P& m_platform;
    const C& m_clock;
    std::string m_prefix;
    ProcessId m_self;
    LeaseSettings m_settings;
    std::vector<ShardState> m_shards;
    Version m_tableVersion { 0 };
    TimePoint m_nextRead {};
    TimePoint m_nextWrite {};
    Backoff m_backoff;
    std::uint64_t m_operationCounter { 0 };
};

} // namespace fulmar::fleet

namespace fulmar {

// Names that other modules use unqualified.
using fleet::LeaseKeeper;
using fleet::LeaseRecord;
using fleet::LeaseSettings;

template <> Result<fleet::LeaseRecord> decode(const std::string& text);

} // namespace fulmar

#pragma once

#include "core/clock.h"
#include "teams/quota_rows.h"
#include "teams/team_config.h"

#include <deque>
#include <set>
#include <unordered_map>
#include <vector>

namespace fulmar::teams {

// What a team has in one shard, in full amounts of its tasks.
struct TeamUse {
    // Counts as running.
    Resources used;
    // Tasks that only the team's quota holds back, and the most that is to be started at once of them.
    Resources heldBack;
    Resources largestGroup;
    // Tasks that are within the quota and wait for a runner.
    Resources queued;
};
using TeamUses = std::map<TeamId, TeamUse>;

// A row of table `team_limits` as the store has it.
struct QuotaRow {
    std::string key;
    std::string value;
    // 0 for a row that does not exist.
    Version version { 0 };
    bool isRemoved { false };
};

// A transaction to commit: conditions on the versions of rows, and values.
struct QuotaWrite {
    struct Condition {
        std::string key;
        Version version { 0 };
    };
    std::vector<Condition> conditions;
    std::vector<std::pair<std::string, std::string>> puts;
};

enum class QuotaWriteOutcome : std::uint8_t {
    Committed,
    // Nothing was written; the rows of the conditions are reported by onRow() before.
    Conflict,
    NotDone,
    // It may have been written, or may be later.
    Unknown,
};

// One shard's view of the teams' quotas. Each shard has a share of every team's limit; the shares of a team
// sum to one. It decides what the shard may start, what share it asks for, and what it gives to other shards.
// Does no I/O. docs/design/team-quota.md says why the limit holds.
class QuotaLedger {
public:
    explicit QuotaLedger(Epoch epoch)
        : m_epoch(epoch)
    {
    }

    // No job of a team starts before the first configuration.
    void awaitConfiguration() { m_configVersion = -1; }
    // The teams of the newest configuration, and this shard among all of them.
    void configure(
        std::int64_t version, const std::vector<TeamConfig>&, std::uint32_t shard, std::uint32_t shardCount);
    // A team has a limit, or had one that the shard has to follow until the store has the newer one.
    [[nodiscard]] bool isNeeded() const;
    [[nodiscard]] bool isLimited(const TeamId&) const;
    // The amounts of 0 are unlimited.
    [[nodiscard]] Resources limitOf(const TeamId&) const;

    void onRow(const QuotaRow&);
    // All rows were read after the claim was committed; rows not reported do not exist.
    void onRowsRead();
    // The configuration and the rows are recent enough to start tasks by them.
    void setFresh(bool isFresh) { m_isFresh = isFresh; }
    [[nodiscard]] bool isClaimed() const { return m_isClaimed; }
    // Another holder of the shard has claimed it.
    [[nodiscard]] bool isOutdated() const { return m_isOutdated; }

    // Whether the team may start `need` more, all at once, beside what it has `used`.
    [[nodiscard]] bool mayStart(const TeamId&, const Resources& used, const Resources& need) const;
    // How many tasks of that size the team may start beside what it has `used`.
    [[nodiscard]] std::uint32_t startable(
        const TeamId&, const Resources& used, const Resources& perTask, std::uint32_t count) const;

    // What to write now, if anything; report its outcome before the next call. `uses` is what each team has
    // in the shard at this time.
    [[nodiscard]] std::optional<QuotaWrite> propose(const TeamUses& uses, TimePoint now);
    void onWritten(QuotaWriteOutcome, Version, TimePoint now);
    // When to call propose() again although nothing else happens.
    [[nodiscard]] std::optional<TimePoint> wakeAt() const { return m_wakeAt; }

    // This shard's share of the team's limit.
    [[nodiscard]] Share ownShare(const TeamId&) const;
    // What it is if no shard has given any away.
    [[nodiscard]] Share equalShare() const { return equalShare(m_shard); }
    [[nodiscard]] std::uint32_t shard() const { return m_shard; }
    // Teams that want a larger share here, and rows of transfers written, for the log.
    [[nodiscard]] std::size_t wantCount() const { return m_own ? m_own->row.wants.size() : 0; }
    [[nodiscard]] std::uint64_t transferCount() const { return m_transfersMade; }

private:
    struct StoredHolder {
        HolderRow row;
        Version version { 0 };
    };
    struct StoredTransfer {
        TransferRow row;
        Version version { 0 };
    };
    // A write whose outcome is not known.
    struct Pending {
        HolderRow holder;
        std::map<TeamId, TransferRow> transfers;
    };
    // What a team may use here.
    struct Allowance {
        // Something that is needed to tell is not known.
        bool isBlocked { false };
        Resources limit;
        // At most this may count as running here.
        Resources most;
        // The shard has the whole share, and no other shard has more than its share.
        std::array<bool, resourceKinds.size()> isWhole {};
    };

    [[nodiscard]] const Limits* tableOf(std::uint64_t fingerprint) const;
    [[nodiscard]] Share shareOf(std::uint32_t shard, const TeamId&) const;
    [[nodiscard]] Share equalShare(std::uint32_t shard) const;
    // What the other shard lacks of its equal share, if that lets it start something; else nothing. This
    // shard yields it from what it has above its own equal share, so that a backlog in one shard does not
    // hold back the others for long.
    [[nodiscard]] Share claimOf(std::uint32_t shard, const TeamId&) const;
    // Limit of the team by every configuration that this shard's row may announce; std::nullopt if one of
    // them is not known.
    [[nodiscard]] std::optional<Resources> announcedLimit(const TeamId&) const;
    [[nodiscard]] const Allowance& allowanceOf(const TeamId&) const;
    [[nodiscard]] Allowance computeAllowance(const TeamId&) const;
    // Adds what another shard may use beyond its share of `limit`; false if that is not known.
    [[nodiscard]] bool addExcess(
        std::uint32_t shard, const TeamId&, const Resources& limit, Resources& excess) const;
    void onHolderRow(std::uint32_t shard, const QuotaRow&);
    void onOwnRow(const HolderRow&, Version);
    void apply(const Pending&, Version);
    void invalidate() { m_allowances.clear(); }
    [[nodiscard]] bool isAnnounced() const;
    [[nodiscard]] std::map<TeamId, Resources> overOf(const TeamUses&, bool isNewTable) const;
    [[nodiscard]] std::map<TeamId, Want> wantsOf(const TeamUses&) const;
    [[nodiscard]] Share targetOf(const TeamId&, const TeamUse&) const;
    [[nodiscard]] bool isWantOutdated(const TeamId&, const Want&, const Share& target) const;
    [[nodiscard]] bool areWantsOutdated(const std::map<TeamId, Want>& desired) const;
    [[nodiscard]] Share groupOf(const TeamId&, const TeamUse&) const;
    [[nodiscard]] std::uint64_t nextSince(const TeamId&) const;
    void addTransfers(const TeamUses&, TimePoint now, Pending&, QuotaWrite&);
    void addTransfersOf(const TeamId&, const TeamUse&, TimePoint now, Pending&, QuotaWrite&);
    [[nodiscard]] TimePoint turnToGive(std::uint32_t to, const Share& need, TimePoint seenAt) const;
    [[nodiscard]] std::optional<Resources> limitInUse(const TeamId&) const;
    void wakeNoLaterThan(TimePoint);
    void updateSeenWants(TimePoint now);
    [[nodiscard]] Share spareOf(const TeamId&, const TeamUse&, bool keepsQueued) const;
    [[nodiscard]] std::optional<QuotaWrite> claim(TimePoint now);
    [[nodiscard]] QuotaWrite send(Pending, QuotaWrite);
    [[nodiscard]] Duration writePause() const;

    const Epoch m_epoch;
    std::uint32_t m_shard { 0 };
    std::uint32_t m_shardCount { 1 };
    // -1 while the first one is awaited.
    std::int64_t m_configVersion { 0 };
    std::uint64_t m_fingerprint { 0 };
    Limits m_limits;
    // Limits of recent configurations by fingerprint, the newest last.
    std::deque<std::pair<std::uint64_t, Limits>> m_tables;
    // Rows of all shards, this one's included, as the store last showed them.
    std::map<std::uint32_t, StoredHolder> m_holders;
    std::map<TeamId, std::map<std::uint32_t, StoredTransfer>> m_transfers;
    // This holder's row as the store has it, once it is claimed.
    std::optional<StoredHolder> m_own;
    // Version that the next write of the own row expects.
    Version m_ownVersion { 0 };
    std::vector<Pending> m_pending;
    bool m_isInFlight { false };
    // Condition of the write in flight on the own row.
    Version m_expectedVersion { 0 };
    bool m_isClaimed { false };
    bool m_wasClaimed { false };
    bool m_isOpen { false };
    bool m_isOutdated { false };
    bool m_isFresh { false };
    std::uint64_t m_serial { 0 };
    TimePoint m_nextWrite;
    // When the row's list of teams over their share may be shortened next.
    TimePoint m_nextOverWrite;
    std::optional<TimePoint> m_wakeAt;
    // When each want of another shard was first seen.
    struct SeenWant {
        Want want;
        TimePoint at;
    };
    std::map<std::pair<std::uint32_t, TeamId>, SeenWant> m_seenWants;
    std::uint64_t m_transfersMade { 0 };
    mutable std::map<TeamId, Allowance> m_allowances;
};

} // namespace fulmar::teams

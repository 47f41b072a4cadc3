#include "teams/quota_ledger.h"

#include "core/log.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace fulmar::teams {

namespace {

using std::chrono::milliseconds;

constexpr auto unlimited = std::numeric_limits<std::int64_t>::max();
// Other shards may announce older limits for as long as they take to follow a configuration, some seconds.
constexpr std::size_t maxTables = 16;
// A part of the store handles 150 transactions a second; all shards together make at most 125.
constexpr milliseconds writePausePerShard { 8 };
constexpr milliseconds minWritePause { 100 };
constexpr milliseconds pauseAfterFailure { 250 };
// A shard that is still over its share tells so at most this often.
constexpr milliseconds overWritePause { 500 };
std::int64_t smaller(std::int64_t a, std::int64_t b)
{
    if (a == 0 || b == 0)
        return std::max(a, b);
    return std::min(a, b);
}

// The stricter of two limits, in which 0 is unlimited.
Resources stricter(const Resources& a, const Resources& b)
{
    return { smaller(a.cpu, b.cpu), smaller(a.memoryMb, b.memoryMb),
        smaller(a.accelerators, b.accelerators) };
}

} // namespace

void QuotaLedger::configure(std::int64_t version, const std::vector<TeamConfig>& configs, std::uint32_t shard,
    std::uint32_t shardCount)
{
    m_configVersion = version;
    m_shard = shard;
    m_shardCount = shardCount;
    m_limits.clear();
    for (const auto& team : configs)
        if (!isNothing(team.limit))
            m_limits.insert_or_assign(team.id, team.limit);
    m_fingerprint = fingerprintOf(m_limits);
    std::erase_if(m_tables, [this](const auto& table) { return table.first == m_fingerprint; });
    m_tables.emplace_back(m_fingerprint, m_limits);
    if (m_tables.size() > maxTables)
        m_tables.pop_front();
    invalidate();
}

// Once the shard has announced limits, it follows them until the store has its next announcement.
bool QuotaLedger::isNeeded() const
{
    return m_configVersion < 0 || !m_limits.empty() || m_own || !m_pending.empty();
}

bool QuotaLedger::isLimited(const TeamId& team) const
{
    if (team.empty() || !isNeeded())
        return false;
    if (m_limits.contains(team))
        return true;
    auto announced = announcedLimit(team);
    return !announced || !isNothing(*announced);
}

Resources QuotaLedger::limitOf(const TeamId& team) const
{
    auto found = m_limits.find(team);
    return found == m_limits.end() ? Resources {} : found->second;
}

const Limits* QuotaLedger::tableOf(std::uint64_t fingerprint) const
{
    auto found = std::find_if(m_tables.begin(), m_tables.end(),
        [fingerprint](const auto& table) { return table.first == fingerprint; });
    return found == m_tables.end() ? nullptr : &found->second;
}

Share QuotaLedger::equalShare(std::uint32_t shard) const
{
    auto share = wholeShare / m_shardCount + (shard < wholeShare % m_shardCount ? 1 : 0);
    return { share, share, share };
}

Share QuotaLedger::shareOf(std::uint32_t shard, const TeamId& team) const
{
    auto share = equalShare(shard);
    auto found = m_transfers.find(team);
    if (found == m_transfers.end())
        return share;
    for (const auto& [from, transfer] : found->second)
        for (const auto& [to, given] : transfer.row) {
            if (from == shard)
                share -= given;
            if (to == shard)
                share += given;
        }
    return share;
}

// The lowest that it can be after any of the writes whose outcome is not known.
Share QuotaLedger::ownShare(const TeamId& team) const
{
    auto share = shareOf(m_shard, team);
    Resources stored;
    if (auto found = m_transfers.find(team); found != m_transfers.end())
        if (auto own = found->second.find(m_shard); own != found->second.end())
            for (const auto& [to, given] : own->second.row)
                stored += given;
    Share lowest = share;
    for (const auto& pending : m_pending) {
        auto found = pending.transfers.find(team);
        if (found == pending.transfers.end())
            continue;
        auto possible = share;
        possible += stored;
        for (const auto& [to, given] : found->second)
            possible -= given;
        for (auto kind : resourceKinds)
            lowest.*kind = std::min(lowest.*kind, possible.*kind);
    }
    return lowest;
}

std::optional<Resources> QuotaLedger::announcedLimit(const TeamId& team) const
{
    if (!m_own)
        return std::nullopt;
    Resources limit;
    auto add = [&](const HolderRow& row) {
        const auto* table = tableOf(row.limits);
        if (!table)
            return false;
        if (auto found = table->find(team); found != table->end())
            limit = stricter(limit, found->second);
        return true;
    };
    if (!add(m_own->row))
        return std::nullopt;
    for (const auto& pending : m_pending)
        if (!add(pending.holder))
            return std::nullopt;
    return limit;
}

std::optional<Resources> QuotaLedger::limitInUse(const TeamId& team) const
{
    auto announced = announcedLimit(team);
    return announced ? std::optional(stricter(limitOf(team), *announced)) : std::nullopt;
}

Share QuotaLedger::claimOf(std::uint32_t shard, const TeamId& team) const
{
    auto holder = m_holders.find(shard);
    if (holder == m_holders.end() || holder->second.row.limits != m_fingerprint)
        return {};
    auto found = holder->second.row.wants.find(team);
    if (found == holder->second.row.wants.end())
        return {};
    const auto& want = found->second;
    auto share = shareOf(shard, team);
    auto equal = equalShare(shard);
    Share claim;
    for (auto kind : resourceKinds) {
        // With less it could start nothing, and would give its share away again.
        if (want.group.*kind > 0 && equal.*kind - share.*kind < want.group.*kind)
            return {};
        claim.*kind = std::max<std::int64_t>(0, std::min(want.target.*kind, equal.*kind) - share.*kind);
    }
    return claim;
}

const QuotaLedger::Allowance& QuotaLedger::allowanceOf(const TeamId& team) const
{
    auto found = m_allowances.find(team);
    if (found == m_allowances.end())
        found = m_allowances.emplace(team, computeAllowance(team)).first;
    return found->second;
}

QuotaLedger::Allowance QuotaLedger::computeAllowance(const TeamId& team) const
{
    Allowance allowance;
    auto limit = limitOf(team);
    auto inUse = limitInUse(team);
    allowance.isBlocked = !m_isOpen || m_isOutdated || !inUse;
    Resources excess;
    for (std::uint32_t shard = 0; shard < m_shardCount && !allowance.isBlocked; ++shard)
        if (shard != m_shard)
            allowance.isBlocked = !addExcess(shard, team, limit, excess);
    if (allowance.isBlocked)
        return allowance;
    allowance.limit = *inUse;
    auto share = ownShare(team);
    auto equal = equalShare(m_shard);
    Share claims;
    for (std::uint32_t shard = 0; shard < m_shardCount; ++shard)
        if (shard != m_shard)
            claims += claimOf(shard, team);
    for (std::size_t i = 0; i < resourceKinds.size(); ++i) {
        auto kind = resourceKinds[i];
        auto& most = allowance.most.*kind;
        if (allowance.limit.*kind == 0) {
            most = unlimited;
            continue;
        }
        most = amountOf(share.*kind, allowance.limit.*kind);
        if (limit.*kind > 0)
            most = std::min(most, amountOf(share.*kind, limit.*kind) - excess.*kind);
        auto kept = std::max(std::min(share.*kind, equal.*kind), share.*kind - claims.*kind);
        most = std::min(most, amountOf(kept, allowance.limit.*kind));
        allowance.isWhole[i] = share.*kind == wholeShare && excess.*kind == 0;
    }
    return allowance;
}

bool QuotaLedger::addExcess(
    std::uint32_t shard, const TeamId& team, const Resources& limit, Resources& excess) const
{
    auto found = m_holders.find(shard);
    if (found == m_holders.end())
        return false;
    const auto& row = found->second.row;
    auto announced = limit;
    if (row.limits != m_fingerprint) {
        if (const auto* table = tableOf(row.limits)) {
            auto entry = table->find(team);
            announced = entry == table->end() ? Resources {} : entry->second;
        } else if (row.limits == 0 || row.configVersion <= m_configVersion) {
            return false;
        }
        // Else its configuration is newer than this one, and so in force as well.
    }
    auto share = shareOf(shard, team);
    auto over = row.over.find(team);
    for (auto kind : resourceKinds) {
        if (limit.*kind == 0)
            continue;
        auto possible
            = announced.*kind == 0 ? unlimited / wholeShare : amountOf(share.*kind, announced.*kind);
        if (over != row.over.end() && announced.*kind != 0)
            possible = std::max(possible, over->second.*kind);
        excess.*kind += std::max<std::int64_t>(0, possible - amountOf(share.*kind, limit.*kind));
    }
    return true;
}

bool QuotaLedger::mayStart(const TeamId& team, const Resources& used, const Resources& need) const
{
    if (!isLimited(team))
        return true;
    if (!m_isFresh)
        return false;
    const auto& allowance = allowanceOf(team);
    if (allowance.isBlocked)
        return false;
    for (std::size_t i = 0; i < resourceKinds.size(); ++i) {
        auto kind = resourceKinds[i];
        if (need.*kind == 0 || allowance.most.*kind == unlimited)
            continue;
        auto isLargerThanLimit
            = need.*kind > allowance.limit.*kind && allowance.isWhole[i] && isNothing(used);
        if (used.*kind + need.*kind > allowance.most.*kind && !isLargerThanLimit)
            return false;
    }
    return true;
}

std::uint32_t QuotaLedger::startable(
    const TeamId& team, const Resources& used, const Resources& perTask, std::uint32_t count) const
{
    if (!isLimited(team))
        return count;
    const auto& allowance = allowanceOf(team);
    if (allowance.isBlocked)
        return 0;
    auto most = std::int64_t(count);
    for (auto kind : resourceKinds)
        if (perTask.*kind > 0 && allowance.most.*kind != unlimited)
            most = std::min(
                most, std::max<std::int64_t>(0, allowance.most.*kind - used.*kind) / perTask.*kind);
    return std::uint32_t(most);
}

void QuotaLedger::onRow(const QuotaRow& row)
{
    auto key = parseQuotaKey(row.key);
    if (!key || row.isRemoved)
        return;
    if (key->team.empty()) {
        onHolderRow(key->shard, row);
        return;
    }
    auto& stored = m_transfers[key->team][key->shard];
    if (row.version <= stored.version)
        return;
    auto transfer = decodeTransferRow(row.value);
    if (!transfer) {
        logWarning("row-unreadable", { { "table", "team_limits" }, { "key", row.key } });
        return;
    }
    stored = { std::move(*transfer), row.version };
    invalidate();
}

void QuotaLedger::onHolderRow(std::uint32_t shard, const QuotaRow& row)
{
    auto& stored = m_holders[shard];
    if (row.version <= stored.version)
        return;
    auto holder = decodeHolderRow(row.value);
    // What the shard may use is not known then.
    if (!holder)
        logWarning("row-unreadable", { { "table", "team_limits" }, { "key", row.key } });
    stored = { holder.value_or(HolderRow {}), row.version };
    if (shard == m_shard)
        onOwnRow(stored.row, row.version);
    invalidate();
}

void QuotaLedger::onOwnRow(const HolderRow& row, Version version)
{
    m_ownVersion = std::max(m_ownVersion, version);
    if (row.epoch > m_epoch) {
        m_isOutdated = true;
        return;
    }
    if (row.epoch < m_epoch)
        return;
    auto written = std::find_if(m_pending.begin(), m_pending.end(),
        [&](const Pending& pending) { return pending.holder.serial == row.serial; });
    if (written != m_pending.end())
        apply(Pending(*written), version);
}

// The writes before it can no longer be carried out: they expect an earlier version of the row.
void QuotaLedger::apply(const Pending& written, Version version)
{
    m_own = StoredHolder { written.holder, version };
    m_ownVersion = version;
    m_holders[m_shard] = *m_own;
    for (const auto& [team, transfer] : written.transfers) {
        m_transfers[team][m_shard] = { transfer, version };
        ++m_transfersMade;
    }
    m_pending.clear();
    m_isClaimed = true;
    invalidate();
}

void QuotaLedger::onRowsRead()
{
    m_isOpen = m_isClaimed;
    invalidate();
}

bool QuotaLedger::isAnnounced() const
{
    return m_own && m_own->row.limits == m_fingerprint && m_pending.empty();
}

Duration QuotaLedger::writePause() const
{
    return std::max<Duration>(minWritePause, writePausePerShard * m_shardCount);
}

void QuotaLedger::wakeNoLaterThan(TimePoint at) { m_wakeAt = m_wakeAt ? std::min(*m_wakeAt, at) : at; }

QuotaWrite QuotaLedger::send(Pending pending, QuotaWrite write)
{
    m_isInFlight = true;
    m_expectedVersion = m_ownVersion;
    pending.holder.epoch = m_epoch;
    pending.holder.serial = ++m_serial;
    write.conditions.push_back({ holderKey(m_shard), m_expectedVersion });
    write.puts.emplace_back(holderKey(m_shard), encodeHolderRow(pending.holder));
    m_pending.push_back(std::move(pending));
    invalidate();
    return write;
}

// Keeps what the holder before announced: its tasks run on.
std::optional<QuotaWrite> QuotaLedger::claim(TimePoint now)
{
    if (now < m_nextWrite) {
        wakeNoLaterThan(m_nextWrite);
        return std::nullopt;
    }
    Pending pending;
    if (auto found = m_holders.find(m_shard); found != m_holders.end())
        pending.holder = found->second.row;
    pending.holder.wants.clear();
    return send(std::move(pending), {});
}

std::optional<QuotaWrite> QuotaLedger::propose(const TeamUses& uses, TimePoint now)
{
    m_wakeAt.reset();
    if (m_isInFlight || m_isOutdated || m_configVersion < 0 || !isNeeded())
        return std::nullopt;
    if (!m_isClaimed)
        return claim(now);
    if (!m_isOpen)
        return std::nullopt;
    updateSeenWants(now);
    Pending next { m_own->row, {} };
    auto& row = next.holder;
    auto isNewTable = row.limits != m_fingerprint && m_configVersion >= row.configVersion;
    if (isNewTable) {
        row.limits = m_fingerprint;
        row.configVersion = m_configVersion;
    }
    row.over = overOf(uses, isNewTable);
    row.wants = wantsOf(uses);
    auto isNeeded = isNewTable || !m_pending.empty() || areWantsOutdated(row.wants);
    if (row.over != m_own->row.over) {
        if (now >= m_nextOverWrite)
            isNeeded = true;
        else
            wakeNoLaterThan(m_nextOverWrite);
    }
    QuotaWrite write;
    if (isAnnounced())
        addTransfers(uses, now, next, write);
    if (!isNeeded && next.transfers.empty())
        return std::nullopt;
    if (now < m_nextWrite) {
        wakeNoLaterThan(m_nextWrite);
        return std::nullopt;
    }
    m_nextOverWrite = now + overWritePause;
    return send(std::move(next), std::move(write));
}

void QuotaLedger::onWritten(QuotaWriteOutcome outcome, Version version, TimePoint now)
{
    m_isInFlight = false;
    auto wasClaimed = std::exchange(m_wasClaimed, m_isClaimed || outcome == QuotaWriteOutcome::Committed);
    // The claim is followed at once by the announcement of the limits, or by the next try.
    m_nextWrite = wasClaimed ? now + writePause() : now;
    if (outcome == QuotaWriteOutcome::Committed) {
        if (!m_pending.empty())
            apply(Pending(m_pending.back()), version);
    } else if (outcome == QuotaWriteOutcome::Unknown) {
        m_nextWrite = now + std::max<Duration>(writePause(), pauseAfterFailure);
    } else if (outcome == QuotaWriteOutcome::Conflict && m_ownVersion != m_expectedVersion) {
        // None of the writes that expected the earlier version can be carried out any more.
        m_pending.clear();
    } else {
        if (!m_pending.empty())
            m_pending.pop_back();
        if (outcome == QuotaWriteOutcome::NotDone)
            m_nextWrite = now + std::max<Duration>(writePause(), pauseAfterFailure);
    }
    invalidate();
}

} // namespace fulmar::teams

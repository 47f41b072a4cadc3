#include "teams/quota_ledger.h"

#include <algorithm>
#include <bit>

// What a shard tells, asks for and gives.
namespace fulmar::teams {

namespace {

using std::chrono::milliseconds;

// The next shards give if the want is still there: a transfer is written and seen in less.
constexpr milliseconds turnTime { 150 };
// A shard keeps its share for tasks that wait for a runner until another shard has lacked it for this long.
constexpr milliseconds keepForQueued { 500 };
// Entries of a transaction.
constexpr std::size_t maxEntries = 100;

bool isAnyAbove(const Resources& a, const Resources& b) { return !a.fitsIn(b); }

Share needOf(const Share& target, const Share& share)
{
    Share need;
    for (auto kind : resourceKinds)
        need.*kind = std::max<std::int64_t>(0, target.*kind - share.*kind);
    return need;
}

} // namespace

std::map<TeamId, Resources> QuotaLedger::overOf(const TeamUses& uses, bool isNewTable) const
{
    std::map<TeamId, Resources> over;
    for (const auto& [team, use] : uses) {
        auto before = m_own->row.over.find(team);
        auto wasOver = before != m_own->row.over.end();
        auto limit = limitOf(team);
        if ((!isNewTable && !wasOver) || isNothing(limit))
            continue;
        auto share = ownShare(team);
        auto isOver = false;
        for (auto kind : resourceKinds)
            isOver |= limit.*kind > 0 && use.used.*kind > amountOf(share.*kind, limit.*kind);
        if (isOver)
            over.emplace(team, use.used);
    }
    return over;
}

Share QuotaLedger::targetOf(const TeamId& team, const TeamUse& use) const
{
    Share target;
    auto limit = limitOf(team);
    // What runs beyond the share after a cut of the limit keeps the other shards from starting anything.
    if (isNothing(use.heldBack) && !m_own->row.over.contains(team))
        return target;
    for (auto kind : resourceKinds) {
        if (limit.*kind == 0)
            continue;
        target.*kind = use.largestGroup.*kind > limit.*kind
            ? wholeShare
            : std::min(wholeShare, shareFor(use.used.*kind + use.heldBack.*kind, limit.*kind));
    }
    return target;
}

Share QuotaLedger::groupOf(const TeamId& team, const TeamUse& use) const
{
    Share group;
    auto limit = limitOf(team);
    for (auto kind : resourceKinds)
        if (limit.*kind > 0)
            group.*kind = shareFor(use.largestGroup.*kind, limit.*kind);
    return group;
}

std::uint64_t QuotaLedger::nextSince(const TeamId& team) const
{
    std::uint64_t latest = 0;
    for (const auto& [shard, holder] : m_holders)
        if (auto found = holder.row.wants.find(team); found != holder.row.wants.end())
            latest = std::max(latest, found->second.since);
    return latest + 1;
}

// A want is written again only when it has changed much: the backlog changes with every job.
bool QuotaLedger::isWantOutdated(const TeamId& team, const Want& stored, const Share& target) const
{
    auto share = ownShare(team);
    return std::any_of(resourceKinds.begin(), resourceKinds.end(), [&](auto kind) {
        auto isUnmet = target.*kind > share.*kind;
        auto wasUnmet = stored.target.*kind > share.*kind;
        return isUnmet != wasUnmet
            || (isUnmet && target.*kind > stored.target.*kind + stored.target.*kind / 4)
            || (wasUnmet && target.*kind < stored.target.*kind / 2);
    });
}

std::map<TeamId, Want> QuotaLedger::wantsOf(const TeamUses& uses) const
{
    std::map<TeamId, Want> wants;
    for (const auto& [team, use] : uses) {
        auto target = targetOf(team, use);
        if (!isAnyAbove(target, ownShare(team)))
            continue;
        auto before = m_own->row.wants.find(team);
        auto isKnown = before != m_own->row.wants.end();
        if (isKnown && !isWantOutdated(team, before->second, target))
            wants.insert(*before);
        else
            wants.emplace(
                team, Want { target, isKnown ? before->second.since : nextSince(team), groupOf(team, use) });
    }
    return wants;
}

bool QuotaLedger::areWantsOutdated(const std::map<TeamId, Want>& desired) const
{
    const auto& stored = m_own->row.wants;
    for (const auto& [team, want] : desired)
        if (auto found = stored.find(team); found == stored.end() || found->second != want)
            return true;
    // One that is met already needs no write to be withdrawn.
    return std::any_of(stored.begin(), stored.end(), [&](const auto& each) {
        return !desired.contains(each.first) && isAnyAbove(each.second.target, ownShare(each.first));
    });
}

void QuotaLedger::updateSeenWants(TimePoint now)
{
    std::erase_if(m_seenWants, [this](const auto& each) {
        const auto& [shard, team] = each.first;
        auto holder = m_holders.find(shard);
        return holder == m_holders.end() || !holder->second.row.wants.contains(team);
    });
    for (const auto& [shard, holder] : m_holders)
        if (shard != m_shard)
            for (const auto& [team, want] : holder.row.wants) {
                auto [seen, isNew] = m_seenWants.try_emplace({ shard, team }, SeenWant { want, now });
                if (!isNew && seen->second.want.since != want.since)
                    seen->second = { want, now };
                seen->second.want = want;
            }
}

// Load pattern: many shards see a want at once, and few of them have to give. The first are as many as are
// needed if each has an equal share unused; each later group is twice as large as the one before.
TimePoint QuotaLedger::turnToGive(std::uint32_t to, const Share& need, TimePoint seenAt) const
{
    auto equal = wholeShare / m_shardCount;
    auto most = std::max({ need.cpu, need.memoryMb, need.accelerators });
    auto first = std::max<std::int64_t>(1, (most + equal - 1) / std::max<std::int64_t>(1, equal));
    auto rank = (m_shard + m_shardCount - to - 1) % m_shardCount;
    auto group = std::bit_width(std::uint64_t(rank) / std::uint64_t(first) + 1) - 1;
    return seenAt + turnTime * group;
}

Share QuotaLedger::spareOf(const TeamId& team, const TeamUse& use, bool keepsQueued) const
{
    Share spare;
    auto inUse = limitInUse(team);
    if (!inUse)
        return spare;
    const auto& limit = *inUse;
    auto share = ownShare(team);
    for (auto kind : resourceKinds) {
        auto kept = use.used.*kind + (keepsQueued ? use.queued.*kind : 0);
        if (limit.*kind > 0)
            spare.*kind
                = std::max<std::int64_t>(0, share.*kind - std::min(wholeShare, shareFor(kept, limit.*kind)));
    }
    return spare;
}

void QuotaLedger::addTransfers(const TeamUses& uses, TimePoint now, Pending& next, QuotaWrite& write)
{
    std::set<TeamId> teams;
    for (const auto& [key, seen] : m_seenWants)
        teams.insert(key.second);
    for (const auto& team : teams) {
        auto use = uses.find(team);
        addTransfersOf(team, use == uses.end() ? TeamUse {} : use->second, now, next, write);
    }
}

void QuotaLedger::addTransfersOf(
    const TeamId& team, const TeamUse& use, TimePoint now, Pending& next, QuotaWrite& write)
{
    struct Need {
        std::uint64_t since;
        std::uint32_t shard;
        Share need;
    };
    std::vector<Need> needs;
    for (const auto& [shard, holder] : m_holders)
        if (auto want = holder.row.wants.find(team); shard != m_shard && want != holder.row.wants.end())
            // The receiver follows the same limits, so that the transfer adds nothing to what both may use.
            if (auto need = needOf(want->second.target, shareOf(shard, team));
                !isNothing(need) && holder.row.limits == m_own->row.limits)
                needs.push_back({ want->second.since, shard, need });
    std::sort(needs.begin(), needs.end(), [](const Need& a, const Need& b) {
        return std::pair(a.since, a.shard) < std::pair(b.since, b.shard);
    });
    auto own = next.holder.wants.find(team);
    auto hasOwnWant = own != next.holder.wants.end();
    auto share = ownShare(team);
    auto equal = equalShare(m_shard);
    std::optional<TransferRow> transfer;
    Share given;
    for (const auto& [since, shard, need] : needs) {
        // What this shard cannot use goes to those that have waited longer, and what it could use only up to
        // their claim.
        auto isOwnFirst = hasOwnWant && std::pair(own->second.since, m_shard) < std::pair(since, shard);
        auto mayGiveAll = !isOwnFirst && (hasOwnWant || isNothing(use.heldBack));
        auto claim = claimOf(shard, team);
        auto seenAt = m_seenWants.at({ shard, team }).at;
        auto spare = spareOf(team, use, now < seenAt + keepForQueued);
        Share part;
        for (auto kind : resourceKinds) {
            auto most = std::min(spare.*kind - given.*kind, need.*kind);
            if (!mayGiveAll)
                most = std::min({ most, claim.*kind, share.*kind - equal.*kind - given.*kind });
            part.*kind = std::max<std::int64_t>(0, most);
        }
        if (isNothing(part)) {
            if (now < seenAt + keepForQueued && !isNothing(use.queued))
                wakeNoLaterThan(seenAt + keepForQueued);
            continue;
        }
        given += part;
        if (auto turn = turnToGive(shard, need, seenAt); now < turn) {
            wakeNoLaterThan(turn);
            continue;
        }
        auto receiver = holderKey(shard);
        auto isCondition = std::any_of(write.conditions.begin(), write.conditions.end(),
            [&](const QuotaWrite::Condition& condition) { return condition.key == receiver; });
        // Two entries are for the own row, and two for this transfer.
        if (write.conditions.size() + write.puts.size() + 4 > maxEntries)
            break;
        if (!isCondition)
            write.conditions.push_back({ receiver, m_holders.at(shard).version });
        if (!transfer) {
            transfer.emplace();
            if (auto found = m_transfers.find(team); found != m_transfers.end())
                if (auto stored = found->second.find(m_shard); stored != found->second.end())
                    transfer = stored->second.row;
        }
        (*transfer)[shard] += part;
    }
    if (!transfer)
        return;
    write.puts.emplace_back(transferKey(m_shard, team), encodeTransferRow(*transfer));
    next.transfers.emplace(team, std::move(*transfer));
}

} // namespace fulmar::teams

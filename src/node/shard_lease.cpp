#include "node/shard_lease.h"

#include <nlohmann/json.hpp>

namespace fulmar::node {

std::string encodeOwner(const LeaseOwner& owner)
{
    nlohmann::json json { { "address", owner.address }, { "incarnation", owner.incarnation },
        { "epoch", owner.epoch }, { "offers", owner.consecutiveHandOvers } };
    if (owner.servesSubmissions)
        json["submissions"] = true;
    return json.dump();
}

std::optional<LeaseOwner> decodeOwner(std::string_view text)
{
    auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    try {
        return LeaseOwner { json.at("address").get<std::string>(),
            json.at("incarnation").get<std::uint64_t>(), json.at("epoch").get<Epoch>(),
            json.value("offers", 0U), json.value("submissions", false) };
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

ShardLease::ShardLease(LeaseSettings settings, std::string address, std::uint64_t incarnation)
    : m_settings(settings)
    , m_address(std::move(address))
    , m_incarnation(incarnation)
{
}

void ShardLease::observeOwner(std::optional<LeaseOwner> owner, Version version, TimePoint now)
{
    if (version < m_ownerVersion)
        return;
    if (version != m_ownerVersion || !m_unchangedSince)
        m_unchangedSince = now;
    m_owner = std::move(owner);
    m_ownerVersion = version;
}

void ShardLease::observeRenewal(Version version, TimePoint now)
{
    if (version <= m_renewalVersion)
        return;
    m_renewalVersion = version;
    m_unchangedSince = now;
}

void ShardLease::observeStoreLost(TimePoint now)
{
    if (!m_storeLostAt)
        m_storeLostAt = now;
}

void ShardLease::observeStoreRegained(TimePoint now)
{
    if (m_storeLostAt && now >= *m_storeLostAt + m_settings.minOutageForGrace)
        m_outageEndedAt = now;
    m_storeLostAt.reset();
}

bool ShardLease::shouldAcquire(TimePoint now, std::chrono::milliseconds delay) const
{
    if (!m_unchangedSince || now < m_acquireFrom)
        return false;
    // Free if it was never held, was released, or is claimed for this address: by an earlier start of this
    // process, or by a claim whose answer was lost. In all these cases no process sends orders for the shard.
    // A claim for this address needs no delay, as the others still wait for it to expire.
    auto isFree = !m_owner || m_owner->address.empty() || m_owner->address == m_address;
    auto wait = isFree ? delay : m_settings.length + delay;
    if (m_owner && m_owner->address == m_address)
        wait = {};
    auto mayHolderStillRenew = m_storeLostAt
        || (m_outageEndedAt && now < *m_outageEndedAt + m_settings.renewalGraceAfterOutage + delay);
    if (!isFree && mayHolderStillRenew)
        return false;
    return now >= *m_unchangedSince + wait;
}

LeaseOwner ShardLease::ownerAfterClaim() const
{
    return { m_address, m_incarnation, (m_owner ? m_owner->epoch : 0) + 1,
        m_owner ? m_owner->consecutiveHandOvers : 0, false };
}

LeaseOwner ShardLease::ownerAfterRelease(bool isHandOver, bool hasBeenStable) const
{
    auto owner = m_owner.value_or(LeaseOwner {});
    owner.address.clear();
    if (isHandOver)
        owner.consecutiveHandOvers = hasBeenStable ? 1 : owner.consecutiveHandOvers + 1;
    return owner;
}

void ShardLease::onRenewed(TimePoint sent)
{
    m_validUntil = std::max(m_validUntil, sent + m_settings.length - m_settings.margin);
}

bool ShardLease::isValid(TimePoint now) const { return isOwn() && now < m_validUntil; }

bool ShardLease::isOwn() const
{
    return m_owner && m_owner->address == m_address && m_owner->incarnation == m_incarnation;
}

} // namespace fulmar::node

#include "peer/membership.h"

#include <algorithm>

namespace fulmar {

Membership::Membership(PeerInfo self, MembershipSettings settings)
    : m_self(std::move(self))
    , m_settings(std::move(settings))
{
}

// A restarted process keeps its id and has a higher incarnation; news of earlier incarnations is ignored.
void Membership::merge(const PeerInfo& peer, TimePoint contact, TimePoint heard)
{
    if (peer.process == m_self.process || peer.process.empty())
        return;
    auto& member = m_members[peer.process];
    if (peer.incarnation < member.info.incarnation)
        return;
    member.info = peer;
    member.lastContact = std::max(member.lastContact, contact);
    member.lastHeard = std::max(member.lastHeard, heard);
}

void Membership::onContact(const PeerInfo& peer, TimePoint now) { merge(peer, now, now); }

void Membership::onGossip(const std::vector<PeerInfo>& peers, TimePoint now)
{
    for (const auto& peer : peers)
        merge(peer, TimePoint {}, now);
}

bool Membership::isLive(const Member& member, TimePoint now) const
{
    auto limit
        = member.info.zone == m_self.zone ? m_settings.livenessTimeout : m_settings.remoteLivenessTimeout;
    return now - member.lastHeard <= limit;
}

// One exchange serves both sides, so of two entries only the one with the smaller id starts it. The other one
// starts exchanges only after no contact for three periods.
bool Membership::startsExchange(const Member& member, TimePoint now) const
{
    return m_self.process < member.info.process || now - member.lastContact > 3 * m_settings.zonePeriod;
}

template <typename Predicate> Membership::Member* Membership::leastRecentlyTried(Predicate matches)
{
    Member* oldest = nullptr;
    for (auto& [id, member] : m_members)
        if (matches(member) && (!oldest || member.lastTried < oldest->lastTried))
            oldest = &member;
    return oldest;
}

void Membership::addZoneExchanges(std::vector<std::string>& due, TimePoint now)
{
    if (m_self.role == PeerRole::Entry) {
        for (auto& [id, member] : m_members) {
            bool isZoneEntry = member.info.role == PeerRole::Entry && member.info.zone == m_self.zone;
            if (isZoneEntry && startsExchange(member, now))
                due.push_back(member.info.address);
        }
    }
    auto* control = leastRecentlyTried([&](const Member& member) {
        return member.info.role == PeerRole::Control && member.info.zone == m_self.zone;
    });
    if (control) {
        control->lastTried = now;
        due.push_back(control->info.address);
    }
}

std::optional<ZoneId> Membership::leastRecentlyTriedRemoteZone() const
{
    std::optional<ZoneId> best;
    auto oldestTry = TimePoint::max();
    for (const auto& [id, member] : m_members) {
        auto tried = m_zoneLastTried.find(member.info.zone);
        auto triedAt = tried == m_zoneLastTried.end() ? TimePoint {} : tried->second;
        if (member.info.zone == m_self.zone || triedAt >= oldestTry)
            continue;
        best = member.info.zone;
        oldestTry = triedAt;
    }
    return best;
}

// Rotates over the zones, and over the processes within each zone, so that every zone is contacted equally
// often regardless of its size.
void Membership::addRemoteExchanges(std::vector<std::string>& due, TimePoint now)
{
    if (auto zone = leastRecentlyTriedRemoteZone()) {
        auto* remote = leastRecentlyTried([&](const Member& member) { return member.info.zone == *zone; });
        m_zoneLastTried[*zone] = now;
        remote->lastTried = now;
        due.push_back(remote->info.address);
    }
    for (const auto& seed : m_settings.seeds) {
        bool isKnown = std::any_of(m_members.begin(), m_members.end(), [&](const auto& entry) {
            return entry.second.info.address == seed && isLive(entry.second, now);
        });
        if (!isKnown && seed != m_self.address)
            due.push_back(seed);
    }
}

std::vector<std::string> Membership::due(TimePoint now)
{
    std::erase_if(
        m_lastGossip, [&](const auto& entry) { return now - entry.second > m_settings.forgetAfter; });
    std::erase_if(
        m_members, [&](const auto& entry) { return now - entry.second.lastHeard > m_settings.forgetAfter; });
    std::vector<std::string> due;
    if (now >= m_nextZoneExchange) {
        m_nextZoneExchange = now + m_settings.zonePeriod;
        addZoneExchanges(due, now);
    }
    if (now >= m_nextRemoteExchange) {
        m_nextRemoteExchange = now + m_settings.remotePeriod;
        addRemoteExchanges(due, now);
    }
    std::sort(due.begin(), due.end());
    due.erase(std::unique(due.begin(), due.end()), due.end());
    return due;
}

std::vector<PeerInfo> Membership::recentContacts(TimePoint now) const
{
    std::vector<PeerInfo> peers { m_self };
    for (const auto& [id, member] : m_members)
        if (now - member.lastContact <= m_settings.livenessTimeout)
            peers.push_back(member.info);
    return peers;
}

std::vector<Membership::KnownPeer> Membership::knownPeers(TimePoint now) const
{
    std::vector<KnownPeer> all;
    all.reserve(m_members.size());
    for (const auto& [id, member] : m_members)
        all.push_back({ member.info, now - member.lastHeard,
            now - member.lastContact <= m_settings.remoteLivenessTimeout });
    return all;
}

std::vector<PeerInfo> Membership::gossipFor(const std::string& address, TimePoint now)
{
    auto receiver = std::find_if(m_members.begin(), m_members.end(),
        [&](const auto& entry) { return entry.second.info.address == address; });
    auto zone = receiver == m_members.end() ? ZoneId() : receiver->second.info.zone;
    auto [lastGossip, isNew] = m_lastGossip.try_emplace(address, now);
    if (zone == m_self.zone && !isNew && now - lastGossip->second < m_settings.gossipPeriod)
        return {};
    lastGossip->second = now;
    std::vector<PeerInfo> gossip;
    std::vector<PeerInfo> remote;
    for (auto& peer : recentContacts(now))
        (peer.zone == m_self.zone || peer.zone == zone ? gossip : remote).push_back(std::move(peer));
    // Continues after the last process sent; contacts are sorted by id.
    auto next = std::find_if(remote.begin(), remote.end(),
        [&](const PeerInfo& peer) { return m_lastRemotePeerSent < peer.process; });
    std::rotate(remote.begin(), next, remote.end());
    remote.resize(std::min(remote.size(), m_settings.maxRemotePeersPerMessage));
    if (!remote.empty())
        m_lastRemotePeerSent = remote.back().process;
    gossip.insert(gossip.end(), remote.begin(), remote.end());
    return gossip;
}

std::vector<PeerInfo> Membership::live(PeerRole role, TimePoint now) const
{
    std::vector<PeerInfo> peers;
    if (m_self.role == role)
        peers.push_back(m_self);
    for (const auto& [id, member] : m_members)
        if (member.info.role == role && isLive(member, now))
            peers.push_back(member.info);
    return peers;
}

std::vector<PeerInfo> Membership::live(PeerRole role, const ZoneId& zone, TimePoint now) const
{
    auto peers = live(role, now);
    std::erase_if(peers, [&](const PeerInfo& peer) { return peer.zone != zone; });
    return peers;
}

std::optional<PeerInfo> Membership::find(const ProcessId& process) const
{
    if (process == m_self.process)
        return m_self;
    if (auto position = m_members.find(process); position != m_members.end())
        return position->second.info;
    return std::nullopt;
}

} // namespace fulmar

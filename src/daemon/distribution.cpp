#include "daemon/distribution.h"

#include "fleet/entry_row.h"

#include <algorithm>

namespace fulmar {

Distribution::Distribution(PeerInfo self, MembershipSettings settings, OnChange onChange)
    : m_self(self)
    , m_membership(std::move(self), std::move(settings))
    , m_onChange(std::move(onChange))
{
}

void Distribution::setRegistered()
{
    std::lock_guard lock(m_mutex);
    m_self.isRegistered = true;
}

bool Distribution::hasOwnRegistrationRow() const
{
    auto position = m_replica.rows().find(entryKey(m_self.process));
    if (position == m_replica.rows().end() || position->second.deleted)
        return false;
    auto record = decode<EntryRecord>(position->second.value);
    return record && record->incarnation == std::to_string(m_self.incarnation);
}

bool Distribution::mayRoute() const
{
    std::lock_guard lock(m_mutex);
    return m_hasCopyFromPeer || hasOwnRegistrationRow();
}

bool Distribution::apply(const Changes& changes)
{
    auto before = m_replica.version();
    auto report = m_replica.apply(changes);
    return !report.changedKeys.empty() || m_replica.version() > before;
}

void Distribution::applyFromPlatform(const Changes& changes)
{
    bool hasChanged = false;
    {
        std::lock_guard lock(m_mutex);
        hasChanged = apply(changes);
    }
    if (hasChanged)
        m_onChange();
}

bool Distribution::maySendRowsTo(const PeerInfo& peer) const
{
    if (peer.role == PeerRole::Control || peer.isRegistered)
        return true;
    return m_self.role == PeerRole::Entry && m_self.isRegistered;
}

Exchange Distribution::makeMessage(const std::string& address, TimePoint now)
{
    Exchange message;
    message.from = m_self;
    message.known = m_membership.gossipFor(address, now);
    message.version = m_replica.version();
    return message;
}

// Records an unregistered entry as a dependent under the same lock that reads the rows sent to it.
void Distribution::addRowsFor(const PeerInfo& peer, Version peerVersion, Exchange& message)
{
    if (peerVersion >= m_replica.version() || !maySendRowsTo(peer))
        return;
    if (peer.role == PeerRole::Entry && !peer.isRegistered)
        m_dependents[peer.process] = peer;
    message.base = peerVersion;
    message.changes = m_replica.changesSince(peerVersion);
}

Exchange Distribution::makeRequest(const std::string& address, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    auto message = makeMessage(address, now);
    if (auto known = m_peerVersions.find(address); known != m_peerVersions.end())
        addRowsFor(known->second.peer, known->second.version, message);
    return message;
}

// Applies rows only if this replica has all rows up to their base. A process that was replaced under the same
// address may be sent only the rows that its predecessor lacked.
bool Distribution::merge(const Exchange& message, TimePoint now)
{
    m_membership.onContact(message.from, now);
    m_membership.onGossip(message.known, now);
    if (message.from.isRegistered)
        m_dependents.erase(message.from.process);
    bool isApplicable
        = message.changes.tableVersion > m_replica.version() && message.base <= m_replica.version();
    if (!isApplicable)
        return false;
    if (!m_self.isRegistered && message.from.role == PeerRole::Entry)
        m_hasCopyFromPeer = true;
    return apply(message.changes);
}

Exchange Distribution::onRequest(const Exchange& message, TimePoint now)
{
    Exchange reply;
    bool hasChanged = false;
    {
        std::lock_guard lock(m_mutex);
        hasChanged = merge(message, now);
        reply = makeMessage(message.from.address, now);
        addRowsFor(message.from, message.version, reply);
        m_peerVersions[message.from.address]
            = { message.from, std::max(message.version, reply.changes.tableVersion) };
    }
    if (hasChanged)
        m_onChange();
    return reply;
}

void Distribution::onReply(const std::string& address, const Exchange& message, TimePoint now)
{
    bool hasChanged = false;
    {
        std::lock_guard lock(m_mutex);
        hasChanged = merge(message, now);
        m_peerVersions[address] = { message.from, message.version };
    }
    if (hasChanged)
        m_onChange();
}

std::vector<PeerInfo> Distribution::dependents() const
{
    std::lock_guard lock(m_mutex);
    std::vector<PeerInfo> peers;
    for (const auto& [process, dependent] : m_dependents)
        peers.push_back(dependent);
    return peers;
}

std::vector<std::string> Distribution::dueExchanges(TimePoint now)
{
    std::lock_guard lock(m_mutex);
    return m_membership.due(now);
}

std::vector<PeerInfo> Distribution::live(PeerRole role, TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    return m_membership.live(role, now);
}

std::vector<PeerInfo> Distribution::recentContacts(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    return m_membership.recentContacts(now);
}

std::optional<PeerInfo> Distribution::find(const ProcessId& process) const
{
    std::lock_guard lock(m_mutex);
    return m_membership.find(process);
}

Version Distribution::version() const
{
    std::lock_guard lock(m_mutex);
    return m_replica.version();
}

Changes Distribution::changesSince(Version since) const
{
    std::lock_guard lock(m_mutex);
    return m_replica.changesSince(since);
}

ConfigReplica Distribution::replica() const
{
    std::lock_guard lock(m_mutex);
    return m_replica;
}

PeerInfo Distribution::self() const
{
    std::lock_guard lock(m_mutex);
    return m_self;
}

std::vector<Distribution::PeerStatus> Distribution::peerStatus(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    std::vector<PeerStatus> all;
    for (const auto& [peer, heardAgo, isReachable] : m_membership.knownPeers(now)) {
        auto known = m_peerVersions.find(peer.address);
        all.push_back(
            { peer, heardAgo, isReachable, known == m_peerVersions.end() ? 0 : known->second.version });
    }
    return all;
}

} // namespace fulmar

#pragma once

#include "core/clock.h"
#include "peer/messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmar {

struct MembershipSettings {
    // Addresses contacted until the processes at them are known.
    std::vector<std::string> seeds;
    // Period at which entries of one zone exchange with each other, and every process exchanges with a
    // control process of its zone.
    Duration zonePeriod { std::chrono::milliseconds(250) };
    // Period at which each process exchanges with one process of another zone and retries seeds.
    Duration remotePeriod { std::chrono::seconds(1) };
    // A process counts as live until there has been no news of it for this long; `remoteLivenessTimeout`
    // applies to processes of other zones.
    Duration livenessTimeout { std::chrono::seconds(3) };
    Duration remoteLivenessTimeout { std::chrono::seconds(12) };
    // Minimum interval between lists of peers sent to a peer of the same zone, and the maximum number of
    // processes in one list from zones other than the sender's and the receiver's.
    Duration gossipPeriod { std::chrono::seconds(1) };
    std::size_t maxRemotePeersPerMessage { 6 };
    // A process is forgotten when there has been no news of it for this long.
    Duration forgetAfter { std::chrono::minutes(1) };
};

// The processes of the system known to this one, and the choice of those to exchange with next. There is no
// agreed member list: by gossip, each process learns of the processes that its peers were in contact with.
class Membership {
public:
    Membership(PeerInfo self, MembershipSettings);

    // Records a direct contact with the peer.
    void onContact(const PeerInfo&, TimePoint now);

    // Records processes that a contacted peer reports as its own recent contacts.
    void onGossip(const std::vector<PeerInfo>&, TimePoint now);

    // Addresses with which an exchange is due; each is returned once per period.
    [[nodiscard]] std::vector<std::string> due(TimePoint now);

    // Processes in direct contact with this one within `livenessTimeout`, and this one itself.
    [[nodiscard]] std::vector<PeerInfo> recentContacts(TimePoint now) const;

    // The contacts to report to the peer at `address`: all in this process's and the peer's zone, and a few
    // of other zones in rotation, so that messages do not grow with the number of zones. Empty if a peer of
    // the same zone got a list within `gossipPeriod`.
    [[nodiscard]] std::vector<PeerInfo> gossipFor(const std::string& address, TimePoint now);

    // Live processes with a role in a zone, this one included.
    [[nodiscard]] std::vector<PeerInfo> live(PeerRole, const ZoneId&, TimePoint now) const;

    // Live processes with a role in any zone, this one included.
    [[nodiscard]] std::vector<PeerInfo> live(PeerRole, TimePoint now) const;

    [[nodiscard]] std::optional<PeerInfo> find(const ProcessId&) const;

    // A known process, the time since the last news of it, and whether it was in direct contact within
    // `remoteLivenessTimeout`.
    struct KnownPeer {
        PeerInfo peer;
        Duration heardAgo {};
        bool isReachable { false };
    };
    [[nodiscard]] std::vector<KnownPeer> knownPeers(TimePoint now) const;

    [[nodiscard]] const PeerInfo& self() const { return m_self; }

private:
    struct Member {
        PeerInfo info;
        TimePoint lastContact {};
        TimePoint lastHeard {};
        TimePoint lastTried {};
    };

    [[nodiscard]] bool isLive(const Member&, TimePoint now) const;
    [[nodiscard]] bool startsExchange(const Member&, TimePoint now) const;
    void merge(const PeerInfo&, TimePoint contact, TimePoint heard);
    void addZoneExchanges(std::vector<std::string>& due, TimePoint now);
    void addRemoteExchanges(std::vector<std::string>& due, TimePoint now);
    [[nodiscard]] std::optional<ZoneId> leastRecentlyTriedRemoteZone() const;
    template <typename Predicate> Member* leastRecentlyTried(Predicate matches);

    const PeerInfo m_self;
    const MembershipSettings m_settings;
    std::map<ProcessId, Member> m_members;
    std::map<ZoneId, TimePoint> m_zoneLastTried;
    // When each address was last sent a list of peers, and the last remote process listed in any of them.
    std::map<std::string, TimePoint> m_lastGossip;
    ProcessId m_lastRemotePeerSent;
    TimePoint m_nextZoneExchange {};
    TimePoint m_nextRemoteExchange {};
};

} // namespace fulmar

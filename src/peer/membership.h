#pragma once

#include "core/clock.h"
#include "peer/messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmar {

struct MembershipSettings {
    // Addresses that are tried until their processes are known.
    std::vector<std::string> seeds;
    // Entries of one zone exchange loads, and every process asks a control process of its zone, this often.
    Duration zonePeriod { std::chrono::milliseconds(250) };
    // Each process exchanges with one process of another zone, and retries seeds, this often.
    Duration remotePeriod { std::chrono::seconds(1) };
    // A process of this zone, or of another, that has not been heard of for this long no longer counts as
    // live.
    Duration livenessTimeout { std::chrono::seconds(3) };
    Duration remoteLivenessTimeout { std::chrono::seconds(12) };
    // A peer of the same zone is told of others this often, of at most `maxRemotePeersPerMessage` processes
    // of other zones.
    Duration gossipPeriod { std::chrono::seconds(1) };
    std::size_t maxRemotePeersPerMessage { 6 };
    // A process that has not been heard of for this long is forgotten.
    Duration forgetAfter { std::chrono::minutes(1) };
};

// Which processes of the system this one knows, and with whom it should exchange next. There is no agreed
// member list: each process keeps those that it hears of, directly or through others that heard of them just
// now.
class Membership {
public:
    Membership(PeerInfo self, MembershipSettings);

    // The peer was in contact with us.
    void onContact(const PeerInfo&, TimePoint now);

    // The peer that we contacted has itself been in contact with these just now.
    void onGossip(const std::vector<PeerInfo>&, TimePoint now);

    // Addresses with which an exchange is due; each is returned once per period.
    [[nodiscard]] std::vector<std::string> due(TimePoint now);

    // Processes with which this one was in contact lately, itself included.
    [[nodiscard]] std::vector<PeerInfo> recentContacts(TimePoint now) const;

    // What to tell the peer at `address` about others: the contacts in this process's zone, and a few of
    // other zones in turn, so that the message does not grow with the number of zones. Empty if the peer was
    // told lately.
    [[nodiscard]] std::vector<PeerInfo> gossipFor(const std::string& address, TimePoint now);

    // Live processes with a role in a zone, this one included.
    [[nodiscard]] std::vector<PeerInfo> live(PeerRole, const ZoneId&, TimePoint now) const;

    // Live processes with a role in any zone, this one included.
    [[nodiscard]] std::vector<PeerInfo> live(PeerRole, TimePoint now) const;

    [[nodiscard]] std::optional<PeerInfo> find(const ProcessId&) const;

    // A process that this one remembers, how long ago it was heard of, and whether it was itself in contact
    // within the time after which a process counts as gone.
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
    template <typename Wanted> Member* leastRecentlyTried(Wanted wanted);

    const PeerInfo m_self;
    const MembershipSettings m_settings;
    std::map<ProcessId, Member> m_members;
    std::map<ZoneId, TimePoint> m_zoneLastTried;
    // When each address was last told of others, and the remote process told of last.
    std::map<std::string, TimePoint> m_lastGossip;
    ProcessId m_lastRemotePeerSent;
    TimePoint m_nextZoneExchange {};
    TimePoint m_nextRemoteExchange {};
};

} // namespace fulmar

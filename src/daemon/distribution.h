#pragma once

#include "config/replica.h"
#include "peer/membership.h"
#include "peer/messages.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fulmar {

// This process's copy of the configuration and its knowledge of its peers, as exchanged with them.
// Thread-safe.
//
// An entry may route calls only with a copy that whoever moves VMs can account for: its own registration row
// comes before the copy, or a registered peer handed the copy over and names it as a dependent. So a process
// hands rows to an entry that is not registered only if it is itself a registered entry.
class Distribution {
public:
    // Told after the copy has grown, on the thread that made it grow.
    using OnChange = std::function<void()>;

    Distribution(PeerInfo self, MembershipSettings, OnChange);

    // The entry's row carries its incarnation.
    void setRegistered();

    // The copy is one that an entry may route with.
    [[nodiscard]] bool mayRoute() const;

    // Rows read from the platform.
    void applyFromPlatform(const Changes&);

    // The message that starts an exchange with the process at `address`.
    [[nodiscard]] Exchange makeRequest(const std::string& address, TimePoint now);
    // The answer to a peer's message.
    [[nodiscard]] Exchange onRequest(const Exchange&, TimePoint now);
    void onReply(const std::string& address, const Exchange&, TimePoint now);

    // Unregistered entries that have a copy from this process.
    [[nodiscard]] std::vector<PeerInfo> dependents() const;

    [[nodiscard]] std::vector<std::string> dueExchanges(TimePoint now);
    [[nodiscard]] std::vector<PeerInfo> live(PeerRole, TimePoint now) const;
    [[nodiscard]] std::vector<PeerInfo> recentContacts(TimePoint now) const;
    [[nodiscard]] std::optional<PeerInfo> find(const ProcessId&) const;

    // A known process, when it was heard of, whether it was in contact itself lately, and the version that it
    // was known to have; 0 if unknown.
    struct PeerStatus {
        PeerInfo peer;
        Duration heardAgo {};
        bool isReachable { false };
        Version version { 0 };
    };
    [[nodiscard]] std::vector<PeerStatus> peerStatus(TimePoint now) const;
    [[nodiscard]] Version version() const;
    // Rows changed after `since`, and the copy's version.
    [[nodiscard]] Changes changesSince(Version since) const;
    [[nodiscard]] ConfigReplica replica() const;
    [[nodiscard]] PeerInfo self() const;

private:
    [[nodiscard]] bool hasOwnRegistrationRow() const;
    [[nodiscard]] bool maySendRowsTo(const PeerInfo&) const;
    void addRowsFor(const PeerInfo&, Version peerVersion, Exchange&);
    Exchange makeMessage(const std::string& address, TimePoint now);
    // True if the copy has grown.
    bool merge(const Exchange&, TimePoint now);
    bool apply(const Changes&);

    mutable std::mutex m_mutex;
    PeerInfo m_self;
    Membership m_membership;
    ConfigReplica m_replica;
    const OnChange m_onChange;
    bool m_hasCopyFromPeer { false };
    // What each address was known to have at its last exchange.
    struct PeerVersion {
        PeerInfo peer;
        Version version { 0 };
    };
    std::map<std::string, PeerVersion> m_peerVersions;
    std::map<ProcessId, PeerInfo> m_dependents;
};

} // namespace fulmar

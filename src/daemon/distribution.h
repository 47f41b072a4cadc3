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

// This process's replica of the configuration and its view of the membership, both synchronized with peers by
// exchanges. Thread-safe.
//
// Before a VM changes its pool, every entry that may route to it must confirm that it does not. An entry may
// therefore route only if the process that moves VMs can find it: its replica contains its own registration
// row, or came from a registered entry, which reports the receiver as a dependent. Hence only registered
// entries send rows to unregistered ones.
class Distribution {
public:
    // Called after the replica has changed, on the thread that changed it.
    using OnChange = std::function<void()>;

    Distribution(PeerInfo self, MembershipSettings, OnChange);

    // Called once this entry's row in the table carries its incarnation.
    void setRegistered();

    // Whether an entry may route calls by this replica; see above.
    [[nodiscard]] bool mayRoute() const;

    // Applies rows read from the platform.
    void applyFromPlatform(const Changes&);

    // The message that starts an exchange with the process at `address`.
    [[nodiscard]] Exchange makeRequest(const std::string& address, TimePoint now);
    // Applies a peer's message and returns the reply.
    [[nodiscard]] Exchange onRequest(const Exchange&, TimePoint now);
    void onReply(const std::string& address, const Exchange&, TimePoint now);

    // Unregistered entries that received their replica from this process.
    [[nodiscard]] std::vector<PeerInfo> dependents() const;

    [[nodiscard]] std::vector<std::string> dueExchanges(TimePoint now);
    [[nodiscard]] std::vector<PeerInfo> live(PeerRole, TimePoint now) const;
    [[nodiscard]] std::vector<PeerInfo> recentContacts(TimePoint now) const;
    [[nodiscard]] std::optional<PeerInfo> find(const ProcessId&) const;

    // A known process, the time since news of it last arrived, whether it was itself in contact recently, and
    // the version of its replica at the last exchange; 0 if unknown.
    struct PeerStatus {
        PeerInfo peer;
        Duration heardAgo {};
        bool isReachable { false };
        Version version { 0 };
    };
    [[nodiscard]] std::vector<PeerStatus> peerStatus(TimePoint now) const;
    [[nodiscard]] Version version() const;
    // Rows changed after `since`, and the replica's version.
    [[nodiscard]] Changes changesSince(Version since) const;
    [[nodiscard]] ConfigReplica replica() const;
    [[nodiscard]] PeerInfo self() const;

private:
    [[nodiscard]] bool hasOwnRegistrationRow() const;
    [[nodiscard]] bool maySendRowsTo(const PeerInfo&) const;
    void addRowsFor(const PeerInfo&, Version peerVersion, Exchange&);
    Exchange makeMessage(const std::string& address, TimePoint now);
    // Returns whether the replica has changed.
    bool merge(const Exchange&, TimePoint now);
    bool apply(const Changes&);

    mutable std::mutex m_mutex;
    PeerInfo m_self;
    Membership m_membership;
    ConfigReplica m_replica;
    const OnChange m_onChange;
    bool m_hasCopyFromPeer { false };
    // The process at each address and the version of its replica, as of the last exchange.
    struct PeerVersion {
        PeerInfo peer;
        Version version { 0 };
    };
    std::map<std::string, PeerVersion> m_peerVersions;
    std::map<ProcessId, PeerInfo> m_dependents;
};

} // namespace fulmar

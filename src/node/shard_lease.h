#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <optional>
#include <string>

namespace fulmar::node {

// The lease row of a shard.
struct LeaseOwner {
    // Peer address ("host:port") of the holder; empty if the shard was released.
    std::string address;
    // Unique to each start of a process.
    std::uint64_t incarnation { 0 };
    Epoch epoch { 0 };
    // Consecutive hand-overs, counted from the last one by a stable holder (see stabilizationTime in
    // hand_over.h), which counts as 1.
    std::uint32_t consecutiveHandOvers { 0 };
    // The holder accepts submissions through the store; see submission_row.h.
    bool servesSubmissions { false };

    bool operator==(const LeaseOwner&) const = default;
};

[[nodiscard]] std::string encodeOwner(const LeaseOwner&);
[[nodiscard]] std::optional<LeaseOwner> decodeOwner(std::string_view);

struct LeaseSettings {
    // Time from the last renewal to the expiry of the lease.
    std::chrono::milliseconds length { 3'000 };
    // The holder's own deadline is earlier by this much: the process may be suspended between the check of
    // the lease and the sending of an order.
    std::chrono::milliseconds margin { 300 };
    // After a store outage the holder has this long to renew before others may take its shard: a lost write
    // times out after 1.2 s and is retried within 0.5 s.
    std::chrono::milliseconds renewalGraceAfterOutage { 2'000 };
    // A shorter outage costs the holder at most one of four renewals, so it gets no grace period.
    std::chrono::milliseconds minOutageForGrace { 1'000 };
};

// A process's view of a shard's lease: decides when to acquire it and how long it is valid. All times are of
// the local clock. A lease is acquired only after its rows were seen unchanged for its full length, and is
// valid only for its length after a renewal was sent, so clocks need not be synchronized.
class ShardLease {
public:
    ShardLease(LeaseSettings, std::string address, std::uint64_t incarnation);

    // The rows as read from the store; version 0 if the row does not exist.
    void observeOwner(std::optional<LeaseOwner>, Version, TimePoint now);
    void observeRenewal(Version, TimePoint now);

    // The store became unreachable or reachable; during an outage the holder may be unable to renew.
    void observeStoreLost(TimePoint now);
    void observeStoreRegained(TimePoint now);

    // Whether a process that does not hold the shard should claim it now. `delay` differs between processes,
    // so that few claim at once.
    [[nodiscard]] bool shouldAcquire(TimePoint now, std::chrono::milliseconds delay) const;
    // Back-off after a failed claim or a release.
    void delayAcquire(TimePoint until) { m_acquireFrom = until; }
    // The owner row to write to acquire the lease.
    [[nodiscard]] LeaseOwner ownerAfterClaim() const;
    // The owner row to write to release the lease. `isHandOver` counts the release as a hand-over;
    // `hasBeenStable` restarts that count at 1.
    [[nodiscard]] LeaseOwner ownerAfterRelease(bool isHandOver, bool hasBeenStable) const;

    void onRenewed(TimePoint sent);
    // Whether this process holds the lease, and it has not expired.
    [[nodiscard]] bool isValid(TimePoint now) const;
    [[nodiscard]] bool isOwn() const;

    [[nodiscard]] const std::optional<LeaseOwner>& owner() const { return m_owner; }
    [[nodiscard]] Version ownerVersion() const { return m_ownerVersion; }
    [[nodiscard]] Version renewalVersion() const { return m_renewalVersion; }
    // When the rows were last seen to change, as a holder that reaches the store renews them; empty before
    // the first read.
    [[nodiscard]] std::optional<TimePoint> unchangedSince() const { return m_unchangedSince; }
    [[nodiscard]] const LeaseSettings& settings() const { return m_settings; }

private:
    const LeaseSettings m_settings;
    const std::string m_address;
    const std::uint64_t m_incarnation;
    std::optional<LeaseOwner> m_owner;
    Version m_ownerVersion { 0 };
    Version m_renewalVersion { 0 };
    // When the current versions of the rows were first seen; empty before the first read.
    std::optional<TimePoint> m_unchangedSince;
    TimePoint m_validUntil;
    TimePoint m_acquireFrom;
    // Start of the current store outage.
    std::optional<TimePoint> m_storeLostAt;
    // End of the last outage of at least `minOutageForGrace`; empty if there was none.
    std::optional<TimePoint> m_outageEndedAt;
};

} // namespace fulmar::node

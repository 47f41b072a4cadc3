#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <optional>
#include <string>

namespace fulmar::node {

// The lease row of a shard.
struct LeaseOwner {
    // "host:port" at which the holder serves other processes; empty if the shard was released.
    std::string address;
    // Differs at each start of a process.
    std::uint64_t incarnation { 0 };
    Epoch epoch { 0 };
    // Times in a row that the shard was given up by holders that did not cope with it.
    std::uint32_t consecutiveHandOvers { 0 };

    bool operator==(const LeaseOwner&) const = default;
};

[[nodiscard]] std::string encodeOwner(const LeaseOwner&);
[[nodiscard]] std::optional<LeaseOwner> decodeOwner(std::string_view);

struct LeaseSettings {
    // A holder that did not renew for this long has lost the shard.
    std::chrono::milliseconds length { 3'000 };
    // Taken off the length on the holder's side: a process may be suspended between a check and the packet.
    std::chrono::milliseconds margin { 300 };
    // After the store was away a holder may renew for this long before others take its shard: a write that
    // was lost takes 1.2 s to show and half a second until it is sent again.
    std::chrono::milliseconds renewalGraceAfterOutage { 2'000 };
    // An outage shorter than this costs a holder one renewal of four, so that it needs no such time.
    std::chrono::milliseconds minOutageForGrace { 1'000 };
};

// What a process knows of a shard's lease, and when it may take it or rely on it. Times are of this process's
// clock; a lease is taken only after its rows were seen unchanged for its whole length, and relied on only
// for its length after a renewal was sent, so that clocks need not agree.
class ShardLease {
public:
    ShardLease(LeaseSettings, std::string address, std::uint64_t incarnation);

    // The rows as the store has them; `version` 0 where there is none.
    void observeOwner(std::optional<LeaseOwner>, Version, TimePoint now);
    void observeRenewal(Version, TimePoint now);

    // The store does not answer this process, or does again: its holder may just be unable to renew a lease.
    void observeStoreLost(TimePoint now);
    void observeStoreRegained(TimePoint now);

    // Whether to try to take the shard now, for a process that does not hold it. `delay` differs between
    // processes, so that few try at once.
    [[nodiscard]] bool shouldAcquire(TimePoint now, std::chrono::milliseconds delay) const;
    // Not before; after a claim that failed.
    void delayAcquire(TimePoint until) { m_acquireFrom = until; }
    // What to write to take it.
    [[nodiscard]] LeaseOwner claim() const;
    // What to write to give it up; `isHandOver` if that is to find a better holder, `hasBeenStable` if this
    // one was good enough until lately.
    [[nodiscard]] LeaseOwner release(bool isHandOver, bool hasBeenStable) const;

    void onRenewed(TimePoint sent);
    // The shard is ours until then unless it is renewed.
    [[nodiscard]] bool isValid(TimePoint now) const;
    [[nodiscard]] bool isOwn() const;

    [[nodiscard]] const std::optional<LeaseOwner>& owner() const { return m_owner; }
    [[nodiscard]] Version ownerVersion() const { return m_ownerVersion; }
    [[nodiscard]] Version renewalVersion() const { return m_renewalVersion; }
    [[nodiscard]] const LeaseSettings& settings() const { return m_settings; }

private:
    const LeaseSettings m_settings;
    const std::string m_address;
    const std::uint64_t m_incarnation;
    std::optional<LeaseOwner> m_owner;
    Version m_ownerVersion { 0 };
    Version m_renewalVersion { 0 };
    // When the rows were first seen as they are; empty before the first look.
    std::optional<TimePoint> m_unchangedSince;
    TimePoint m_validUntil;
    TimePoint m_acquireFrom;
    // Since when the store does not answer.
    std::optional<TimePoint> m_storeLostAt;
    // Empty if the store was never away for long.
    std::optional<TimePoint> m_outageEndedAt;
};

} // namespace fulmar::node

#pragma once

#include "serve/call.h"
#include "serve/directory.h"
#include "serve/dispatcher_counts.h"
#include "serve/key_registry.h"
#include "serve/peer_load.h"

#include <map>
#include <memory>

namespace fulmar::serve {

struct DispatcherSettings {
    ZoneId zone;
    ProcessId process;
    // Must differ between all incarnations of this process: random, or the wall clock at start.
    std::uint64_t incarnation { 0 };
    // Seed of all random choices.
    std::uint64_t seed { 1 };
    KeyRegistryLimits keys;
    // Interval at which the owner of a running key is polled.
    Duration ownerPollInterval { std::chrono::milliseconds(100) };
    // How long an attempt with a key may continue after the caller's deadline, so that a resend can obtain
    // its response.
    Duration keyedAttemptGrace { std::chrono::seconds(10) };
};

// Routes the calls of one entry VM: decides where and when each call is sent, and how its caller is answered.
// It has no sockets, threads or clock of its own: the daemon reports each event with the current time and
// carries out the returned actions in order. Not thread-safe; all calls come from one thread.
//
// Every call passed to onCall ends in exactly one ForwardResponse, ForwardStoredResponse or Refuse, unless
// its caller disconnects.
class Dispatcher {
public:
    explicit Dispatcher(DispatcherSettings);
    ~Dispatcher();
    Dispatcher(Dispatcher&&) noexcept;
    Dispatcher& operator=(Dispatcher&&) noexcept;

    [[nodiscard]] Actions onCall(RequestId, const CallInfo&, TimePoint now);
    [[nodiscard]] Actions onAttemptEnd(AttemptId, const AttemptEnd&, TimePoint now);
    [[nodiscard]] Actions onCallerGone(RequestId, TimePoint now);

    [[nodiscard]] Actions onClaim(RequestId, const ClaimResult&, TimePoint now);
    [[nodiscard]] Actions onOwnerReply(RequestId, const OwnerReply&, TimePoint now);

    // Answers a question of a peer. On Kept the daemon adds the stored response to its reply.
    [[nodiscard]] OwnerReply onKeyQuestion(const KeyQuestion&, TimePoint now);

    // Processes timers; to be called at nextWake() or later.
    [[nodiscard]] Actions onTick(TimePoint now);
    // The next time at which onTick has work; empty if no timer is set.
    [[nodiscard]] std::optional<TimePoint> nextWake() const;

    // Applies changed services. Until setEntryVms is called all slots count as our own, so setEntryVms should
    // be called first.
    [[nodiscard]] Actions applyDirectory(const DirectoryChange&, TimePoint now);

    // Sets all registered entry VMs, reachable or not, this one included.
    [[nodiscard]] Actions setEntryVms(const std::vector<EntryVm>&, TimePoint now);

    // An operator or the target itself announced that the VM is leaving. It gets no new calls for a minute,
    // by when its row should say so, or until a row with a higher epoch says Serving.
    void onTargetLeaving(const VmId&, TimePoint now);
    // State of a VM in the platform's list, reported on each read. A VM listed as leaving gets no new calls
    // until it is listed as live, or a row with a higher epoch says Serving.
    void onTargetListed(const VmId&, bool leaving);

    [[nodiscard]] Actions onPeerLoad(const ProcessId&, const PeerLoad&, TimePoint now);
    // Message for one peer. To be sent about every 100 ms, and at once after a target was reported as
    // leaving; every second suffices for a peer in another zone if no slots are lent or wanted.
    [[nodiscard]] PeerLoad loadFor(const ProcessId& peer, TimePoint now);

    // Attempts in flight per target; the fleet uses them to check that a VM is drained.
    [[nodiscard]] std::map<VmId, std::uint32_t> inFlight() const;

    [[nodiscard]] DispatcherCounts counts(TimePoint now);

    // Creates a key that only this process can run, for callers that want at-most-once execution without the
    // table. Empty while draining.
    [[nodiscard]] std::optional<std::string> mintKey(TimePoint now);

    // Stops minting keys. Calls are still served while draining, because the load balancer keeps sending them
    // for a while.
    void beginDrain(TimePoint now);
    // No call is waiting or in flight.
    [[nodiscard]] bool isIdle() const;

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace fulmar::serve

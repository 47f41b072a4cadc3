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
    // Must differ from that of every other life of this process: random, or the wall clock at start.
    std::uint64_t incarnation { 0 };
    // Seed of all random choices.
    std::uint64_t seed { 1 };
    KeyRegistryLimits keys;
    // How often the owner of a running key is asked again.
    Duration ownerPollInterval { std::chrono::milliseconds(100) };
    // How long an attempt for a keyed request may outlive the caller's deadline, so that a resend finds its
    // answer.
    Duration keyedAttemptGrace { std::chrono::seconds(10) };
};

// Decides, for one entry VM, which call goes where and when, and what its caller is told. Pure: it owns no
// socket, thread or clock. The daemon reports each event with the time and carries out the returned actions
// in order. Not thread-safe: one duty thread feeds it.
//
// Every accepted call ends in exactly one ForwardResponse, ForwardStoredResponse or Refuse, unless its caller
// is gone.
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

    // Answers a peer's question. On Kept the daemon adds the answer kept under the key to its reply.
    [[nodiscard]] OwnerReply onKeyQuestion(const KeyQuestion&, TimePoint now);

    // Passes time on; to be called at nextWake() or later.
    [[nodiscard]] Actions onTick(TimePoint now);
    // When onTick has something to do; empty if only another event can bring about an action.
    [[nodiscard]] std::optional<TimePoint> nextWake() const;

    // Takes services in their newest form. Until setEntryVms is called all slots count as ours, so that the
    // entry VMs should be set first.
    [[nodiscard]] Actions applyDirectory(const DirectoryChange&, TimePoint now);

    // All entry VMs that are registered, whether they can be reached or not; ours included.
    [[nodiscard]] Actions setEntryVms(const std::vector<EntryVm>&, TimePoint now);

    // An operator or the target itself said that the VM is leaving. It gets no new call for a minute, by when
    // its row has to say so, or until a row with a higher epoch says Serving.
    void onTargetLeaving(const VmId&, TimePoint now);
    // What the platform's list says of a VM, each time it is read. A VM listed as leaving gets no new call
    // until it is listed as live, or a row with a higher epoch says Serving.
    void onTargetListed(const VmId&, bool leaving);

    [[nodiscard]] Actions onPeerLoad(const ProcessId&, const PeerLoad&, TimePoint now);
    // The message for one peer; to be made and sent about every 100 ms, at once after a target was said to be
    // leaving, and every second to a peer of another zone with which no slots are lent or wanted.
    [[nodiscard]] PeerLoad loadFor(const ProcessId& peer, TimePoint now);

    // Attempts in flight per target, for the fleet's check that a VM is empty.
    [[nodiscard]] std::map<VmId, std::uint32_t> inFlight() const;

    [[nodiscard]] DispatcherCounts counts(TimePoint now);

    // A key that only this process can run, for callers that want at-most-once without the table. Empty while
    // draining.
    [[nodiscard]] std::optional<std::string> mintKey(TimePoint now);

    // Calls are still served while draining, because the balancer keeps sending for a while; no keys are
    // minted any more.
    void beginDrain(TimePoint now);
    // No call waits or is in flight.
    [[nodiscard]] bool isIdle() const;

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace fulmar::serve

#pragma once

#include "serve/admission.h"
#include "serve/dispatcher.h"
#include "serve/keyed_calls.h"
#include "serve/retry_budget.h"
#include "serve/run_times.h"
#include "serve/slot_exchange.h"
#include "serve/targets.h"

#include <map>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>

namespace fulmar::serve {

// Progress of a request.
enum class RequestPhase : std::uint8_t {
    // The key's history is being looked up, or the request waits for another request with the same key.
    LookingUpKey,
    Queued,
    InFlight,
    BackingOff,
};

struct Request {
    ServiceId service;
    std::string caller;
    TimePoint arrivedAt;
    TimePoint deadline;
    // When onTick processes the request next.
    TimePoint wake;
    RequestPhase phase { RequestPhase::Queued };
    bool idempotent { false };
    // Scoped key; set for non-idempotent requests with a key.
    std::optional<std::string> key;
    ClassId callClass { 0 };
    // Whether the class was long when the call arrived.
    bool isLong { false };
    // Mean run time of the call's class, and a bound that most calls of the class stay below.
    Duration expectedRunTime {};
    Duration highRunTime {};
    AttemptId attempt { 0 };
    // An earlier attempt may have run.
    bool mayHaveRun { false };
    std::vector<VmId> tried;
};

struct Attempt {
    RequestId request { 0 };
    ServiceId service;
    VmId target;
    SlotUse slot;
    ClassId callClass { 0 };
    bool isLong { false };
    TimePoint started;
    bool cancelled { false };
    // Key of the request, which may end before the attempt.
    std::optional<std::string> key;
};

struct ServiceState {
    ServiceConfig config;
    Admission admission;
    RetryBudget retries;
    // Requests and attempts that refer to the service, and whether the service was removed.
    std::size_t references { 0 };
    bool removed { false };
};

// Slot of a call that has ended on our side while the target may still be working on it.
struct AbandonedSlot {
    VmId target;
    SlotUse slot;
};

// State of the dispatcher and flow of a request: key lookup, queueing, attempts with retries, and answer.
class Dispatcher::State {
public:
    explicit State(DispatcherSettings);

    void onCall(RequestId, const CallInfo&, TimePoint now);
    void onAttemptEnd(AttemptId, const AttemptEnd&, TimePoint now);
    void onCallerGone(RequestId, TimePoint now);
    void onClaim(RequestId, const ClaimResult&, TimePoint now);
    void onOwnerReply(RequestId, const OwnerReply&, TimePoint now);
    void onTick(TimePoint now);
    void applyDirectory(const DirectoryChange&, TimePoint now);

    void onPeerLoad(const ProcessId&, const PeerLoad&, TimePoint now);
    [[nodiscard]] PeerLoad loadFor(const ProcessId&, TimePoint now);

    // Starts waiting calls while slots are free.
    void startWaitingCalls(TimePoint now);

    [[nodiscard]] std::optional<TimePoint> nextWake() const;
    // Calls per service that wait or hold a borrowed slot.
    [[nodiscard]] std::map<ServiceId, std::uint32_t> wanted() const;

    [[nodiscard]] DispatcherCounts counts(TimePoint now);

    Actions takeActions() { return std::exchange(m_actions, {}); }

private:
    friend Dispatcher;

    void enqueue(RequestId, Request&, TimePoint now);
    void startWaitingCallsOf(const ServiceId&, ServiceState&, TimePoint now);
    void startCallsFromQueue(const ServiceId&, ServiceState&, std::uint32_t slots, TimePoint now);
    void start(RequestId, Request&, ServiceState&, TargetState&, TimePoint now);
    void recordAttemptEnd(const Attempt&, const AttemptEnd&, TimePoint now);
    void releaseSlot(const Attempt&, const AttemptEnd&, TimePoint now);
    [[nodiscard]] bool mayRetry(const Request&, const AttemptEnd&, TimePoint now);
    void backOff(RequestId, Request&, TimePoint now);
    void cancel(AttemptId);
    void fail(RequestId, Request&, Failure, std::chrono::seconds retryAfter, TimePoint now);
    void failForLackOfTime(RequestId, Request&, TimePoint now);
    void expire(RequestId, Request&, TimePoint now);
    void apply(KeyedStep, TimePoint now);
    void setWake(RequestId, Request&, TimePoint);
    void erase(RequestId);
    void releaseService(const ServiceId&);
    void emit(Action);
    [[nodiscard]] static WaitingCall waitingCall(RequestId, const Request&, TimePoint now);
    [[nodiscard]] std::chrono::seconds retryAfter(Duration wait);

    DispatcherSettings m_settings;
    std::mt19937_64 m_random;
    Targets m_targets;
    SlotExchange m_exchange;
    KeyedCalls m_keyed;
    RunTimes m_runTimes;
    std::map<ServiceId, ServiceState> m_services;
    std::unordered_map<RequestId, Request> m_requests;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    std::set<std::pair<TimePoint, RequestId>> m_wakes;
    std::multimap<TimePoint, AbandonedSlot> m_abandonedSlots;
    Actions m_actions;
    DispatcherCounts m_counts;
    AttemptId m_lastAttempt { 0 };
    std::uint64_t m_lastMintSerial { 0 };
    bool m_draining { false };
};

} // namespace fulmar::serve

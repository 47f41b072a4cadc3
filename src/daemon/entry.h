#pragma once

#include "core/event.h"
#include "daemon/distribution.h"
#include "daemon/entry_settings.h"
#include "daemon/inbox.h"
#include "daemon/operator_endpoint.h"
#include "daemon/peer_duty.h"
#include "daemon/store_duty.h"
#include "io/caller_server.h"
#include "io/target_client.h"
#include "platform/http_platform.h"
#include "serve/dispatcher.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace fulmar {

// The entry daemon, through which callers reach targets. The serve duty runs the callers' server, the
// targets' client and the dispatcher on one event loop. The peer and store duties have their own threads and
// post to that loop through its inbox.
class Entry {
public:
    Entry(EntrySettings, std::uint64_t incarnation);
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;
    ~Entry();

    // Serves until SIGTERM or SIGINT, then stops gracefully. Fails if an address cannot be bound.
    [[nodiscard]] Result<void> run();

private:
    using Store = StoreDuty<HttpPlatform, SystemClock>;

    // A call; kept until it is answered and its last attempt has ended.
    struct Call {
        std::string method;
        std::string path;
        std::vector<HeaderField> headers;
        std::string body;
        int attempts { 0 };
        bool isAnswered { false };
        // The attempt whose answer is streamed to the caller, and its bytes not yet sent to the caller.
        std::optional<serve::AttemptId> streaming;
        std::size_t unsentBytes { 0 };
        // The stored answer that the owner of the idempotency key sent.
        HttpAnswer ownerAnswer;
    };

    // Calls by result, and retries, since the start.
    struct CallCounts {
        std::map<Outcome, std::uint64_t> outcomes;
        std::map<Reason, std::uint64_t> refusals;
        std::uint64_t retries { 0 };
    };

    [[nodiscard]] Result<void> startDuties();
    PeerDutyHooks makePeerHooks();
    OperatorEndpointHooks makeOperatorEndpointHooks();
    void addTargets(operate::OperatorView&);
    void updateMetrics(operate::MetricsRegistry&);

    void onCall(CallId, CallerRequest);
    bool answerOwnPath(CallId, const CallerRequest&);
    void answerHealth(CallId);
    void answerMint(CallId);
    void forwardTask(CallId, const CallerRequest&);
    [[nodiscard]] TaskId newTaskId(CallId, const CallerRequest&) const;

    void perform(const serve::Actions&);
    void perform(const serve::StartAttempt&);
    void perform(const serve::CancelAttempt&);
    void perform(const serve::ForwardResponse&);
    void perform(const serve::Refuse&);
    void perform(const serve::ClaimKey&);
    void perform(const serve::AskKeyOwner&);
    void perform(const serve::StoreResponse&);
    void perform(const serve::DropStoredResponse&);
    void perform(const serve::ForwardStoredResponse&);

    AnswerSink makeSink(serve::RequestId, serve::AttemptId);
    bool appendPiece(serve::RequestId, serve::AttemptId, std::string piece);
    void onPieceSent(serve::RequestId, serve::AttemptId, std::size_t bytes, bool wasSent);
    void onAttemptEnd(serve::RequestId, serve::AttemptId, const serve::AttemptEnd&, HttpAnswer);
    void answer(serve::RequestId, HttpAnswer);
    void endStream(serve::RequestId, bool isComplete);
    void forgetIfDone(serve::RequestId);

    void applyConfig();
    void indexRow(const Row&);
    [[nodiscard]] std::vector<serve::EntryVm> registeredEntries() const;
    [[nodiscard]] Confirmation confirmLeaving(const ConfirmQuestion&);
    [[nodiscard]] KeyAnswer answerKey(const KeyQuestion&);
    [[nodiscard]] bool isServing() const;

    void scheduleTick();
    void scheduleConfig(std::chrono::milliseconds pause);
    void beginStop();
    void pollStop();

    const EntrySettings m_settings;
    const PeerInfo m_self;
    const SystemClock m_clock {};
    EventLog m_events;
    asio::io_context m_loop { 1 };
    LoopInbox m_inbox;
    asio::signal_set m_signals;
    asio::steady_timer m_tickTimer;
    asio::steady_timer m_configTimer;
    asio::steady_timer m_stopTimer;

    serve::Dispatcher m_dispatcher;
    TargetClient m_targets;
    std::unique_ptr<CallerServer> m_callers;
    std::unordered_map<serve::RequestId, Call> m_calls;
    // Complete answers of ended attempts, kept while the dispatcher's actions on them are performed.
    std::unordered_map<serve::AttemptId, HttpAnswer> m_answers;
    std::unordered_map<std::string, HttpAnswer> m_storedAnswers;

    Distribution m_distribution;
    serve::DirectoryBuilder m_directory;
    // By row key: the operation that wrote the applied version of each VM's row, and the registered entries.
    std::unordered_map<std::string, OperationId> m_vmRowOperations;
    std::map<std::string, serve::EntryVm> m_entryRows;
    // Version of the configuration that the dispatcher routes by; 0 before the first.
    Version m_appliedVersion { 0 };
    TimePoint m_configDue { TimePoint::max() };
    TimePoint m_tickDue { TimePoint::max() };

    CallCounts m_counts;
    bool m_isStopping { false };
    TimePoint m_stopBegan {};

    std::unique_ptr<Store> m_store;
    std::unique_ptr<PeerDuty> m_peers;
    std::unique_ptr<OperatorEndpoint> m_operators;
};

} // namespace fulmar

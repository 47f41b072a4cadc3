#include "serve/attempt_verdict.h"
#include "serve/dispatcher.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>
#include <set>

using namespace fulmar;
using namespace fulmar::serve;
using namespace std::chrono_literals;

namespace {

struct Exchange {
    std::uint64_t requestBytes { 0 };
    std::uint64_t contentLength { 0 };
    // Bytes of the request and then of the response that are transferred before the connection ends.
    std::uint64_t transferredBytes { 0 };
    TransferStop stop { TransferStop::Reset };
    BodyFraming framing { BodyFraming::ContentLength };
};

constexpr std::uint64_t headerBytes = 20;
constexpr std::uint64_t lastChunkBytes = 5;

// What is observed on the connection of an exchange that ends after `transferredBytes`.
TransferFacts observe(const Exchange& exchange)
{
    TransferFacts facts;
    facts.stop = exchange.stop;
    facts.framing = exchange.framing;
    facts.contentLength = exchange.contentLength;
    facts.requestBytesSent = std::min(exchange.transferredBytes, exchange.requestBytes);
    auto answered = exchange.transferredBytes - facts.requestBytesSent;
    if (answered < headerBytes)
        return facts;
    facts.status = 200;
    facts.bodyBytes = std::min(answered - headerBytes, exchange.contentLength);
    auto total = headerBytes + exchange.contentLength + lastChunkBytes;
    facts.lastChunkSeen = exchange.framing == BodyFraming::Chunked && answered >= total;
    return facts;
}

bool isWholeAnswer(const Exchange& exchange)
{
    if (exchange.stop != TransferStop::Finished || exchange.framing == BodyFraming::UntilClose)
        return false;
    auto needed = exchange.requestBytes + headerBytes;
    if (exchange.framing != BodyFraming::None)
        needed += exchange.contentLength;
    if (exchange.framing == BodyFraming::Chunked)
        needed += lastChunkBytes;
    return exchange.transferredBytes >= needed;
}

// The property that any classification of transfers must satisfy.
template <typename Classify> bool isTrueOutcome(const Exchange& exchange, Classify classify)
{
    auto end = classify(observe(exchange));
    if (end.outcome == Outcome::Ran)
        return isWholeAnswer(exchange) && end.status.has_value();
    if (end.outcome == Outcome::NotRun)
        return exchange.transferredBytes == 0;
    return !isWholeAnswer(exchange);
}

Exchange drawExchange()
{
    Exchange exchange;
    exchange.requestBytes = *rc::gen::inRange<std::uint64_t>(1, 200);
    exchange.contentLength = *rc::gen::inRange<std::uint64_t>(0, 200);
    exchange.transferredBytes = *rc::gen::inRange<std::uint64_t>(0, 430);
    exchange.stop = TransferStop(*rc::gen::inRange(0, 7));
    exchange.framing = BodyFraming(*rc::gen::inRange(0, 4));
    return exchange;
}

bool givesUntrueOutcome(AttemptEnd (*classify)(const TransferFacts&))
{
    for (std::uint64_t transferredBytes = 0; transferredBytes < 200; ++transferredBytes)
        for (auto stop : { TransferStop::Finished, TransferStop::Reset })
            for (auto framing : { BodyFraming::ContentLength, BodyFraming::Chunked })
                if (!isTrueOutcome({ 50, 100, transferredBytes, stop, framing }, classify))
                    return true;
    return false;
}

AttemptEnd classifyByStatusAlone(const TransferFacts& facts)
{
    auto end = classifyTransfer(facts);
    if (facts.status)
        end = { Outcome::Ran, facts.status, {}, false, false, {} };
    return end;
}

AttemptEnd classifyPartlyWrittenAsNotRun(const TransferFacts& facts)
{
    auto end = classifyTransfer(facts);
    if (facts.requestBytesSent < 10)
        end.outcome = Outcome::NotRun;
    return end;
}

// Feeds a dispatcher with random calls and attempt ends, and checks the answers to callers against what
// happened.
class CallSimulation {
public:
    // With `reportsUnknownAsNotRun` attempts with an unknown outcome are falsely reported as NotRun.
    explicit CallSimulation(bool reportsUnknownAsNotRun)
        : m_reportsUnknownAsNotRun(reportsUnknownAsNotRun)
        , m_dispatcher(settings())
    {
        ServiceEntry service;
        service.config.service = ServiceId("s");
        service.config.queueLimit = 3;
        service.config.slotsPerTarget = 2;
        service.config.retryShare = 1;
        for (const auto* vm : { "v1", "v2", "v3" })
            service.targets.push_back({ VmId(vm), "127.0.0.1:1", ZoneId("a"), RackId(vm), true, 1 });
        DirectoryChange directory;
        directory.changed.push_back(service);
        handle(m_dispatcher.applyDirectory(directory, m_now));
    }

    void call(bool idempotent)
    {
        CallInfo call;
        call.service = ServiceId("s");
        call.method = idempotent ? "GET" : "POST";
        call.timeout = 2s;
        auto id = ++m_last;
        m_requests[id].idempotent = idempotent;
        handle(m_dispatcher.onCall(id, call, m_now));
    }

    // Ends an attempt, possibly one that has already ended: late and duplicate reports must have no effect.
    void end(std::size_t which, AttemptEnd end)
    {
        if (m_attempts.empty())
            return;
        auto& [attempt, state] = *std::next(m_attempts.begin(), std::ptrdiff_t(which % m_attempts.size()));
        if (!state.outcome) {
            state.outcome = end.outcome;
            auto& request = m_requests.at(state.request);
            if (end.outcome == Outcome::NotRun)
                --request.possibleRuns;
        }
        if (m_reportsUnknownAsNotRun && end.outcome == Outcome::MayHaveRun)
            end.outcome = Outcome::NotRun;
        handle(m_dispatcher.onAttemptEnd(attempt, end, m_now));
    }

    void disconnect(std::size_t which)
    {
        auto id = RequestId(1 + which % (m_last + 1));
        if (m_requests.contains(id))
            m_requests.at(id).gone = true;
        handle(m_dispatcher.onCallerGone(id, m_now));
    }

    void advance(Duration step)
    {
        m_now += step;
        handle(m_dispatcher.onTick(m_now));
    }

    // Ends everything; afterwards each caller that is still connected must have been answered once.
    void finish()
    {
        for (std::size_t round = 0; round < 20; ++round) {
            for (std::size_t i = 0; i < m_attempts.size(); ++i)
                end(i, { Outcome::MayHaveRun, {}, Reason::TargetFailed, false, false, {} });
            advance(1s);
        }
        check(m_dispatcher.isIdle());
        for (const auto& [id, request] : m_requests)
            check(request.answers == (request.gone && request.answers == 0 ? 0 : 1));
    }

    [[nodiscard]] bool allTrue() const { return m_allTrue; }

private:
    struct Request {
        bool idempotent { false };
        bool gone { false };
        int answers { 0 };
        int possibleRuns { 0 };
    };
    struct Attempt {
        RequestId request { 0 };
        std::optional<Outcome> outcome;
    };

    static DispatcherSettings settings()
    {
        DispatcherSettings settings;
        settings.zone = ZoneId("a");
        settings.process = ProcessId("e");
        return settings;
    }

    void handle(const Actions& actions)
    {
        for (const auto& action : actions) {
            if (const auto* start = std::get_if<StartAttempt>(&action)) {
                auto& request = m_requests.at(start->request);
                check(m_now < start->deadline);
                check(m_attempts.emplace(start->attempt, Attempt { start->request, {} }).second);
                ++request.possibleRuns;
                check(request.idempotent || request.possibleRuns == 1);
                check(!request.gone);
            } else if (const auto* pass = std::get_if<ForwardResponse>(&action)) {
                const auto& attempt = m_attempts.at(pass->attempt);
                check(attempt.request == pass->request);
                check(attempt.outcome == Outcome::Ran);
                ++m_requests.at(pass->request).answers;
            } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
                auto& request = m_requests.at(refuse->request);
                ++request.answers;
                check((refuse->failure.outcome == Outcome::NotRun) == (request.possibleRuns == 0));
            }
        }
    }

    void check(bool holds) { m_allTrue &= holds; }

    bool m_reportsUnknownAsNotRun;
    bool m_allTrue { true };
    Dispatcher m_dispatcher;
    TimePoint m_now { 1000s };
    RequestId m_last { 0 };
    std::map<RequestId, Request> m_requests;
    std::map<AttemptId, Attempt> m_attempts;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Verdicts)

RC_BOOST_PROP(TheOutcomeIsTrueWhereverATransferStops, ())
{
    RC_ASSERT(isTrueOutcome(drawExchange(), classifyTransfer));
}

BOOST_AUTO_TEST_CASE(BrokenClassifiersAreDetected)
{
    BOOST_TEST(!givesUntrueOutcome(classifyTransfer));
    BOOST_TEST(givesUntrueOutcome(classifyByStatusAlone));
    BOOST_TEST(givesUntrueOutcome(classifyPartlyWrittenAsNotRun));
}

RC_BOOST_PROP(EveryCallerIsAnsweredOnceAndTruthfully, ())
{
    CallSimulation simulation(false);
    auto steps = *rc::gen::inRange(1, 120);
    for (int i = 0; i < steps; ++i) {
        auto which = *rc::gen::inRange<std::size_t>(0, 100);
        switch (*rc::gen::inRange(0, 7)) {
        case 0:
        case 1:
        case 2:
            simulation.call(which % 2 == 0);
            break;
        case 3:
        case 4:
            simulation.end(which, classifyTransfer(observe(drawExchange())));
            break;
        case 5:
            simulation.advance(std::chrono::milliseconds(which * 10));
            break;
        case 6:
            simulation.disconnect(which);
            break;
        }
    }
    simulation.finish();
    RC_ASSERT(simulation.allTrue());
}

BOOST_AUTO_TEST_CASE(AnUntrueNotRunIsDetected)
{
    CallSimulation simulation(true);
    simulation.call(false);
    simulation.end(0, { Outcome::MayHaveRun, {}, Reason::TargetFailed, false, false, {} });
    simulation.finish();
    BOOST_TEST(!simulation.allTrue());
}

BOOST_AUTO_TEST_SUITE_END()

#include "memory_table.h"
#include "serve/claim_batch.h"
#include "serve/dispatcher.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <rapidcheck/boost_test.h>

using namespace fulmar;
using namespace fulmar::serve;
using namespace std::chrono_literals;

namespace {

// One step of a schedule: the kind of event, the entry VM it happens at, and a parameter.
struct Step {
    std::uint8_t kind;
    std::uint8_t entry;
    std::uint8_t detail;
};

// Faults injected into the simulation, to show that the property detects them.
enum class Fault : std::uint8_t {
    None,
    UnknownClaimCountsAsWon,
    IncarnationIsReused,
    UnreachableOwnerCountsAsHandedOver,
    UnknownOutcomeCountsAsNotRun,
};

// Three entry VMs, a table with outages and lost replies, and targets that count the runs of each key.
class Simulation {
public:
    explicit Simulation(Fault fault)
        : m_fault(fault)
    {
        for (std::size_t i = 0; i < m_entries.size(); ++i)
            restart(i);
    }

    void run(const Step&);
    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }
    [[nodiscard]] std::size_t answered() const { return m_answered; }

    // Ends all faults and completes everything in flight. Afterwards a request for any key must be answered
    // at once.
    void endFaultsAndCheckKeys();

private:
    struct Entry {
        std::unique_ptr<Dispatcher> dispatcher;
        ClaimBatch claims;
        std::vector<AskKeyOwner> asks;
        std::map<AttemptId, std::string> attempts;
        std::map<RequestId, std::string> requests;
        std::uint64_t incarnation { 0 };
    };

    void restart(std::size_t index);
    void send(Entry&, std::uint8_t detail);
    void send(Entry&, const std::string& key);
    void completeAll();
    void commit(Entry&, std::uint8_t detail);
    void ask(Entry&, std::uint8_t detail);
    void endAttempt(Entry&, std::uint8_t detail);
    void handle(Entry&, const Actions&);
    void finish(Entry&, RequestId, Outcome reported);
    void check(bool holds, std::string what)
    {
        if (!holds)
            m_violations.push_back(std::move(what));
    }

    Fault m_fault;
    std::array<Entry, 3> m_entries;
    standin::MemoryTable m_table;
    bool m_tableDown { false };
    bool m_partitioned { false };
    TimePoint m_now { 1000s };
    std::uint64_t m_lastIncarnation { 100 };
    RequestId m_lastRequest { 0 };
    std::vector<std::string> m_minted;
    // Attempts per key that ran, may have run or are in flight.
    std::map<std::string, int> m_possibleRuns;
    std::vector<std::string> m_violations;
    std::size_t m_answered { 0 };
};

void Simulation::restart(std::size_t index)
{
    auto& entry = m_entries[index];
    auto incarnation = m_fault == Fault::IncarnationIsReused ? 1 : ++m_lastIncarnation;
    entry = {};
    entry.incarnation = incarnation;
    DispatcherSettings settings;
    settings.zone = ZoneId("a");
    settings.process = ProcessId("e" + std::to_string(index));
    settings.incarnation = incarnation;
    // Small limits, so that keys and responses are forgotten within a schedule.
    settings.keys.keys = 3;
    settings.keys.responseBytes = 2;
    entry.dispatcher = std::make_unique<Dispatcher>(settings);
    ServiceEntry service;
    service.config.service = ServiceId("s");
    service.config.queueLimit = 2;
    service.config.slotsPerTarget = 1;
    for (const auto* vm : { "v1", "v2" })
        service.targets.push_back({ VmId(vm), "127.0.0.1:1", ZoneId("a"), RackId("r"), true, 1 });
    DirectoryChange directory;
    directory.changed.push_back(service);
    std::ignore = entry.dispatcher->applyDirectory(directory, m_now);
}

void Simulation::run(const Step& step)
{
    auto index = step.entry % m_entries.size();
    auto& entry = m_entries[index];
    switch (step.kind % 16) {
    case 0:
    case 1:
    case 2:
    case 3:
        send(entry, step.detail);
        break;
    case 4:
    case 5:
    case 6:
        commit(entry, step.detail);
        break;
    case 7:
    case 8:
    case 9:
        ask(entry, step.detail);
        break;
    case 10:
    case 11:
        endAttempt(entry, step.detail);
        break;
    case 12:
        m_now += std::chrono::milliseconds(step.detail * 10);
        handle(entry, entry.dispatcher->onTick(m_now));
        break;
    case 13:
        if (!entry.requests.empty()) {
            auto gone = entry.requests.extract(entry.requests.begin()).key();
            handle(entry, entry.dispatcher->onCallerGone(gone, m_now));
        }
        break;
    case 14:
        m_tableDown = step.detail % 2 == 0;
        m_partitioned = step.detail % 3 == 0;
        break;
    case 15:
        if (step.detail % 2 == 0)
            restart(index);
        else if (auto key = entry.dispatcher->mintKey(m_now))
            m_minted.push_back(*key);
        break;
    }
}

void Simulation::endFaultsAndCheckKeys()
{
    m_tableDown = false;
    m_partitioned = false;
    for (int second = 0; second < 30; ++second) {
        completeAll();
        m_now += 1s;
        for (auto& entry : m_entries)
            handle(entry, entry.dispatcher->onTick(m_now));
    }
    for (auto& entry : m_entries)
        check(entry.dispatcher->isIdle(), "a call or attempt never ends");
    auto keys = m_minted;
    for (const auto* key : { "k0", "k1", "k2", "k3" })
        keys.emplace_back(key);
    for (auto& entry : m_entries)
        for (const auto& key : keys) {
            send(entry, key);
            completeAll();
            check(entry.requests.empty(), "key " + key + " waits for a run that is not in flight");
        }
}

// Completes claims, questions and attempts without faults until none is left.
void Simulation::completeAll()
{
    constexpr std::uint8_t noFault = 7;
    for (int round = 0; round < 20; ++round)
        for (auto& entry : m_entries) {
            commit(entry, noFault);
            for (std::size_t i = entry.asks.size(); i > 0; --i)
                ask(entry, noFault);
            while (!entry.attempts.empty())
                endAttempt(entry, noFault);
        }
}

void Simulation::send(Entry& entry, std::uint8_t detail)
{
    if (detail % 8 >= 4 && !m_minted.empty())
        send(entry, m_minted[detail % m_minted.size()]);
    else
        send(entry, "k" + std::to_string(detail % 4));
}

void Simulation::send(Entry& entry, const std::string& key)
{
    CallInfo call;
    call.service = ServiceId("s");
    call.method = "POST";
    call.idempotencyKey = key;
    auto request = ++m_lastRequest;
    entry.requests[request] = *call.idempotencyKey;
    handle(entry, entry.dispatcher->onCall(request, call, m_now));
}

// Commits the pending claims and reads back the rows of unresolved ones.
void Simulation::commit(Entry& entry, std::uint8_t detail)
{
    auto transaction = entry.claims.next(OperationId("o" + std::to_string(m_lastRequest)), WallTime {});
    if (!transaction)
        return;
    Result<Version> result = notRun(Reason::StoreUnavailable, "");
    if (!m_tableDown)
        result = m_table.commit(*transaction);
    if (detail % 4 == 0)
        result = mayHaveRun(Reason::StoreUnavailable, "");
    auto done = entry.claims.onCommit(result);
    for (const auto& row : entry.claims.rowsToRead()) {
        Result<Changes> changes = notRun(Reason::StoreUnavailable, "");
        if (detail % 8 != 0)
            changes = m_table.read(row, 0);
        for (const auto& one : entry.claims.onRead(row, changes))
            done.push_back(one);
    }
    for (auto& [request, claim] : done) {
        if (m_fault == Fault::UnknownClaimCountsAsWon && std::holds_alternative<ClaimUnknown>(claim))
            claim = ClaimWon {};
        handle(entry, entry.dispatcher->onClaim(request, claim, m_now));
    }
}

// Delivers the oldest question; the question or the reply may be lost.
void Simulation::ask(Entry& entry, std::uint8_t detail)
{
    if (entry.asks.empty())
        return;
    auto action = entry.asks.front();
    entry.asks.erase(entry.asks.begin());
    OwnerReply reply;
    auto process = action.question.holder.owner.process.value();
    auto& holder = m_entries[process.back() - '0'];
    if (!m_partitioned && detail % 8 != 0)
        reply = holder.dispatcher->onKeyQuestion(action.question, m_now);
    if (detail % 8 == 1)
        reply = {};
    if (m_fault == Fault::UnreachableOwnerCountsAsHandedOver && reply.knowledge == KeyKnowledge::Unreachable)
        reply.knowledge = KeyKnowledge::HandedOver;
    handle(entry, entry.dispatcher->onOwnerReply(action.request, reply, m_now));
}

void Simulation::endAttempt(Entry& entry, std::uint8_t detail)
{
    if (entry.attempts.empty())
        return;
    auto [attempt, key] = *entry.attempts.begin();
    entry.attempts.erase(entry.attempts.begin());
    AttemptEnd end;
    switch (detail % 4) {
    case 0:
        end.outcome = Outcome::NotRun;
        --m_possibleRuns[key];
        break;
    case 1:
        end.outcome = m_fault == Fault::UnknownOutcomeCountsAsNotRun ? Outcome::NotRun : Outcome::MayHaveRun;
        break;
    default:
        end.outcome = Outcome::Ran;
        end.status = 200;
        end.bufferedBytes = 1;
    }
    handle(entry, entry.dispatcher->onAttemptEnd(attempt, end, m_now));
}

void Simulation::handle(Entry& entry, const Actions& actions)
{
    for (const auto& action : actions) {
        if (const auto* start = std::get_if<StartAttempt>(&action)) {
            auto key = entry.requests.at(start->request);
            entry.attempts[start->attempt] = key;
            check(++m_possibleRuns[key] <= 1, "key " + key + " may run twice");
        } else if (const auto* claim = std::get_if<ClaimKey>(&action)) {
            entry.claims.add(*claim);
        } else if (const auto* ask = std::get_if<AskKeyOwner>(&action)) {
            entry.asks.push_back(*ask);
        } else if (const auto* pass = std::get_if<ForwardResponse>(&action)) {
            finish(entry, pass->request, Outcome::Ran);
        } else if (const auto* kept = std::get_if<ForwardStoredResponse>(&action)) {
            finish(entry, kept->request, Outcome::Ran);
        } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
            finish(entry, refuse->request, refuse->failure.outcome);
        }
    }
}

// Checks that the outcome reported to a caller is true.
void Simulation::finish(Entry& entry, RequestId request, Outcome reported)
{
    auto node = entry.requests.extract(request);
    check(!node.empty(), "a request was answered twice");
    if (node.empty())
        return;
    auto runs = m_possibleRuns[node.mapped()];
    check(reported != Outcome::NotRun || runs == 0,
        "key " + node.mapped() + " was reported as not run, but may have run");
    check(reported != Outcome::Ran || runs == 1,
        "key " + node.mapped() + " was reported as run, but its possible runs are not exactly one");
    if (reported == Outcome::Ran)
        ++m_answered;
}

Simulation runSchedule(const std::vector<Step>& steps, Fault fault)
{
    Simulation simulation(fault);
    for (const auto& step : steps)
        simulation.run(step);
    if (fault == Fault::None)
        simulation.endFaultsAndCheckKeys();
    return simulation;
}

std::vector<Step> drawSchedule(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<Step> steps(300);
    for (auto& step : steps)
        step = { std::uint8_t(random()), std::uint8_t(random()), std::uint8_t(random()) };
    return steps;
}

// Whether any of 500 random schedules shows a violation.
bool isDetected(Fault fault)
{
    for (std::uint64_t seed = 1; seed <= 500; ++seed)
        if (!runSchedule(drawSchedule(seed), fault).violations().empty())
            return true;
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AtMostOnce)

RC_BOOST_PROP(NoKeyRunsTwiceAndReportedOutcomesAreTrue, ())
{
    auto byte = rc::gen::arbitrary<std::uint8_t>();
    auto step = rc::gen::construct<Step>(byte, byte, byte);
    auto steps = *rc::gen::resize(400, rc::gen::container<std::vector<Step>>(step));
    auto simulation = runSchedule(steps, Fault::None);
    if (!simulation.violations().empty())
        RC_FAIL(simulation.violations().front());
}

BOOST_AUTO_TEST_CASE(RandomSchedulesAnswerCallersWithoutViolations)
{
    std::size_t answered = 0;
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        auto simulation = runSchedule(drawSchedule(seed), Fault::None);
        if (!simulation.violations().empty())
            BOOST_ERROR("seed " << seed << ": " << simulation.violations().front());
        answered += simulation.answered();
    }
    BOOST_TEST(answered > 500U);
}

BOOST_AUTO_TEST_CASE(InjectedFaultsAreDetected)
{
    BOOST_TEST(isDetected(Fault::UnknownClaimCountsAsWon));
    BOOST_TEST(isDetected(Fault::IncarnationIsReused));
    BOOST_TEST(isDetected(Fault::UnreachableOwnerCountsAsHandedOver));
    BOOST_TEST(isDetected(Fault::UnknownOutcomeCountsAsNotRun));
}

BOOST_AUTO_TEST_SUITE_END()

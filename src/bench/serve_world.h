#pragma once

#include "bench/serve_model.h"
#include "serve/call.h"
#include "serve/peer_load.h"

#include <algorithm>
#include <concepts>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <xxhash.h>

namespace fulmar::bench {

// An entry VM's decisions: the dispatcher's, or another version's to compare with.
template <typename E>
concept EntryDecisions
    = requires(E& entry, serve::RequestId request, const serve::CallInfo& call, serve::AttemptId attempt,
        const serve::AttemptEnd& end, const ProcessId& peer, const serve::PeerLoad& load, TimePoint now) {
          {
              entry.onCall(request, call, now)
          } -> std::same_as<serve::Actions>;
          {
              entry.onAttemptEnd(attempt, end, now)
          } -> std::same_as<serve::Actions>;
          {
              entry.onCallerGone(request, now)
          } -> std::same_as<serve::Actions>;
          {
              entry.onTick(now)
          } -> std::same_as<serve::Actions>;
          {
              entry.nextWake()
          } -> std::same_as<std::optional<TimePoint>>;
          {
              entry.loadFor(peer, now)
          } -> std::same_as<serve::PeerLoad>;
          {
              entry.onPeerLoad(peer, load, now)
          } -> std::same_as<serve::Actions>;
      };

// Six entry VMs of one version in front of the model targets, in virtual time.
template <EntryDecisions E> class ServeWorld {
public:
    explicit ServeWorld(const ServeCase&);

    ServeFigures run();

private:
    struct Call {
        OfferedCall offered;
        bool counted { false };
        bool ended { false };
        std::uint32_t runs { 0 };
        bool useful { false };
        std::uint32_t attempts { 0 };
        TimePoint started;
    };
    struct Attempt {
        std::size_t call { 0 };
        bool ended { false };
    };
    // Run time in seconds, as asked and as answered in time.
    struct CallerWork {
        double offered { 0 };
        double answered { 0 };
    };

    void offer(std::size_t call);
    void startAttempt(std::size_t entry, const serve::StartAttempt&);
    void endAttempt(std::size_t entry, serve::AttemptId, const serve::AttemptEnd&);
    void handle(std::size_t entry, const serve::Actions&);
    void endCall(std::size_t call, bool good, bool refused);
    void wake(std::size_t entry);
    void exchangeLoads();
    [[nodiscard]] bool isCut(std::size_t from, std::size_t to) const;
    [[nodiscard]] Duration latency(std::size_t entry, std::size_t target) const;
    void sign(std::uint64_t value);
    ServeFigures summarize();
    [[nodiscard]] double worstFairPart(double capacity) const;
    static double seconds(Duration time) { return std::chrono::duration<double>(time).count(); }

    ServeCase m_case;
    EventQueue m_events;
    std::vector<ModelTarget> m_targets;
    std::vector<serve::EntryVm> m_entryVms;
    std::vector<E> m_entries;
    std::vector<std::optional<TimePoint>> m_wakes;
    std::vector<Call> m_calls;
    std::vector<std::unordered_map<serve::AttemptId, Attempt>> m_attempts;
    std::map<std::string, CallerWork> m_callers;
    std::map<std::int64_t, double> m_offeredBySecond;
    std::vector<Duration> m_waits;
    std::vector<Duration> m_shortWaits;
    std::uint64_t m_late { 0 };
    std::uint64_t m_refused { 0 };
    std::uint64_t m_failed { 0 };
    std::uint64_t m_offered { 0 };
    std::uint64_t m_retries { 0 };
    std::uint64_t m_astray { 0 };
    TimePoint m_start;
    std::uint64_t m_signature { 0 };
};

template <EntryDecisions E>
ServeWorld<E>::ServeWorld(const ServeCase& which)
    : m_case(which)
    , m_wakes(entryCount)
    , m_attempts(entryCount)
{
    m_targets.reserve(targetCount);
    for (std::size_t i = 0; i < targetCount; ++i) {
        bool failing = i < which.failing;
        m_targets.emplace_back(m_events, failing, !failing && i < which.failing + which.slow);
    }
    for (std::size_t i = 0; i < entryCount; ++i)
        m_entryVms.push_back({ ProcessId("entry" + std::to_string(i)), zoneOf(i) });
    for (std::size_t i = 0; i < entryCount; ++i)
        m_entries.emplace_back(m_entryVms[i], m_entryVms, benchService(), m_events.now());
}

template <EntryDecisions E> ServeFigures ServeWorld<E>::run()
{
    constexpr Duration settling = std::chrono::seconds(3);
    constexpr Duration draining = std::chrono::seconds(20);
    auto start = m_events.now() + settling;
    m_start = start;
    for (auto& offered : drawCalls(m_case, start)) {
        auto index = m_calls.size();
        Call call;
        call.counted = offered.arrival >= start + warmUp;
        m_events.at(offered.arrival, [this, index] { offer(index); });
        call.offered = std::move(offered);
        m_calls.push_back(std::move(call));
    }
    exchangeLoads();
    m_events.runUntil(start + runLength + draining);
    return summarize();
}

template <EntryDecisions E> void ServeWorld<E>::offer(std::size_t index)
{
    const auto& call = m_calls[index].offered;
    if (m_calls[index].counted) {
        ++m_offered;
        m_callers[call.caller].offered += seconds(call.run);
        auto second = std::chrono::duration_cast<std::chrono::seconds>(m_events.now() - m_start).count();
        m_offeredBySecond[second] += seconds(call.run);
    }
    serve::CallInfo info;
    info.service = ServiceId("plans");
    info.method = call.idempotent ? "GET" : "POST";
    info.path = call.isLong ? "/survey" : "/quote";
    info.caller = call.caller;
    info.timeout = callTimeout;
    m_events.at(m_events.now() + callTimeout, [this, index] {
        if (m_calls[index].ended)
            return;
        endCall(index, false, false);
        auto entry = m_calls[index].offered.entry;
        handle(entry, m_entries[entry].onCallerGone(index, m_events.now()));
    });
    handle(call.entry, m_entries[call.entry].onCall(index, info, m_events.now()));
}

template <EntryDecisions E>
void ServeWorld<E>::startAttempt(std::size_t entry, const serve::StartAttempt& start)
{
    auto index = std::size_t(start.request);
    auto& call = m_calls[index];
    if (call.counted && call.attempts > 0)
        ++m_retries;
    ++call.attempts;
    auto target = std::stoul(start.target.value());
    sign(index * targetCount + target);
    m_attempts[entry][start.attempt] = { index, false };
    auto id = start.attempt;
    m_events.at(start.deadline, [this, entry, id] {
        endAttempt(entry, id, { Outcome::MayHaveRun, {}, Reason::DeadlineExceeded, false, false, {} });
    });
    if (isCut(entry, target)) {
        ++m_astray;
        return;
    }
    auto delay = latency(entry, target);
    m_events.at(m_events.now() + delay, [this, entry, id, index, target, delay] {
        m_targets[target].arrive(
            m_calls[index].offered.run, [this, entry, id, index, delay](bool good, TimePoint started) {
                auto& served = m_calls[index];
                served.runs += good ? 1 : 0;
                served.started = started;
                constexpr int ok = 200;
                constexpr int unavailable = 503;
                serve::AttemptEnd end { Outcome::Ran, good ? ok : unavailable, {}, false, false, {} };
                m_events.at(m_events.now() + delay, [this, entry, id, end] { endAttempt(entry, id, end); });
            });
    });
}

template <EntryDecisions E>
void ServeWorld<E>::endAttempt(std::size_t entry, serve::AttemptId id, const serve::AttemptEnd& end)
{
    auto node = m_attempts[entry].extract(id);
    if (!node)
        return;
    auto index = node.mapped().call;
    bool good = end.outcome == Outcome::Ran && end.status == 200;
    for (const auto& action : m_entries[entry].onAttemptEnd(id, end, m_events.now())) {
        if (const auto* pass = std::get_if<serve::ForwardResponse>(&action); pass && pass->attempt == id)
            endCall(index, good, false);
        else
            handle(entry, { action });
    }
    wake(entry);
}

template <EntryDecisions E> void ServeWorld<E>::handle(std::size_t entry, const serve::Actions& actions)
{
    for (const auto& action : actions) {
        if (const auto* start = std::get_if<serve::StartAttempt>(&action)) {
            startAttempt(entry, *start);
        } else if (const auto* cancel = std::get_if<serve::CancelAttempt>(&action)) {
            auto id = cancel->attempt;
            m_events.at(m_events.now(), [this, entry, id] {
                endAttempt(entry, id, { Outcome::MayHaveRun, {}, Reason::Cancelled, false, false, {} });
            });
        } else if (const auto* refuse = std::get_if<serve::Refuse>(&action)) {
            sign(refuse->request);
            endCall(refuse->request, false, refuse->failure.outcome == Outcome::NotRun);
        }
    }
    wake(entry);
}

// A call has its end; only the first counts. An end after the deadline is late, whatever it is.
template <EntryDecisions E> void ServeWorld<E>::endCall(std::size_t index, bool good, bool refused)
{
    auto& call = m_calls[index];
    if (call.ended)
        return;
    call.ended = true;
    if (!call.counted)
        return;
    if (m_events.now() >= call.offered.arrival + callTimeout) {
        ++m_late;
    } else if (good) {
        call.useful = true;
        m_callers[call.offered.caller].answered += seconds(call.offered.run);
        auto wait = call.started - call.offered.arrival;
        m_waits.push_back(wait);
        if (!call.offered.isLong)
            m_shortWaits.push_back(wait);
    } else if (refused) {
        ++m_refused;
    } else {
        ++m_failed;
    }
}

// Has the entry VM looked at again when it asked for it.
template <EntryDecisions E> void ServeWorld<E>::wake(std::size_t entry)
{
    auto next = m_entries[entry].nextWake();
    if (!next || (m_wakes[entry] && *m_wakes[entry] <= *next))
        return;
    m_wakes[entry] = next;
    m_events.at(*next, [this, entry, time = *next] {
        if (m_wakes[entry] != time)
            return;
        m_wakes[entry].reset();
        handle(entry, m_entries[entry].onTick(m_events.now()));
    });
}

template <EntryDecisions E> void ServeWorld<E>::exchangeLoads()
{
    constexpr Duration interval = std::chrono::milliseconds(100);
    for (std::size_t from = 0; from < entryCount; ++from)
        for (std::size_t to = 0; to < entryCount; ++to) {
            if (from == to || isCut(from, to))
                continue;
            auto load = m_entries[from].loadFor(m_entryVms[to].process, m_events.now());
            m_events.at(m_events.now() + latency(from, to), [this, from, to, load] {
                handle(to, m_entries[to].onPeerLoad(m_entryVms[from].process, load, m_events.now()));
            });
        }
    m_events.at(m_events.now() + interval, [this] { exchangeLoads(); });
}

template <EntryDecisions E> bool ServeWorld<E>::isCut(std::size_t from, std::size_t to) const
{
    bool across = (zoneOf(from) == zoneOf(0)) != (zoneOf(to) == zoneOf(0));
    return m_case.cut && across && m_events.now() >= m_start + cutAfter;
}

template <EntryDecisions E> Duration ServeWorld<E>::latency(std::size_t from, std::size_t to) const
{
    constexpr Duration inZone = std::chrono::microseconds(200);
    constexpr Duration betweenZones = std::chrono::microseconds(1500);
    return zoneOf(from) == zoneOf(to) ? inZone : betweenZones;
}

template <EntryDecisions E> void ServeWorld<E>::sign(std::uint64_t value)
{
    m_signature = XXH3_64bits_withSeed(&value, sizeof value, m_signature);
}

template <EntryDecisions E> ServeFigures ServeWorld<E>::summarize()
{
    auto quantile = [](std::vector<Duration>& sorted, double share) {
        std::sort(sorted.begin(), sorted.end());
        return sorted.empty() ? Duration {} : sorted[std::size_t(share * double(sorted.size() - 1))];
    };
    constexpr double median = 0.5;
    constexpr double p99 = 0.99;
    auto capacity = capacityInSlots(m_case) * seconds(runLength - warmUp);
    ServeFigures figures;
    CallerWork total;
    for (const auto& [caller, work] : m_callers) {
        total.offered += work.offered;
        total.answered += work.answered;
    }
    auto possible = std::min(capacity, total.offered);
    if (m_case.bursts) {
        possible = 0;
        for (const auto& [second, work] : m_offeredBySecond)
            possible += std::min(work, capacityInSlots(m_case));
    }
    figures.useful = total.answered / possible;
    auto offered = double(std::max<std::uint64_t>(1, m_offered));
    figures.lateShare = double(m_late) / offered;
    figures.refusedShare = double(m_refused) / offered;
    figures.failedShare = double(m_failed) / offered;
    figures.medianWait = quantile(m_waits, median);
    figures.p99Wait = quantile(m_waits, p99);
    figures.p99ShortWait = quantile(m_shortWaits, p99);
    figures.retries = m_retries;
    figures.astray = m_astray;
    for (const auto& target : m_targets)
        if (auto atOnce = target.most(); atOnce > slotsPerTarget)
            figures.beyondLimit
                = std::max(figures.beyondLimit, double(atOnce - slotsPerTarget) / slotsPerTarget);
    double wasted = 0;
    for (const auto& call : m_calls) {
        figures.doubled += !call.offered.idempotent && call.runs > 1 ? 1 : 0;
        if (call.counted)
            wasted += seconds(call.offered.run) * (call.runs - (call.useful ? 1 : 0));
    }
    figures.wasted = wasted / capacity;
    figures.fairness = worstFairPart(capacity);
    figures.signature = m_signature;
    return figures;
}

// Max-min fair parts: callers that ask less than an even part get all, the others share the rest evenly.
template <EntryDecisions E> double ServeWorld<E>::worstFairPart(double capacity) const
{
    std::vector<CallerWork> works;
    works.reserve(m_callers.size());
    for (const auto& [caller, work] : m_callers)
        works.push_back(work);
    std::sort(works.begin(), works.end(),
        [](const CallerWork& a, const CallerWork& b) { return a.offered < b.offered; });
    double worst = 1;
    auto left = works.size();
    for (const auto& work : works) {
        auto part = std::min(work.offered, capacity / double(left--));
        capacity -= part;
        worst = std::min(worst, work.answered / part);
    }
    return worst;
}

} // namespace fulmar::bench

#include "serve/admission.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fulmar::serve {

namespace {

constexpr Duration demandDecayTime = std::chrono::seconds(5);
// The part of the slots that short and long calls each have for sure when both ask for more.
constexpr double maxReservedShare = 0.5;
// Demand below this many slots reserves nothing.
constexpr double minDemand = 0.01;
// Share of the time to a call's deadline that its wait may be expected to take.
constexpr double maxWaitShare = 0.25;

} // namespace

void FairQueue::push(WaitingCall call)
{
    auto& calls = callsOf(call.caller);
    ++m_size;
    m_work += call.expectedRunTime;
    calls.push_back(std::move(call));
}

void FairQueue::pushFront(WaitingCall call)
{
    auto& calls = callsOf(call.caller);
    ++m_size;
    m_work += call.expectedRunTime;
    calls.push_front(std::move(call));
}

const WaitingCall* FairQueue::front() const
{
    return m_turns.empty() ? nullptr : &m_calls.at(m_turns.front()).front();
}

WaitingCall FairQueue::popFront()
{
    assert(!m_turns.empty());
    auto position = m_calls.find(m_turns.front());
    auto call = std::move(position->second.front());
    position->second.pop_front();
    m_turns.splice(m_turns.end(), m_turns, m_turns.begin());
    removed(call.caller, call);
    return call;
}

bool FairQueue::remove(const std::string& caller, RequestId request)
{
    auto position = m_calls.find(caller);
    if (position == m_calls.end())
        return false;
    auto& calls = position->second;
    auto isIt = [request](const WaitingCall& call) { return call.request == request; };
    auto found = std::find_if(calls.begin(), calls.end(), isIt);
    if (found == calls.end())
        return false;
    auto call = std::move(*found);
    calls.erase(found);
    removed(caller, call);
    return true;
}

// In each round of turns every caller has one call served, so that a new call waits for all calls of its own
// caller and for as many of each other.
Duration FairQueue::workAhead(const std::string& caller) const
{
    if (m_size == 0)
        return {};
    auto rounds = sizeOf(caller) + 1;
    std::size_t before = 0;
    for (const auto& [other, calls] : m_calls)
        before += other == caller ? calls.size() : std::min(calls.size(), rounds);
    return m_work * std::int64_t(before) / std::int64_t(m_size);
}

std::pair<std::string, std::size_t> FairQueue::callerWithMostCalls() const
{
    std::pair<std::string, std::size_t> longest;
    for (const auto& caller : m_turns)
        if (auto size = sizeOf(caller); size > longest.second)
            longest = { caller, size };
    return longest;
}

std::size_t FairQueue::sizeOf(const std::string& caller) const
{
    auto position = m_calls.find(caller);
    return position == m_calls.end() ? 0 : position->second.size();
}

WaitingCall FairQueue::popNewest(const std::string& caller)
{
    auto& calls = m_calls.at(caller);
    auto call = std::move(calls.back());
    calls.pop_back();
    removed(caller, call);
    return call;
}

std::deque<WaitingCall>& FairQueue::callsOf(const std::string& caller)
{
    auto [position, isNew] = m_calls.try_emplace(caller);
    if (isNew)
        m_turns.push_back(caller);
    return position->second;
}

void FairQueue::removed(const std::string& caller, const WaitingCall& call)
{
    --m_size;
    m_work -= call.expectedRunTime;
    if (auto position = m_calls.find(caller); position->second.empty()) {
        m_calls.erase(position);
        m_turns.remove(caller);
    }
}

AdmissionResult Admission::offer(WaitingCall call, std::uint32_t slots, std::size_t limit, TimePoint now)
{
    auto& lane = laneOf(call.isLong);
    lane.addDemand(call.expectedRunTime, now);
    auto wait = expectedWait(call, slots, now);
    auto allowed = std::chrono::duration_cast<Duration>(maxWaitShare * (call.deadline - now));
    if (wait > allowed || now + wait + call.highRunTime > call.deadline)
        return { false, {}, wait };
    auto& queue = lane.queue;
    AdmissionResult result { true, {}, wait };
    if (size() >= limit) {
        auto [caller, count] = queue.callerWithMostCalls();
        if (count <= queue.sizeOf(call.caller) + 1)
            return { false, {}, wait };
        result.evicted = queue.popNewest(caller).request;
    }
    queue.push(std::move(call));
    return result;
}

void Admission::requeue(WaitingCall call)
{
    auto& lane = laneOf(call.isLong);
    lane.queue.pushFront(std::move(call));
}

// Short calls go first, up to the limit that leaves long ones their part.
const WaitingCall* Admission::next(std::uint32_t slots, TimePoint now) const
{
    const auto* shortCall = m_short.queue.front();
    const auto* longCall = m_long.queue.front();
    if (longCall && m_long.inFlight >= longLimit(slots, now))
        longCall = nullptr;
    if (!shortCall || !longCall)
        return shortCall ? shortCall : longCall;
    return m_short.inFlight < shortLimit(slots, now) ? shortCall : longCall;
}

void Admission::remove(const WaitingCall& call)
{
    laneOf(call.isLong).queue.remove(call.caller, call.request);
}

// Keeps slots free for short calls: with room for their usual variation as far as long calls do not ask for
// the slots, and otherwise only what short calls hold nearly always.
std::uint32_t Admission::longLimit(std::uint32_t slots, TimePoint now) const
{
    auto shortDemand = m_short.decayedDemand(now);
    if (shortDemand < minDemand || slots < 2)
        return std::max(1U, slots);
    auto longDemand = m_long.decayedDemand(now);
    auto spare = slots - longDemand - std::sqrt(longDemand);
    auto least = shortDemand - std::sqrt(shortDemand);
    auto most = shortDemand + 2 * std::sqrt(shortDemand);
    auto reserve = std::clamp(std::clamp(spare, least, most), 1.0, std::max(1.0, maxReservedShare * slots));
    return slots - std::uint32_t(std::ceil(reserve));
}

// Leaves long calls what they ask for, up to their part.
std::uint32_t Admission::shortLimit(std::uint32_t slots, TimePoint now) const
{
    auto part = std::min(m_long.decayedDemand(now), maxReservedShare * slots);
    return std::max(1U, slots - std::min(slots, std::uint32_t(part)));
}

// How long the call would wait, from the work before it and the slots that work on it.
Duration Admission::expectedWait(const WaitingCall& call, std::uint32_t slots, TimePoint now) const
{
    const auto& lane = call.isLong ? m_long : m_short;
    const auto& other = call.isLong ? m_short : m_long;
    auto left = slots > other.inFlight ? slots - other.inFlight : 0;
    auto lanes = call.isLong ? std::min(left, longLimit(slots, now)) : left;
    return lane.queue.workAhead(call.caller) / std::int64_t(std::max(1U, lanes));
}

void Admission::Lane::addDemand(Duration run, TimePoint now)
{
    demand = decayedDemand(now) + std::chrono::duration<double>(run) / demandDecayTime;
    demandAt = now;
}

double Admission::Lane::decayedDemand(TimePoint now) const
{
    return demand * std::exp(-(std::chrono::duration<double>(now - demandAt) / demandDecayTime));
}

} // namespace fulmar::serve

#include "serve/admission.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fulmar::serve {

namespace {

constexpr Duration demandDecayTime = std::chrono::seconds(5);
// At most this share of the slots is reserved for the short calls, and at most this share for the long calls.
constexpr double maxReservedShare = 0.5;
// Demand below this many slots reserves nothing.
constexpr double minDemand = 0.01;
// A call is refused if its expected wait exceeds this share of the time to its deadline.
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
    return m_serviceOrder.empty() ? nullptr : &m_calls.at(m_serviceOrder.front()).front();
}

WaitingCall FairQueue::popFront()
{
    assert(!m_serviceOrder.empty());
    auto position = m_calls.find(m_serviceOrder.front());
    auto call = std::move(position->second.front());
    position->second.pop_front();
    m_serviceOrder.splice(m_serviceOrder.end(), m_serviceOrder, m_serviceOrder.begin());
    updateAfterRemoval(call.caller, call);
    return call;
}

bool FairQueue::remove(const std::string& caller, RequestId request)
{
    auto position = m_calls.find(caller);
    if (position == m_calls.end())
        return false;
    auto& calls = position->second;
    auto matches = [request](const WaitingCall& call) { return call.request == request; };
    auto found = std::find_if(calls.begin(), calls.end(), matches);
    if (found == calls.end())
        return false;
    auto call = std::move(*found);
    calls.erase(found);
    updateAfterRemoval(caller, call);
    return true;
}

// Each round serves one call per caller. A new call therefore waits for all queued calls of its own caller
// and, of each other caller, for at most one call more than that.
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
    for (const auto& caller : m_serviceOrder)
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
    updateAfterRemoval(caller, call);
    return call;
}

std::deque<WaitingCall>& FairQueue::callsOf(const std::string& caller)
{
    auto [position, isNew] = m_calls.try_emplace(caller);
    if (isNew)
        m_serviceOrder.push_back(caller);
    return position->second;
}

void FairQueue::updateAfterRemoval(const std::string& caller, const WaitingCall& call)
{
    --m_size;
    m_work -= call.expectedRunTime;
    if (auto position = m_calls.find(caller); position->second.empty()) {
        m_calls.erase(position);
        m_serviceOrder.remove(caller);
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

// Prefers short calls up to shortPriorityLimit(), so that long calls are not starved.
const WaitingCall* Admission::next(std::uint32_t slots, TimePoint now) const
{
    const auto* shortCall = m_short.queue.front();
    const auto* longCall = m_long.queue.front();
    if (longCall && m_long.inFlight >= longLimit(slots, now))
        longCall = nullptr;
    if (!shortCall || !longCall)
        return shortCall ? shortCall : longCall;
    return m_short.inFlight < shortPriorityLimit(slots, now) ? shortCall : longCall;
}

void Admission::remove(const WaitingCall& call)
{
    laneOf(call.isLong).queue.remove(call.caller, call.request);
}

// Limits long calls to keep slots free for short ones. The reserve is the number of slots that long calls are
// not expected to need (beyond their demand plus one standard deviation), but between the short calls' demand
// minus one and plus two standard deviations, at least one slot, and at most maxReservedShare of the slots.
// The number of busy slots is taken as Poisson distributed: its standard deviation is the square root of the
// demand.
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

// Leaves long calls the slots of their demand, up to maxReservedShare.
std::uint32_t Admission::shortPriorityLimit(std::uint32_t slots, TimePoint now) const
{
    auto part = std::min(m_long.decayedDemand(now), maxReservedShare * slots);
    return std::max(1U, slots - std::min(slots, std::uint32_t(part)));
}

// Expected queueing delay: the work ahead of the call divided by the slots that its lane may use.
Duration Admission::expectedWait(const WaitingCall& call, std::uint32_t slots, TimePoint now) const
{
    const auto& lane = call.isLong ? m_long : m_short;
    const auto& other = call.isLong ? m_short : m_long;
    auto remaining = slots > other.inFlight ? slots - other.inFlight : 0;
    auto usable = call.isLong ? std::min(remaining, longLimit(slots, now)) : remaining;
    return lane.queue.workAhead(call.caller) / std::int64_t(std::max(1U, usable));
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

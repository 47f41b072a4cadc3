#include "bench/serve_model.h"

#include <algorithm>

namespace fulmar::bench {

namespace {

constexpr std::uint64_t seed = 20'261;
constexpr double shortRunSeconds = 0.05;
constexpr double longRunSeconds = 1.0;
constexpr double longShare = 0.1;
constexpr double idempotentShare = 0.5;
constexpr std::size_t callerCount = 10;
// One caller asks as much as all others together.
constexpr double heavyCallerShare = 0.5;
constexpr Duration burstPeriod = std::chrono::seconds(10);
constexpr Duration burstLength = std::chrono::seconds(4);
constexpr double lullShare = 0.01;
constexpr Duration failingAnswer = std::chrono::milliseconds(1);
constexpr double slowFactor = 10;

double meanRunSeconds() { return longShare * longRunSeconds + (1 - longShare) * shortRunSeconds; }

Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

void EventQueue::at(TimePoint time, std::function<void()> run)
{
    m_events.push({ std::max(time, m_now), ++m_lastSerial, std::move(run) });
}

void EventQueue::runUntil(TimePoint end)
{
    while (!m_events.empty() && m_events.top().time <= end) {
        auto event = m_events.top();
        m_events.pop();
        m_now = event.time;
        event.run();
    }
    m_now = end;
}

ZoneId zoneOf(std::size_t index) { return ZoneId(std::string(1, char('a' + index % zoneCount))); }

serve::ServiceEntry benchService()
{
    serve::ServiceEntry service;
    service.config.service = ServiceId("plans");
    service.config.pool = PoolId("plans");
    service.config.slotsPerTarget = slotsPerTarget;
    for (std::size_t i = 0; i < targetCount; ++i)
        service.targets.push_back(
            { VmId(std::to_string(i)), "127.0.0.1:1", zoneOf(i), RackId(std::to_string(i / 4)), true, 1 });
    return service;
}

double capacityInSlots(const ServeCase& which)
{
    auto sound = double(targetCount - which.failing - which.slow) + which.slow / slowFactor;
    return sound * slotsPerTarget;
}

std::vector<OfferedCall> drawCalls(const ServeCase& which, TimePoint start)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> uniform;
    std::exponential_distribution<double> unitGap;
    auto rate = [&which](Duration sinceStart) {
        bool lull = which.bursts && sinceStart % burstPeriod >= burstLength;
        return (lull ? lullShare : 1.0) * which.load * capacityInSlots(which) / meanRunSeconds();
    };
    std::exponential_distribution<double> shortRun(1 / shortRunSeconds);
    std::uniform_real_distribution<double> longRun(longRunSeconds / 2, longRunSeconds * 3 / 2);
    std::vector<OfferedCall> calls;
    for (auto time = start; time < start + runLength;
         time += toDuration(unitGap(random) / rate(time - start))) {
        OfferedCall call;
        call.arrival = time;
        auto zone = uniform(random) < which.firstZoneShare ? 0 : 1 + random() % (zoneCount - 1);
        call.entry = zone + zoneCount * (random() % (entryCount / zoneCount));
        auto caller = uniform(random) < heavyCallerShare ? 0 : 1 + random() % (callerCount - 1);
        call.caller = "caller" + std::to_string(caller);
        call.idempotent = uniform(random) < idempotentShare;
        call.isLong = uniform(random) < longShare;
        call.run = toDuration(call.isLong ? longRun(random) : shortRun(random));
        calls.push_back(std::move(call));
    }
    return calls;
}

void ModelTarget::arrive(Duration run, Done done)
{
    m_waiting.push_back({ run, std::move(done) });
    m_most = std::max(m_most, m_running + std::uint32_t(m_waiting.size()));
    startNext();
}

void ModelTarget::startNext()
{
    if (m_waiting.empty() || m_running >= slotsPerTarget)
        return;
    ++m_running;
    auto waiting = std::move(m_waiting.front());
    m_waiting.pop_front();
    auto run = m_failing ? failingAnswer
                         : std::chrono::duration_cast<Duration>(waiting.run * (m_slow ? slowFactor : 1.0));
    auto started = m_events.now();
    m_events.at(started + run, [this, started, done = std::move(waiting.done)] {
        --m_running;
        startNext();
        done(!m_failing, started);
    });
}

} // namespace fulmar::bench

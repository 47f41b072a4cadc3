#include "jobs/burst_detector.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fulmar::jobs {

namespace {

// The rate is measured over this time. The smallest pools have some two jobs a second of a shard in a burst.
constexpr std::chrono::milliseconds rateWindow { 2'000 };
// The begin of a burst is looked for in this time; it takes the smallest pools some 4 s to confirm one.
constexpr std::chrono::milliseconds historyWindow { 5'000 };
// Updates further apart have missed the rate in between.
constexpr std::chrono::milliseconds maxUpdatePause { 1'000 };
// A burst begins with this many arrivals in the window, at this share of the peak rate or more.
constexpr std::size_t minArrivalsForBegin = 4;
constexpr double beginShare = 0.25;
// It ends when the rate falls to this share of its mean.
constexpr double endShare = 0.2;
// The factor between a rate and that before it which shows a burst over a steady load.
constexpr double jumpFactor = 4;
// A burst counts from this many arrivals on, at several times the rate outside of bursts, and if random
// arrivals at that rate would be as many only with a probability below 1/10,000.
constexpr double minArrivalsForBurst = 8;
// The begin is known better after some time.
constexpr std::chrono::milliseconds minTimeToConfirm { 750 };
constexpr double minRateFactor = 3;
constexpr double deviationsForBurst = 4;
// What lasts longer is a steady load.
constexpr std::chrono::seconds maxBurstLength { 20 };
constexpr std::chrono::seconds peakHalfLife { 60 };
// Over how much time the rate outside of bursts is averaged.
constexpr double quietMemorySeconds = 120;
// Arrivals closer together than this are no higher rate, but chance.
constexpr double minSegmentSeconds = 0.5;
// Used while nothing arrives outside of bursts.
constexpr double minQuietRate = 0.05;

double seconds(Duration time) { return std::chrono::duration<double>(time).count(); }

} // namespace

BurstDetector::BurstDetector(TimePoint since, TimePoint now)
{
    restart(since);
    m_isActive = now - since < rateWindow;
    m_updatedAt = now;
    m_quietSeconds = seconds(now - since);
}

void BurstDetector::recordArrival(double work, TimePoint now)
{
    m_history.push_back({ now, work });
    if (m_isActive) {
        ++m_arrivals;
        m_work += work;
    }
}

void BurstDetector::update(TimePoint now)
{
    if (now - m_updatedAt > maxUpdatePause) {
        restart(now);
        return;
    }
    auto passed = now - std::exchange(m_updatedAt, now);
    forgetArrivals(now - historyWindow);
    m_inWindow = arrivalsSince(now - rateWindow);
    m_peakRate *= std::exp2(-seconds(passed) / seconds(peakHalfLife));
    if (m_isActive) {
        updateActive(now);
        return;
    }
    addToQuiet(double(arrivalsSince(now - passed)), seconds(passed));
    if (m_inWindow >= minArrivalsForBegin && windowRate() >= m_peakRate * beginShare)
        beginBurst(now);
}

void BurstDetector::restart(TimePoint now)
{
    m_history.clear();
    m_updatedAt = m_since = now;
    m_isActive = true;
    m_begin.reset();
    m_isConfirmed = false;
    m_arrivals = m_work = 0;
}

void BurstDetector::beginBurst(TimePoint now)
{
    m_isActive = true;
    m_isConfirmed = false;
    setBegin(changePoint(now, now - rateWindow, 2));
}

void BurstDetector::setBegin(TimePoint begin)
{
    m_since = begin;
    m_begin = begin;
    m_arrivals = m_work = 0;
    for (const auto& each : m_history) {
        if (each.at < m_since)
            continue;
        ++m_arrivals;
        m_work += each.work;
    }
}

void BurstDetector::updateActive(TimePoint now)
{
    m_peakRate = std::max(m_peakRate, windowRate());
    auto elapsed = now - m_since;
    if (m_begin && !m_isConfirmed && elapsed >= minTimeToConfirm && isSignificant(now)) {
        m_isConfirmed = true;
        setBegin(changePoint(now, now - historyWindow, minArrivalsForBegin));
        // The first arrival comes some time after the begin of a burst, in the mean as long as between two.
        m_confirmed = *m_begin - (now - *m_begin) / std::int64_t(m_arrivals);
    }
    if (m_begin && elapsed > maxBurstLength)
        m_begin.reset();
    if (elapsed < rateWindow)
        return;
    if (windowRate() <= endShare * m_arrivals / seconds(elapsed)) {
        endActivity(now);
        return;
    }
    auto before = m_arrivals - double(m_inWindow);
    auto secondsBefore = seconds(elapsed - rateWindow);
    if (m_isConfirmed || double(m_inWindow) < minArrivalsForBurst || secondsBefore < seconds(rateWindow) / 2
        || windowRate() < jumpFactor * std::max(before, 1.0) / secondsBefore)
        return;
    addToQuiet(before, secondsBefore);
    beginBurst(now);
}

void BurstDetector::endActivity(TimePoint now)
{
    m_isActive = false;
    // The few arrivals that the window still holds came after its end.
    auto end = now - rateWindow;
    auto length = std::max(seconds(end - m_since), minSegmentSeconds);
    if (m_isConfirmed && m_begin)
        m_ended = EndedBurst { *m_begin, end - *m_begin, m_work / (length * 1'000), m_arrivals / length };
    else if (m_begin)
        addToQuiet(m_arrivals, seconds(now - m_since));
    m_begin.reset();
    forgetArrivals(end);
}

void BurstDetector::addToQuiet(double arrivals, double seconds)
{
    m_quietArrivals += arrivals;
    m_quietSeconds += seconds;
    if (m_quietSeconds > quietMemorySeconds) {
        m_quietArrivals /= 2;
        m_quietSeconds /= 2;
    }
}

// The arrival that most likely is the first of a burst with `minArrivals` or more: those before it come at
// the rate outside of bursts, the others at a constant higher one (maximum likelihood of two Poisson rates).
// An arrival just before a burst does not count to it.
TimePoint BurstDetector::changePoint(TimePoint now, TimePoint from, std::size_t minArrivals) const
{
    std::optional<TimePoint> best;
    double bestLikelihood = 0;
    auto quiet = std::max(quietRate(), minQuietRate);
    auto first = m_history.size() - arrivalsSince(from);
    for (auto i = first; i + minArrivals <= m_history.size(); ++i) {
        auto at = m_history[i].at;
        auto count = double(m_history.size() - i);
        auto likelihood = double(i - first) * std::log(quiet) - quiet * seconds(at - from)
            + count * (std::log(count / std::max(seconds(now - at), minSegmentSeconds)) - 1);
        if (best && likelihood <= bestLikelihood)
            continue;
        bestLikelihood = likelihood;
        best = at;
    }
    return best.value_or(m_since);
}

void BurstDetector::forgetArrivals(TimePoint until)
{
    while (!m_history.empty() && m_history.front().at <= until)
        m_history.pop_front();
}

std::size_t BurstDetector::arrivalsSince(TimePoint moment) const
{
    auto first = std::upper_bound(m_history.begin(), m_history.end(), moment,
        [](TimePoint at, const Arrival& each) { return at < each.at; });
    return std::size_t(m_history.end() - first);
}

double BurstDetector::windowRate() const { return double(m_inWindow) / seconds(rateWindow); }

double BurstDetector::quietRate() const { return m_quietArrivals / std::max(m_quietSeconds, 1.0); }

bool BurstDetector::isSignificant(TimePoint now) const
{
    auto time = seconds(now - m_since);
    auto expected = quietRate() * time;
    return m_arrivals >= std::max(minArrivalsForBurst, expected * minRateFactor)
        && m_arrivals >= expected + deviationsForBurst * std::sqrt(expected);
}

bool BurstDetector::mayHaveUnseenBursts(TimePoint now) const
{
    if (m_isActive)
        return m_arrivals > 0 && now - m_since <= maxBurstLength;
    return m_quietArrivals > 0;
}

} // namespace fulmar::jobs

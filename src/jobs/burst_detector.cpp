#include "jobs/burst_detector.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fulmar::jobs {

namespace {

// The rate is measured over this time. The smallest pools have some two jobs a second of a shard in a burst.
constexpr std::chrono::milliseconds rateWindow { 2'000 };
// updates further apart have missed the rate in between.
constexpr std::chrono::milliseconds maxUpdatePause { 1'000 };
// A burst begins with this many arrivals in the window, at this share of the peak rate or more.
constexpr std::size_t minArrivalsForBegin = 4;
constexpr double beginShare = 0.4;
// It ends when the rate falls to this share of its mean.
constexpr double endShare = 0.2;
// The factor between a rate and that before it which shows a burst over a steady load.
constexpr double jumpFactor = 4;
// A burst counts from this many arrivals on, at several times the rate outside of bursts, and if random
// arrivals at that rate would be as many only with a probability below 1/10,000.
constexpr double minArrivalsForBurst = 8;
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
    m_window.push_back({ now, work });
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
    std::size_t newArrivals = 0;
    for (auto each = m_window.rbegin(); each != m_window.rend() && each->at > now - passed; ++each)
        ++newArrivals;
    while (!m_window.empty() && m_window.front().at <= now - rateWindow)
        m_window.pop_front();
    m_peakRate *= std::exp2(-seconds(passed) / seconds(peakHalfLife));
    if (m_isActive) {
        updateActive(now);
        return;
    }
    addToQuiet(double(newArrivals), seconds(passed));
    if (m_window.size() >= minArrivalsForBegin && windowRate() >= m_peakRate * beginShare)
        beginBurst(now);
}

void BurstDetector::restart(TimePoint now)
{
    m_window.clear();
    m_updatedAt = m_since = now;
    m_isActive = true;
    m_begin.reset();
    m_isConfirmed = false;
    m_arrivals = m_work = 0;
}

void BurstDetector::beginBurst(TimePoint now)
{
    m_isActive = true;
    m_since = changePoint(now);
    m_begin = m_since;
    m_isConfirmed = false;
    m_arrivals = m_work = 0;
    for (const auto& each : m_window) {
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
    if (m_begin && !m_isConfirmed && isSignificant(now)) {
        m_isConfirmed = true;
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
    auto before = m_arrivals - double(m_window.size());
    auto secondsBefore = seconds(elapsed - rateWindow);
    if (m_isConfirmed || double(m_window.size()) < minArrivalsForBurst
        || secondsBefore < seconds(rateWindow) / 2
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

// The arrival of the window that most likely is the first of a burst: those before it come at the rate
// outside of bursts, the others at a constant higher one (maximum likelihood of two Poisson rates). A single
// arrival just before a burst does not count to it.
TimePoint BurstDetector::changePoint(TimePoint now) const
{
    auto best = m_window.front().at;
    auto bestLikelihood = -std::numeric_limits<double>::infinity();
    auto quiet = std::max(quietRate(), minQuietRate);
    for (std::size_t i = 0; i + minArrivalsForBegin <= m_window.size(); ++i) {
        auto before = seconds(m_window[i].at - (now - rateWindow));
        auto after = std::max(seconds(now - m_window[i].at), minSegmentSeconds);
        auto count = double(m_window.size() - i);
        auto likelihood
            = double(i) * std::log(quiet) - quiet * before + count * (std::log(count / after) - 1);
        if (likelihood <= bestLikelihood)
            continue;
        bestLikelihood = likelihood;
        best = m_window[i].at;
    }
    return best;
}

double BurstDetector::windowRate() const { return double(m_window.size()) / seconds(rateWindow); }

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

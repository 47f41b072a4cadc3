#include "jobs/demand.h"

#include <algorithm>
#include <cmath>

namespace fulmar::jobs {

namespace {

// How long arrivals are kept. A job submitted again meanwhile is not counted twice. Longer than any job's
// critical path, so that demandedCores() finds all jobs that would still run.
constexpr Millis arrivalRetention { 8'000 };
// The rate is measured over at least this many arrivals. With fewer, single jobs would look like a burst;
// with more, a burst would be detected late.
constexpr std::size_t arrivalsForRate = 4;
// The rate is measured over at least half of the mean critical path; this is the upper bound of that minimum.
constexpr Millis maxMinRateWindow { 2'000 };
// Weight of the newest job in the means.
constexpr double newestWeight = 0.05;

// The newest window is compared with the older one before it to detect growth. The rate of a burst rises for
// two to three seconds.
constexpr Millis newWindow { 500 };
constexpr Millis oldWindow { 1'000 };
// Time until a VM ordered now takes work: its move and its first answer.
constexpr Millis vmLeadTime { 2'000 };
// Growth is not inferred from fewer arrivals in the newest window, nor from a difference that is likely by
// chance: random arrivals exceed 1.5 standard deviations in one of fifteen windows.
constexpr double minArrivalsForGrowth = 8;
constexpr double deviationsForGrowth = 1.5;
// Limits the ratio of the forecast rate to the current one: at the start of a burst the rate rises from
// almost zero, which exaggerates its growth.
constexpr double maxForecastRatio = 3;

// The remembered peak decays to half in this time; observed bursts return within it.
constexpr std::chrono::seconds peakHalfLife { 40 };
// Duration of a VM move. The shorter the jobs' objective is in comparison, the more VMs are kept.
constexpr double vmMoveTimeMs = 1'500;
// Bounds of the share of the remembered peak that a pool keeps.
constexpr double minPeakShare = 0.2;
constexpr double maxPeakShare = 0.6;

} // namespace

std::uint32_t MinPoolSize::update(
    std::uint32_t needed, std::uint32_t initial, Millis meanObjective, TimePoint now)
{
    if (m_updatedAt == TimePoint {})
        m_peak = initial;
    else
        m_peak *= std::exp2(
            -std::chrono::duration<double>(now - m_updatedAt) / std::chrono::duration<double>(peakHalfLife));
    m_updatedAt = now;
    m_peak = std::max(m_peak, double(std::min(needed, initial * 2)));
    auto objective = double(std::max<std::int64_t>(1, meanObjective.count()));
    auto share = meanObjective.count() == 0
        ? minPeakShare
        : std::clamp(vmMoveTimeMs / objective, minPeakShare, maxPeakShare);
    return std::uint32_t(std::ceil(m_peak * share));
}

bool DemandMeter::recordArrival(
    const JobId& job, double work, Millis criticalPath, Millis objective, TimePoint now)
{
    expireArrivals(now);
    if (!m_recentJobs.insert(job).second)
        return false;
    m_arrivals.push_back({ job, work, std::max(criticalPath, Millis(1)), now });
    auto updateMean = [](double& mean, double newest) {
        mean = mean == 0 ? newest : mean + (newest - mean) * newestWeight;
    };
    updateMean(m_meanWork, work);
    updateMean(m_meanCriticalPath, double(criticalPath.count()));
    updateMean(m_meanObjective, double(objective.count()));
    return true;
}

double DemandMeter::demandedCores(TimePoint now, bool isBurstKnown)
{
    expireArrivals(now);
    double running = 0;
    for (const auto& each : m_arrivals)
        if (each.at + each.criticalPath > now)
            running += each.work / double(each.criticalPath.count());
    if (m_arrivals.size() < arrivalsForRate)
        return running;
    auto since = std::chrono::duration_cast<Millis>(now - m_arrivals[m_arrivals.size() - arrivalsForRate].at);
    // Long jobs are rare and occupy capacity for longer: single ones must not look like a burst.
    auto minWindow = Millis(std::int64_t(std::min(m_meanCriticalPath / 2, double(maxMinRateWindow.count()))));
    auto window = std::max({ since, minWindow, Millis(1) });
    auto arrivals = std::count_if(
        m_arrivals.begin(), m_arrivals.end(), [&](const Arrival& each) { return each.at >= now - window; });
    auto rate = double(arrivals) / double(window.count());
    if (!isBurstKnown)
        rate = std::max(rate, forecastRate(now) / 1'000);
    return std::max(running, rate * m_meanWork);
}

std::size_t DemandMeter::countArrivals(TimePoint from, TimePoint until) const
{
    auto at = [](const Arrival& each, TimePoint moment) { return each.at < moment; };
    return std::size_t(std::lower_bound(m_arrivals.begin(), m_arrivals.end(), until, at)
        - std::lower_bound(m_arrivals.begin(), m_arrivals.end(), from, at));
}

double DemandMeter::forecastRate(TimePoint now) const
{
    constexpr auto seconds = [](Millis time) { return std::chrono::duration<double>(time).count(); };
    auto newest = double(countArrivals(now - newWindow, now + Duration(1)));
    auto older = double(countArrivals(now - newWindow - oldWindow, now - newWindow));
    auto rate = newest / seconds(newWindow);
    auto growth = rate - older / seconds(oldWindow);
    auto deviation
        = std::hypot(std::sqrt(newest) / seconds(newWindow), std::sqrt(older) / seconds(oldWindow));
    if (newest < minArrivalsForGrowth || growth < deviation * deviationsForGrowth)
        return 0;
    auto slope = growth / seconds((newWindow + oldWindow) / 2);
    return std::min(rate + slope * seconds(vmLeadTime), rate * maxForecastRatio);
}

void DemandMeter::expireArrivals(TimePoint now)
{
    while (!m_arrivals.empty() && m_arrivals.front().at <= now - arrivalRetention) {
        m_recentJobs.erase(m_arrivals.front().job);
        m_arrivals.pop_front();
    }
}

} // namespace fulmar::jobs

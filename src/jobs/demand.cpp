#include "jobs/demand.h"

#include <algorithm>

namespace fulmar::jobs {

namespace {

// A rejected job that is asked for again within this time is not new; longer than any job's chain.
constexpr Millis memory { 8'000 };
// Arrivals that make a rate: fewer would take single jobs for a turn, more would see a turn late.
constexpr std::size_t arrivalsForRate = 4;
// Weight of the newest job in the mean work.
constexpr double newestWeight = 0.05;

} // namespace

void DemandMeter::note(const JobId& job, double work, Millis chain, TimePoint now)
{
    forget(now);
    if (!m_known.insert(job).second)
        return;
    m_asked.push_back({ job, work, std::max(chain, Millis(1)), now });
    m_meanWork = m_meanWork == 0 ? work : m_meanWork + (work - m_meanWork) * newestWeight;
}

double DemandMeter::cores(TimePoint now)
{
    forget(now);
    double running = 0;
    for (const auto& each : m_asked)
        if (each.at + each.chain > now)
            running += each.work / double(each.chain.count());
    if (m_asked.size() < arrivalsForRate)
        return running;
    auto since = std::chrono::duration_cast<Millis>(now - m_asked[m_asked.size() - arrivalsForRate].at);
    auto rate = double(arrivalsForRate) / double(std::max(since, Millis(1)).count());
    return std::max(running, rate * m_meanWork);
}

void DemandMeter::forget(TimePoint now)
{
    while (!m_asked.empty() && m_asked.front().at <= now - memory) {
        m_known.erase(m_asked.front().job);
        m_asked.pop_front();
    }
}

} // namespace fulmar::jobs

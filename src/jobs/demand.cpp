#include "jobs/demand.h"

namespace fulmar::jobs {

namespace {

// The rate is that of the last second; a rejected job that is asked for again within the memory is not new.
constexpr Millis window { 1'000 };
constexpr Millis memory { 5'000 };

} // namespace

void DemandMeter::note(const JobId& job, double coreMillis, TimePoint now)
{
    forget(now);
    if (m_known.insert(job).second)
        m_asked.push_back({ job, coreMillis, now });
}

double DemandMeter::cores(TimePoint now)
{
    forget(now);
    double work = 0;
    for (auto each = m_asked.rbegin(); each != m_asked.rend() && each->at > now - window; ++each)
        work += each->work;
    return work / double(window.count());
}

void DemandMeter::forget(TimePoint now)
{
    while (!m_asked.empty() && m_asked.front().at <= now - memory) {
        m_known.erase(m_asked.front().job);
        m_asked.pop_front();
    }
}

} // namespace fulmar::jobs

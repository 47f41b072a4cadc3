#include "serve/run_times.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <limits>

namespace fulmar::serve {

namespace {

constexpr std::size_t maxClasses = 512;
constexpr std::size_t segmentsInShape = 2;
constexpr Duration initialEstimate = std::chrono::milliseconds(5);
constexpr double meanWeight = 0.05;
// For the usual distributions at least four fifths of the calls take less than the mean plus this many mean
// deviations.
constexpr double highDeviations = 1.5;
// A class is long if its mean run time exceeds the floor and this multiple of the fastest class in regular
// use.
constexpr double longFactor = 8;
constexpr double longFloorMicroseconds = 100'000;
// Share of a service's calls from which a class counts as being in regular use.
constexpr double minCallShare = 0.05;
constexpr double recentCallsDecay = 0.9;
constexpr std::uint32_t callsPerClassification = 64;

// "/sheets/4711/lines?x=1" becomes "/sheets/#".
std::string shapeOf(const std::string& path)
{
    std::string shape;
    std::size_t segments = 0;
    for (char c : path) {
        if (c == '?' || (c == '/' && ++segments > segmentsInShape))
            break;
        bool digit = std::isdigit(static_cast<unsigned char>(c)) != 0;
        if (digit && !shape.empty() && shape.back() == '#')
            continue;
        shape.push_back(digit ? '#' : c);
    }
    return shape;
}

} // namespace

ClassId RunTimes::classOf(const ServiceId& service, const std::string& method, const std::string& path)
{
    auto name = service.value() + ' ' + method + ' ' + shapeOf(path);
    if (auto position = m_ids.find(name); position != m_ids.end())
        return position->second;
    if (m_classes.size() < maxClasses)
        return add(name, service);
    const auto& shared = service.value();
    auto position = m_ids.find(shared);
    return position == m_ids.end() ? add(shared, service) : position->second;
}

ClassId RunTimes::add(const std::string& name, const ServiceId& service)
{
    auto id = ClassId(m_classes.size());
    Class fresh;
    fresh.service = service;
    m_classes.push_back(std::move(fresh));
    m_ids.emplace(name, id);
    return id;
}

void RunTimes::record(ClassId id, Duration run)
{
    auto& callClass = m_classes[id];
    ++callClass.samples;
    ++callClass.recentCalls;
    // The arithmetic mean of the first samples, then an exponential moving average.
    auto weight = std::max(meanWeight, 1.0 / callClass.samples);
    auto distance = double(run.count()) - callClass.meanMicroseconds;
    callClass.meanMicroseconds += weight * distance;
    callClass.deviationMicroseconds += weight * (std::abs(distance) - callClass.deviationMicroseconds);
    if (++m_callsSinceClassified >= callsPerClassification) {
        m_callsSinceClassified = 0;
        classifyLongCalls(callClass.service);
    }
}

Duration RunTimes::expected(ClassId id) const
{
    const auto& callClass = m_classes[id];
    return callClass.samples == 0 ? initialEstimate : Duration(std::int64_t(callClass.meanMicroseconds));
}

Duration RunTimes::highEstimate(ClassId id) const
{
    const auto& callClass = m_classes[id];
    if (callClass.samples == 0)
        return initialEstimate;
    return Duration(
        std::int64_t(callClass.meanMicroseconds + highDeviations * callClass.deviationMicroseconds));
}

bool RunTimes::isLong(ClassId id) const { return m_classes[id].isLong; }

// Decides which classes of the service are long.
void RunTimes::classifyLongCalls(const ServiceId& service)
{
    double total = 0;
    for (const auto& callClass : m_classes)
        if (callClass.service == service)
            total += callClass.recentCalls;
    auto fastest = std::numeric_limits<double>::max();
    for (const auto& callClass : m_classes)
        if (callClass.service == service && callClass.recentCalls >= minCallShare * total)
            fastest = std::min(fastest, callClass.meanMicroseconds);
    auto bound = std::max(longFloorMicroseconds, longFactor * fastest);
    for (auto& callClass : m_classes) {
        if (callClass.service != service)
            continue;
        callClass.isLong = callClass.samples > 0 && callClass.meanMicroseconds > bound;
        callClass.recentCalls *= recentCallsDecay;
    }
}

} // namespace fulmar::serve

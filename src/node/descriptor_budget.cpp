#include "node/descriptor_budget.h"

#include <algorithm>

namespace fulmar::node {

namespace {

// Descriptors that the platform reserves for files.
constexpr std::int64_t reservedForFiles = 200;
// Listening sockets, wake-ups of the event loops, and connections of other processes; these have at least an
// eighth of all connections.
constexpr std::size_t minForPeers = 24;
constexpr std::size_t peersDivisor = 8;
constexpr std::size_t minPerPart = 2;
// The load balancer checks once a second, and few scrapers read the metrics.
constexpr std::size_t maxForHealthChecks = 16;
constexpr std::size_t healthChecksDivisor = 16;

} // namespace

DescriptorBudget descriptorBudget(std::int64_t maxDescriptors)
{
    auto connections = std::size_t(std::max<std::int64_t>(0, maxDescriptors - reservedForFiles));
    auto peers = std::max(minForPeers, connections / peersDivisor);
    auto rest = connections > peers ? connections - peers : 0;
    auto healthChecks = std::clamp(rest / healthChecksDivisor, minPerPart, maxForHealthChecks);
    rest -= std::min(rest, 2 * healthChecks);
    DescriptorBudget budget;
    budget.readiness = budget.metrics = healthChecks;
    budget.callers = std::max(minPerPart, rest / 2);
    budget.outgoing = std::max(minPerPart, rest - rest / 2);
    return budget;
}

} // namespace fulmar::node

#pragma once

#include <cstdint>

namespace fulmar::serve {

// Totals since the dispatcher's start and current gauges, for metrics.
struct DispatcherCounts {
    std::uint64_t calls { 0 };
    // Callers that got the response of their own attempt.
    std::uint64_t answered { 0 };
    // Callers that got the stored response of another request with the same key; not included in `answered`.
    std::uint64_t answeredFromStored { 0 };
    std::uint64_t refusedNotRun { 0 };
    std::uint64_t refusedMayHaveRun { 0 };
    // The request ran earlier; its response is no longer stored.
    std::uint64_t refusedRan { 0 };
    std::uint64_t attempts { 0 };
    std::uint64_t retries { 0 };
    std::uint64_t cancelled { 0 };
    std::uint64_t claims { 0 };
    std::uint64_t questionsToOwners { 0 };

    std::uint64_t waiting { 0 };
    std::uint64_t inFlight { 0 };
    std::uint64_t inFlightOnBorrowedSlots { 0 };
    std::uint64_t ejectedTargets { 0 };
    std::uint64_t leavingTargets { 0 };
    std::uint64_t keys { 0 };
};

} // namespace fulmar::serve

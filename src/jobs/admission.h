#pragma once

#include "jobs/job.h"

namespace fulmar::jobs {

// A pool's load at admission.
struct PoolLoad {
    // Millicores of usable runners, and the free part of them.
    std::int64_t usableCpu { 0 };
    std::int64_t freeCpu { 0 };
    // Millicores that can join the pool within the time of a VM move.
    std::int64_t arrivingCpu { 0 };
    // Core-milliseconds of accepted work of the same or a more urgent priority: waiting for capacity, not
    // startable yet, and running.
    double waiting { 0 };
    double blocked { 0 };
    double running { 0 };
    // Time until the quota of the job's team lets it start; 0 if it may start at once.
    Millis quotaWait { 0 };
};

enum class Admission : std::uint8_t {
    Accept,
    // The job would end too late to be of use because of the pool's other work, or the work of its team.
    RejectOverload,
    RejectNoRunner,
};

struct AdmissionDecision {
    Admission verdict { Admission::Accept };
    // If rejected: when the pool is expected to have capacity for the job.
    Millis retryAfter { 0 };
    // Expected time from submission to the job's end if it is accepted.
    Millis expectedDuration { 0 };
};

// A job that ends later than this multiple of its objective is of no use to its caller.
inline constexpr int maxUsefulObjectives = 3;

// Accepts a job if it is expected to end while that is of use to its caller. In a burst of some seconds, a
// queue submits more work than its pool can process. A job that is going to miss its objective waits behind
// those that can meet theirs, so it delays none of them, while a rejected caller comes back after a second or
// more and is late for certain. Work beyond what the pool can process in useful time is rejected at once.
[[nodiscard]] AdmissionDecision decideAdmission(const Job&, const PoolLoad&);

[[nodiscard]] std::string_view toString(Admission);

} // namespace fulmar::jobs

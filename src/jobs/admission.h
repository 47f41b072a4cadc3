#pragma once

#include "jobs/job.h"

namespace fulmar::jobs {

// A pool's load as admission sees it.
struct PoolLoad {
    // Cores of usable runners, thousandths; and of those the ones not taken.
    std::int64_t usableCpu { 0 };
    std::int64_t freeCpu { 0 };
    // Cores that the pool can get within the time of a move.
    std::int64_t arrivingCpu { 0 };
    // Core-milliseconds of accepted work of jobs that go no later than the asked one: that waits for room,
    // that waits for earlier steps, and that is running.
    double waiting { 0 };
    double blocked { 0 };
    double running { 0 };
};

enum class Admission : std::uint8_t {
    Accept,
    // It would end after its objective; the pool has other work until then.
    RejectOverload,
    // No runner of the pool is usable.
    RejectNoRunner,
};

struct AdmissionDecision {
    Admission verdict { Admission::Accept };
    // Rejected: when the pool is expected to have room for the job.
    Millis retryAfter { 0 };
    // When the job is expected to end if it is accepted.
    Millis expectedEnd { 0 };
};

// Accepts a job if it is expected to end within its objective. Load pattern: a queue's turn asks for more
// than its pool holds for some seconds. Work accepted beyond that would end late, and make all after it late;
// what is rejected at once can come back when the turn is over.
[[nodiscard]] AdmissionDecision decideAdmission(const Job&, const PoolLoad&);

[[nodiscard]] std::string_view toString(Admission);

} // namespace fulmar::jobs

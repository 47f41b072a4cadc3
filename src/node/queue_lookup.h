#pragma once

#include "jobs/fleet.h"

#include <chrono>
#include <string_view>

namespace fulmar::node {

// Longest transfer of an answer to a caller.
inline constexpr std::chrono::milliseconds denialMargin { 100 };
// The store confirms the configuration within 0.5 s after an outage.
inline constexpr std::chrono::milliseconds unconfirmedRetryAfter { 1'000 };
// Reasons of refusals, for the log and the body of the answer.
inline constexpr std::string_view unconfirmedReason = "config-unconfirmed";
inline constexpr std::string_view unknownKeyReason = "unknown-key";
inline constexpr std::string_view otherTeamReason = "other-team";

// How old the configuration of a process may be, and is.
struct ConfigAge {
    // Time since the store confirmed that it has no newer one.
    std::chrono::milliseconds age { 0 };
    // A change must be in force this long after the store has acknowledged it.
    std::chrono::milliseconds applyTime { 0 };

    // A queue or key that was added since must be accepted once `applyTime` has passed, and one that was
    // removed must not be, so an older configuration neither denies nor grants anything.
    [[nodiscard]] bool mayDecide() const { return age + denialMargin <= applyTime; }
};

enum class QueueVerdict : std::uint8_t {
    Found,
    // No queue has this path.
    Denied,
    // The configuration has no such queue, and is too old to deny it.
    Unconfirmed,
};

struct QueueLookup {
    QueueVerdict verdict { QueueVerdict::Denied };
    // If found.
    const jobs::QueueConfig* queue { nullptr };
    // The job id at the end of the path; empty if the path names the queue itself.
    std::string_view jobId;
};

// Finds the queue that a caller's path, without its query, belongs to.
[[nodiscard]] QueueLookup lookUpQueue(
    const jobs::FleetConfig&, std::string_view host, std::string_view path, const ConfigAge&);

} // namespace fulmar::node

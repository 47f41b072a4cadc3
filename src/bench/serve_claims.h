#pragma once

#include "core/clock.h"

#include <cstdint>

namespace fulmar::bench {

// Claims on idempotency keys at a table that takes one transaction at a time.
struct ClaimCase {
    double claimsPerSecond { 100 };
    // Share of claims whose key was claimed before, as by a resend elsewhere.
    double resendShare { 0.05 };
    bool shared { true };
};

struct ClaimFigures {
    double transactionsPerSecond { 0 };
    double readsPerSecond { 0 };
    // Time from a request's claim to its result.
    Duration medianDelay {};
    Duration p99Delay {};
};

// Six entry VMs claim keys for ten seconds, each claim in its own transaction or those that come together in
// one.
[[nodiscard]] ClaimFigures measureClaims(const ClaimCase&);

} // namespace fulmar::bench

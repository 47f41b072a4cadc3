#pragma once

#include "core/verdict.h"
#include "peer/messages.h"

namespace fulmar {

// Carries the verdict on every answer to a caller.
inline constexpr auto outcomeHeader = "Fulmar-Outcome";

// The answer to a caller whose request failed: an RFC 9457 problem with Fulmar-Outcome, and Retry-After if
// `retryAfter` is not zero.
[[nodiscard]] HttpAnswer problemAnswer(const Failure&, std::chrono::seconds retryAfter);

// A JSON answer with Fulmar-Outcome.
[[nodiscard]] HttpAnswer jsonAnswer(std::uint32_t status, Outcome, std::string body);

} // namespace fulmar

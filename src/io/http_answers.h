#pragma once

#include "core/verdict.h"
#include "peer/messages.h"

namespace fulmar {

// Every answer to a caller has this header, which says whether the request was executed.
inline constexpr auto outcomeHeader = "Fulmar-Outcome";

// Answer to a failed request: an RFC 9457 problem with Fulmar-Outcome, and Retry-After unless `retryAfter` is
// zero.
[[nodiscard]] HttpAnswer problemAnswer(const Failure&, std::chrono::seconds retryAfter);

// Sets Fulmar-Outcome and the JSON content type.
[[nodiscard]] HttpAnswer jsonAnswer(std::uint32_t status, Outcome, std::string body);

} // namespace fulmar

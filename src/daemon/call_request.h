#pragma once

#include "core/verdict.h"
#include "io/caller_server.h"
#include "serve/call.h"

#include <string>
#include <string_view>
#include <vector>

namespace fulmar {

inline constexpr std::string_view idempotencyKeyHeader = "Idempotency-Key";

// Returns the value of the first header with this name, ignoring case, or null.
[[nodiscard]] const std::string* findHeader(const std::vector<HeaderField>&, std::string_view name);

// Extracts what the dispatcher needs from a caller's request. Fails (BadInput, NotRun) if the path names no
// service, or if Idempotency-Key or Request-Timeout-Ms has an invalid value.
[[nodiscard]] Result<serve::CallInfo> parseCallInfo(const CallerRequest&);

} // namespace fulmar

#pragma once

#include "core/verdict.h"
#include "io/caller_server.h"
#include "serve/call.h"

#include <string>
#include <string_view>
#include <vector>

namespace fulmar {

inline constexpr std::string_view idempotencyKeyHeader = "Idempotency-Key";

// The value of the header with this name in any case; null if there is none.
[[nodiscard]] const std::string* findHeader(const std::vector<HeaderField>&, std::string_view name);

// What the dispatcher needs to know of a caller's request. Fails (BadInput, NotRun) if the path names no
// service, or a header of ours has a bad value.
[[nodiscard]] Result<serve::CallInfo> parseCallInfo(const CallerRequest&);

} // namespace fulmar

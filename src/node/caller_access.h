#pragma once

#include "node/job_call.h"
#include "node/queue_lookup.h"

#include <optional>

namespace fulmar::node {

enum class AccessVerdict : std::uint8_t {
    Granted,
    // The call has no key, or one that no team has.
    UnknownKey,
    // The configuration is too old to tell whether a team has the key.
    Unconfirmed,
};

struct CallerAccess {
    AccessVerdict verdict { AccessVerdict::UnknownKey };
    // Of the key, if access is granted; empty for a public queue and in a configuration without teams.
    TeamId team;
};

// The key in the value of an Authorization header; empty if it has none.
[[nodiscard]] std::string_view apiKeyOf(std::string_view authorization);

// Decides whether a call with that key may use the queue.
[[nodiscard]] CallerAccess checkAccess(
    const jobs::FleetConfig&, const jobs::QueueConfig&, std::string_view apiKey, const ConfigAge&);

// For the holder of the shard: completes a call that the receiving process could not decide. Returns the
// reply if the call is refused. `config` is null if this process has none yet.
[[nodiscard]] std::optional<JobReply> refuseForwardedCall(
    JobCall&, const jobs::FleetConfig* config, const ConfigAge&);

} // namespace fulmar::node

#pragma once

#include "core/verdict.h"
#include "jobs/job.h"

#include <functional>
#include <optional>

namespace fulmar::node {

enum class JobCallKind : std::uint8_t {
    Submit,
    Show,
    Cancel,
    Count,
};

[[nodiscard]] std::string_view toString(JobCallKind);

// What the holder needs to decide on a call for which the receiving process's configuration is too old.
struct UndecidedCall {
    std::string host;
    // Without the query.
    std::string path;
    // A secret; see TeamConfig::keys.
    std::string apiKey;
};

// A caller's request, forwarded by the process that received it to the holder of the shard.
struct JobCall {
    JobCallKind kind { JobCallKind::Show };
    JobId job;
    // Empty in a Count that only probes the holder.
    std::string queue;
    // Submit: the encoded job.
    std::string encodedJob;
    std::uint32_t shard { 0 };
    // The team of the caller's key; empty for a public queue and in a configuration without teams.
    TeamId team;
    // If the receiving process could not decide whether the call is allowed; `team` is empty then.
    std::optional<UndecidedCall> undecided;
    // Key of the row of a job that was submitted through the store; see submission_row.h.
    std::string submission {};

    [[nodiscard]] bool isProbe() const { return kind == JobCallKind::Count && queue.empty(); }
};

enum class JobVerdict : std::uint8_t {
    // The process does not hold the shard; the call had no effect.
    NotHolder,
    Done,
    // Not accepted, and will not run: the pool's backlog is too long, or the job cannot be decoded.
    Rejected,
    UnknownJob,
    // The call may have taken effect, or may still do so.
    Uncertain,
    // Not accepted, and will not run: the store or every runner is unavailable.
    Unavailable,
    // Refused: no team has the caller's key.
    UnknownKey,
    // Refused: the job belongs to another team than the caller's key.
    OtherTeam,
};

[[nodiscard]] std::string_view toString(JobVerdict);

struct JobReply {
    JobVerdict verdict { JobVerdict::Uncertain };
    std::string state;
    std::uint64_t pending { 0 };
    std::chrono::milliseconds retryAfter { 0 };
    // For the log, and for the body of a refusal to the caller.
    std::string reason;
};

// The reply about a job that this holder does not know. Only a holder with a valid lease may deny that the
// job exists: a later holder may have accepted it.
[[nodiscard]] JobReply unknownJobReply(bool hasValidLease);

using OnJobReply = std::function<void(JobReply)>;

} // namespace fulmar::node

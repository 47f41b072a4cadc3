#pragma once

#include "core/verdict.h"
#include "jobs/job.h"

#include <functional>

namespace fulmar::node {

enum class JobCallKind : std::uint8_t {
    Submit,
    Show,
    Cancel,
    Count,
};

[[nodiscard]] std::string_view toString(JobCallKind);

// What an entry asks of the holder of a shard.
struct JobCall {
    JobCallKind kind { JobCallKind::Show };
    JobId job;
    std::string queue;
    // Submit: the encoded job.
    std::string encodedJob;
    std::uint32_t shard { 0 };
};

enum class JobVerdict : std::uint8_t {
    // Nothing was done: the process does not hold the shard.
    NotHolder,
    Done,
    // Not accepted, and it will not run: the pool's work ahead takes too long.
    Rejected,
    UnknownJob,
    // It may be done, or become so.
    Uncertain,
    // Not accepted, and it will not run: the store or every runner is away.
    Unavailable,
};

[[nodiscard]] std::string_view toString(JobVerdict);

struct JobReply {
    JobVerdict verdict { JobVerdict::Uncertain };
    std::string state;
    std::uint64_t pending { 0 };
    std::chrono::milliseconds retryAfter { 0 };
    // For the log and the caller's problem report.
    std::string reason;
};

// The reply about a job that is not known here. Only a holder that is sure of its lease can say that there is
// no such job: another may have accepted it since.
[[nodiscard]] JobReply unknownJobReply(bool hasValidLease);

using OnJobReply = std::function<void(JobReply)>;

} // namespace fulmar::node

#pragma once

#include "node/job_call.h"
#include "platform/store_client.h"

namespace fulmar::node {

// Answers a Show by the stored rows, for a process that cannot reach the holder of the shard. The state is
// the one that was stored last: a job that runs may be shown as queued, and one that has just ended as
// running. Replies NotHolder if the store does not answer.
void showStoredJob(platform::StoreClient&, const std::string& part, const JobCall&, bool hasTeams,
    std::chrono::milliseconds timeout, OnJobReply);

// The reply by the rows of the job and its progress; null for a row that does not exist. The progress was
// read first: a job that is removed in between is unknown, and never shown as one that waits.
[[nodiscard]] JobReply storedJobReply(
    const JobCall&, bool hasTeams, const platform::StoredRow* progress, const platform::StoredRow* job);

} // namespace fulmar::node

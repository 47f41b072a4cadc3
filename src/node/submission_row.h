#pragma once

#include "node/job_call.h"
#include "platform/store_client.h"

#include <variant>

namespace fulmar::node {

// Submissions to a holder that the receiving process cannot reach, while both reach the store. The receiving
// process writes a pending row into the shard's part; the holder replaces it by the outcome, in the
// transaction that stores the job if it is accepted. Each attempt has a key of its own.
inline constexpr auto submissionTable = "submissions";
// Row of the lease table that is written with each pending row. Every process follows that table, so holders
// need not follow another one.
inline constexpr auto submissionNoticeKey = "submissions";

// Longest time for which a receiving process waits for the outcome of a row. A pending row that is older, or
// seems to be written in the future, is not accepted: its caller is gone.
inline constexpr std::chrono::milliseconds maxSubmissionWait { 10'000 };

struct PendingSubmission {
    JobId job;
    std::string queue;
    TeamId team;
    // When the caller's time is over, by the clock of the receiving process.
    WallTime expires;
    std::string encodedJob;
};

// The row's job runs, or has not run and will not run because of this row, or (verdict Uncertain) the row had
// expired.
struct SubmissionOutcome {
    JobVerdict verdict { JobVerdict::Uncertain };
    std::chrono::milliseconds retryAfter { 0 };
    std::string reason;

    [[nodiscard]] JobReply reply() const;
};

using SubmissionRow = std::variant<PendingSubmission, SubmissionOutcome>;

[[nodiscard]] std::string encodeSubmission(const PendingSubmission&);
[[nodiscard]] std::string encodeOutcome(const SubmissionOutcome&);
[[nodiscard]] std::optional<SubmissionRow> decodeSubmissionRow(std::string_view);

// Whether a holder may still accept the row.
[[nodiscard]] bool mayAccept(const PendingSubmission&, WallTime now);

} // namespace fulmar::node

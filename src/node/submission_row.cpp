#include "node/submission_row.h"

#include <nlohmann/json.hpp>

namespace fulmar::node {

namespace {

constexpr std::string_view pendingState = "pending";
constexpr std::string_view outcomeState = "outcome";

std::optional<JobVerdict> verdictOf(std::string_view text)
{
    for (auto verdict = JobVerdict::NotHolder; verdict <= JobVerdict::OtherTeam;
         verdict = JobVerdict(std::uint8_t(verdict) + 1))
        if (toString(verdict) == text)
            return verdict;
    return std::nullopt;
}

} // namespace

JobReply SubmissionOutcome::reply() const
{
    JobReply reply;
    reply.verdict = verdict;
    reply.retryAfter = retryAfter;
    reply.reason = reason;
    return reply;
}

// The job follows on a line of its own, so that it is not escaped.
std::string encodeSubmission(const PendingSubmission& submission)
{
    nlohmann::json head { { "state", pendingState }, { "job", submission.job.value() },
        { "queue", submission.queue }, { "team", submission.team.value() },
        { "expires", submission.expires.time_since_epoch().count() } };
    return head.dump() + '\n' + submission.encodedJob;
}

std::string encodeOutcome(const SubmissionOutcome& outcome)
{
    return nlohmann::json {
        { "state", outcomeState }, { "verdict", toString(outcome.verdict) },
        { "retry-after-ms", outcome.retryAfter.count() }, { "reason", outcome.reason }
    }.dump();
}

std::optional<SubmissionRow> decodeSubmissionRow(std::string_view text)
{
    auto end = std::min(text.find('\n'), text.size());
    auto head = nlohmann::json::parse(text.substr(0, end), nullptr, false);
    if (!head.is_object())
        return std::nullopt;
    try {
        auto state = head.at("state").get<std::string>();
        if (state == pendingState && end < text.size())
            return PendingSubmission { JobId(head.at("job").get<std::string>()),
                head.at("queue").get<std::string>(), TeamId(head.at("team").get<std::string>()),
                WallTime(std::chrono::milliseconds(head.at("expires").get<std::int64_t>())),
                std::string(text.substr(end + 1)) };
        auto verdict = verdictOf(head.at("verdict").get<std::string>());
        if (state != outcomeState || !verdict)
            return std::nullopt;
        return SubmissionOutcome { *verdict,
            std::chrono::milliseconds(head.at("retry-after-ms").get<std::int64_t>()),
            head.at("reason").get<std::string>() };
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

bool mayAccept(const PendingSubmission& submission, WallTime now)
{
    return now < submission.expires && submission.expires <= now + maxSubmissionWait;
}

} // namespace fulmar::node

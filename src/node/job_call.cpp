#include "node/job_call.h"

#include <array>

namespace fulmar::node {

std::string_view toString(JobCallKind kind)
{
    static constexpr std::array<std::string_view, 4> names { "submit", "show", "cancel", "count" };
    return names[std::size_t(kind)];
}

std::string_view toString(JobVerdict verdict)
{
    static constexpr std::array<std::string_view, 8> names { "not-holder", "done", "rejected", "unknown-job",
        "uncertain", "unavailable", "unknown-key", "other-team" };
    return names[std::size_t(verdict)];
}

JobReply unknownJobReply(bool hasValidLease)
{
    JobReply reply;
    reply.verdict = hasValidLease ? JobVerdict::UnknownJob : JobVerdict::NotHolder;
    reply.reason = hasValidLease ? "no-such-job" : "lease-unsure";
    return reply;
}

} // namespace fulmar::node

#include "node/caller_access.h"

#include <algorithm>
#include <strings.h>

namespace fulmar::node {

namespace {

constexpr std::string_view scheme = "Bearer";

JobReply refusal(JobVerdict verdict, std::string reason)
{
    JobReply reply;
    reply.verdict = verdict;
    reply.retryAfter = unconfirmedRetryAfter;
    reply.reason = std::move(reason);
    return reply;
}

JobReply unconfirmed() { return refusal(JobVerdict::Unavailable, std::string(unconfirmedReason)); }

// The queue's policy is part of a submitted job, so it must be the one by which this process decides.
bool hasPolicyOf(const JobCall& call, const jobs::QueueConfig& queue)
{
    if (call.kind != JobCallKind::Submit)
        return true;
    auto job = jobs::decodeJob(call.encodedJob);
    return job && job->policy == queue.policy;
}

std::optional<JobReply> decide(JobCall& call, const jobs::FleetConfig& config, const ConfigAge& age)
{
    auto undecided = std::move(*call.undecided);
    call.undecided.reset();
    if (!config.teams)
        return std::nullopt;
    if (!age.mayDecide())
        return unconfirmed();
    auto lookup = lookUpQueue(config, undecided.host, undecided.path, age);
    if (lookup.verdict != QueueVerdict::Found || lookup.queue->name != call.queue
        || !hasPolicyOf(call, *lookup.queue))
        return unconfirmed();
    auto access = checkAccess(config, *lookup.queue, undecided.apiKey, age);
    switch (access.verdict) {
    case AccessVerdict::Granted:
        call.team = std::move(access.team);
        return std::nullopt;
    case AccessVerdict::UnknownKey:
        return refusal(JobVerdict::UnknownKey, std::string(unknownKeyReason));
    case AccessVerdict::Unconfirmed:
        break;
    }
    return unconfirmed();
}

} // namespace

std::string_view apiKeyOf(std::string_view authorization)
{
    if (authorization.size() <= scheme.size() || authorization[scheme.size()] != ' '
        || strncasecmp(authorization.data(), scheme.data(), scheme.size()) != 0)
        return {};
    auto key = authorization.substr(scheme.size());
    key.remove_prefix(std::min(key.find_first_not_of(' '), key.size()));
    return key.substr(0, key.find_last_not_of(' ') + 1);
}

CallerAccess checkAccess(const jobs::FleetConfig& config, const jobs::QueueConfig& queue,
    std::string_view apiKey, const ConfigAge& age)
{
    // A newer configuration may have teams.
    if (!age.mayDecide())
        return { AccessVerdict::Unconfirmed, {} };
    if (!config.teams)
        return { AccessVerdict::Granted, {} };
    if (queue.isPublic)
        return { AccessVerdict::Granted, {} };
    const auto* team = teams::findTeamByKey(*config.teams, apiKey);
    return team ? CallerAccess { AccessVerdict::Granted, team->id } : CallerAccess {};
}

std::optional<JobReply> refuseForwardedCall(
    JobCall& call, const jobs::FleetConfig* config, const ConfigAge& age)
{
    if (call.undecided)
        return config ? decide(call, *config, age) : unconfirmed();
    if (!config || !config->teams || !call.team.empty() || call.isProbe())
        return std::nullopt;
    // A process whose configuration has no teams, or of a release that does not know them, forwards calls
    // without a team.
    auto isPublic = std::any_of(config->queues.begin(), config->queues.end(),
        [&](const auto& queue) { return queue.name == call.queue && queue.isPublic; });
    return isPublic ? std::nullopt : std::optional(unconfirmed());
}

} // namespace fulmar::node

#include "jobs/config_check.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <fmt/format.h>
#include <map>
#include <set>

namespace fulmar::jobs {

namespace {

// The longest `spec` that a job may have; a body limit below it refuses legal jobs.
constexpr std::size_t maxSpecBytes = 4'000;

using Findings = std::vector<ConfigFinding>;

template <typename... Arguments>
void add(
    Findings& findings, FindingKind kind, fmt::format_string<Arguments...> text, Arguments&&... arguments)
{
    findings.push_back({ kind, fmt::format(text, std::forward<Arguments>(arguments)...) });
}

std::string describe(const QueueConfig& queue)
{
    return fmt::format("queue {} ({}{})", queue.name, queue.host, queue.pathPrefix);
}

// A key is sent in a header, after the scheme and a space; spaces around it are dropped.
bool canBeSent(const std::string& key)
{
    return !key.empty() && key.front() != ' ' && key.back() != ' '
        && std::none_of(key.begin(), key.end(), [](unsigned char c) { return std::iscntrl(c); });
}

template <typename Entries, typename NameOf>
void reportDuplicates(Findings& findings, std::string_view what, const Entries& entries, const NameOf& nameOf)
{
    std::set<std::string> seen;
    for (const auto& entry : entries)
        if (!seen.insert(nameOf(entry)).second)
            add(findings, FindingKind::Error, "{} {} appears twice", what, nameOf(entry));
}

void checkQueues(Findings& findings, const FleetConfig& config)
{
    std::map<std::pair<std::string, std::string>, const QueueConfig*> byPath;
    for (const auto& queue : config.queues) {
        auto [first, isNew] = byPath.emplace(std::pair(queue.host, queue.pathPrefix), &queue);
        if (!isNew)
            add(findings, FindingKind::Error, "{} can never match: queue {} has the same host and prefix",
                describe(queue), first->second->name);
        if (!queue.pathPrefix.starts_with('/'))
            add(findings, FindingKind::Error, "{} can never match: its prefix does not begin with '/'",
                describe(queue));
        if (queue.pathPrefix.find('?') != std::string::npos || queue.host.find(':') != std::string::npos)
            add(findings, FindingKind::Error, "{} can never match: queries and ports of calls are left out",
                describe(queue));
        if (queue.name.empty())
            add(findings, FindingKind::Error, "{} has no name", describe(queue));
        if (queue.host.empty())
            add(findings, FindingKind::Warning, "{} matches only calls without a host", describe(queue));
        const auto* pool = config.pool(queue.policy.pool);
        if (!pool)
            add(findings, FindingKind::Error, "{}: there is no pool {}", describe(queue),
                queue.policy.pool.value());
        else if (pool->isStandby)
            add(findings, FindingKind::Error, "{}: the VMs of pool {} are switched off", describe(queue),
                queue.policy.pool.value());
        if (queue.policy.stretch < 1)
            add(findings, FindingKind::Warning, "{}: a stretch of {} asks for less than a job's run time",
                describe(queue), queue.policy.stretch);
        if (queue.timeout.count() > 0 && queue.timeout < queue.policy.latencyAllowance)
            add(findings, FindingKind::Warning,
                "{}: its time-out of {} ms is below its target latency of {} ms", describe(queue),
                queue.timeout.count(), queue.policy.latencyAllowance.count());
    }
}

void checkTeams(Findings& findings, const FleetConfig& config)
{
    if (!config.teams)
        return;
    std::map<std::string, TeamId> owners;
    for (const auto& team : *config.teams) {
        if (team.keys.empty())
            add(findings, FindingKind::Warning, "team {} has no keys: its calls are refused",
                team.id.value());
        for (const auto& key : team.keys) {
            if (!canBeSent(key))
                add(findings, FindingKind::Error,
                    "team {} has a key that can never match: it is empty, or has a character that a header "
                    "cannot hold",
                    team.id.value());
            if (auto [owner, isNew] = owners.emplace(key, team.id); !isNew && owner->second == team.id)
                add(findings, FindingKind::Warning, "team {} has a key twice", team.id.value());
            else if (!isNew)
                add(findings, FindingKind::Error,
                    "team {} has a key that can never match: team {} has it too", team.id.value(),
                    owner->second.value());
        }
        if (team.weight <= 0)
            add(findings, FindingKind::Warning, "team {} has no weight, so no share when all is full",
                team.id.value());
    }
    auto isPublic = [](const QueueConfig& queue) { return queue.isPublic; };
    if (config.queues.empty())
        return;
    if (!config.teams->empty() && std::all_of(config.queues.begin(), config.queues.end(), isPublic))
        add(findings, FindingKind::Warning, "all queues are public: no key is ever asked for");
    if (config.teams->empty() && !std::all_of(config.queues.begin(), config.queues.end(), isPublic))
        add(findings, FindingKind::Error,
            "the list of teams is empty: every call to a queue that is not public is refused");
}

void checkLimits(Findings& findings, const FleetConfig& config)
{
    if (config.maxBodyBytes > 0 && config.maxBodyBytes < maxSpecBytes)
        add(findings, FindingKind::Warning, "a body limit of {} bytes is below a spec's {} bytes",
            config.maxBodyBytes, maxSpecBytes);
    if (config.idleTimeout.count() > 0 && config.headerTimeout > config.idleTimeout)
        add(findings, FindingKind::Warning, "the header time-out of {} ms exceeds the idle time-out of {} ms",
            config.headerTimeout.count(), config.idleTimeout.count());
}

// Reports one value of an entry that differs.
template <typename Value>
void compare(Findings& findings, const std::string& entry, std::string_view what, const Value& before,
    const Value& after)
{
    if (before != after)
        add(findings, FindingKind::Change, "{}: {} {} becomes {}", entry, what, before, after);
}

void compareEntry(Findings& findings, const QueueConfig& before, const QueueConfig& after)
{
    auto entry = "queue " + after.name;
    compare(findings, entry, "host", before.host, after.host);
    compare(findings, entry, "prefix", before.pathPrefix, after.pathPrefix);
    compare(findings, entry, "pool", before.policy.pool.value(), after.policy.pool.value());
    compare(findings, entry, "priority", before.policy.priority, after.policy.priority);
    compare(findings, entry, "failures", before.policy.maxFailures, after.policy.maxFailures);
    compare(findings, entry, "stretch", before.policy.stretch, after.policy.stretch);
    compare(findings, entry, "target latency in ms", before.policy.latencyAllowance.count(),
        after.policy.latencyAllowance.count());
    compare(findings, entry, "time-out in ms", before.timeout.count(), after.timeout.count());
    compare(findings, entry, "public", before.isPublic, after.isPublic);
}

void compareEntry(Findings& findings, const PoolConfig& before, const PoolConfig& after)
{
    auto entry = "pool " + after.id.value();
    compare(findings, entry, "standby", before.isStandby, after.isStandby);
    compare(findings, entry, "enforces capacity", before.enforcesCapacity, after.enforcesCapacity);
}

void compareEntry(Findings& findings, const teams::TeamConfig& before, const teams::TeamConfig& after)
{
    auto entry = "team " + after.id.value();
    auto countMissing = [](const auto& keys, const auto& in) {
        return std::count_if(keys.begin(), keys.end(),
            [&](const auto& key) { return std::find(in.begin(), in.end(), key) == in.end(); });
    };
    if (auto added = countMissing(after.keys, before.keys); added > 0)
        add(findings, FindingKind::Change, "{}: keys added: {}", entry, added);
    if (auto removed = countMissing(before.keys, after.keys); removed > 0)
        add(findings, FindingKind::Change, "{}: keys removed: {}, {} left", entry, removed,
            after.keys.size());
    compare(findings, entry, "weight", before.weight, after.weight);
    compare(findings, entry, "limit of millicores", before.limit.cpu, after.limit.cpu);
    compare(findings, entry, "limit of memory in MB", before.limit.memoryMb, after.limit.memoryMb);
    compare(findings, entry, "limit of accelerators", before.limit.accelerators, after.limit.accelerators);
}

template <typename Entries, typename NameOf>
void compareEntries(Findings& findings, std::string_view what, const Entries& before, const Entries& after,
    const NameOf& nameOf)
{
    auto find = [&](const Entries& entries, const std::string& name) {
        return std::find_if(
            entries.begin(), entries.end(), [&](const auto& entry) { return nameOf(entry) == name; });
    };
    for (const auto& entry : before)
        if (find(after, nameOf(entry)) == after.end())
            add(findings, FindingKind::Change, "{} {} is removed", what, nameOf(entry));
    for (const auto& entry : after) {
        if (auto earlier = find(before, nameOf(entry)); earlier != before.end())
            compareEntry(findings, *earlier, entry);
        else
            add(findings, FindingKind::Change, "{} {} is added", what, nameOf(entry));
    }
}

const auto nameOfQueue = [](const QueueConfig& queue) { return queue.name; };
const auto nameOfPool = [](const PoolConfig& pool) { return pool.id.value(); };
const auto nameOfTeam = [](const teams::TeamConfig& team) { return team.id.value(); };

} // namespace

std::string_view toString(FindingKind kind)
{
    static constexpr std::array<std::string_view, 3> names { "error", "warning", "change" };
    return names[std::size_t(kind)];
}

std::vector<ConfigFinding> checkConfig(const FleetConfig& config)
{
    Findings findings;
    reportDuplicates(findings, "queue", config.queues, nameOfQueue);
    reportDuplicates(findings, "pool", config.pools, nameOfPool);
    if (config.teams)
        reportDuplicates(findings, "team", *config.teams, nameOfTeam);
    checkQueues(findings, config);
    checkTeams(findings, config);
    checkLimits(findings, config);
    return findings;
}

std::vector<ConfigFinding> compareConfigs(const FleetConfig& inForce, const FleetConfig& next)
{
    Findings findings;
    if (next.version <= inForce.version)
        add(findings, FindingKind::Error, "version {} is not higher than {} in force: nodes ignore it",
            next.version, inForce.version);
    compareEntries(findings, "queue", inForce.queues, next.queues, nameOfQueue);
    compareEntries(findings, "pool", inForce.pools, next.pools, nameOfPool);
    if (inForce.teams.has_value() != next.teams.has_value())
        add(findings, FindingKind::Change, "{}",
            next.teams ? "calls need keys from now on" : "calls need no keys any more");
    std::vector<teams::TeamConfig> none;
    compareEntries(findings, "team", inForce.teams.value_or(none), next.teams.value_or(none), nameOfTeam);
    compare(findings, "limits", "body in bytes", inForce.maxBodyBytes, next.maxBodyBytes);
    compare(findings, "limits", "headers in bytes", inForce.maxHeaderBytes, next.maxHeaderBytes);
    compare(findings, "limits", "header time-out in ms", inForce.headerTimeout.count(),
        next.headerTimeout.count());
    compare(findings, "limits", "idle time-out in ms", inForce.idleTimeout.count(), next.idleTimeout.count());
    return findings;
}

} // namespace fulmar::jobs

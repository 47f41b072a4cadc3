#include "call_audit.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <set>
#include <unordered_map>

namespace fulmar::standin {

namespace {

constexpr auto saidRan = "ran";
constexpr auto saidNotRun = "not-run";
constexpr auto saidMayHaveRun = "may-have-run";

bool isSuccess(int status) { return status >= 200 && status < 300; }

// What the targets know, by request and by attempt.
struct RunIndex {
    explicit RunIndex(const std::vector<TargetRecord>& targets)
    {
        for (const auto& target : targets)
            for (const auto& run : target.runs) {
                byRequest[run.requestId].push_back(&run);
                attempts.insert(run.attemptId);
            }
    }

    std::unordered_map<std::string, std::vector<const TargetRun*>> byRequest;
    std::set<std::string> attempts;
};

void auditAnswer(const Attempt& attempt, const RunIndex& runs, AuditReport& report)
{
    ++report.statuses[attempt.status];
    report.withoutOutcome += attempt.outcome.empty() ? 1 : 0;
    report.saidNotRun += attempt.outcome == saidNotRun ? 1 : 0;
    report.saidMayHaveRun += attempt.outcome == saidMayHaveRun ? 1 : 0;
    if (attempt.outcome == saidMayHaveRun)
        ++report.mayHaveRunByProblem[attempt.problem];
    if (attempt.outcome == saidNotRun && runs.attempts.contains(attempt.attemptId))
        ++report.untrueRefusals;
    if (attempt.outcome == saidRan && !runs.byRequest.contains(attempt.requestId))
        ++report.untrueRan;
    if (!isSuccess(attempt.status))
        return;
    if (attempt.answeredId.empty())
        ++report.brokenAnswers;
    else if (attempt.answeredId != attempt.requestId)
        ++report.misrouted;
    else
        ++report.answeredWhole;
}

void auditAttempt(const Attempt& attempt, const RunIndex& runs, AuditReport& report)
{
    ++report.attempts;
    switch (attempt.end) {
    case ExchangeEnd::NotSent:
        ++report.notSent;
        break;
    case ExchangeEnd::Cut:
        ++report.cut;
        break;
    case ExchangeEnd::Answered:
        auditAnswer(attempt, runs, report);
        break;
    }
}

// Each request once, whatever its number of attempts.
void auditRequests(const std::vector<Attempt>& attempts, const RunIndex& runs, AuditReport& report)
{
    std::set<std::string> seen;
    for (const auto& attempt : attempts) {
        auto known = runs.byRequest.find(attempt.requestId);
        if (!seen.insert(attempt.requestId).second || known == runs.byRequest.end())
            continue;
        if (!attempt.idempotent && known->second.size() > 1)
            ++report.doubled;
        for (const auto* run : known->second)
            report.misrouted += run->service == attempt.service ? 0 : 1;
    }
}

// Targets list their runs in the order in which they began.
std::uint64_t serviceSwitchesOf(const TargetRecord& target)
{
    std::uint64_t switches = 0;
    for (std::size_t index = 1; index < target.runs.size(); ++index)
        switches += target.runs[index].service == target.runs[index - 1].service ? 0 : 1;
    return switches;
}

void measureLatency(const std::vector<Attempt>& attempts, AuditReport& report)
{
    std::vector<Duration> times;
    for (const auto& attempt : attempts)
        if (attempt.end == ExchangeEnd::Answered && isSuccess(attempt.status))
            times.push_back(attempt.elapsed);
    if (times.empty())
        return;
    std::ranges::sort(times);
    report.p50 = times[times.size() / 2];
    report.p99 = times[times.size() * 99 / 100];
}

} // namespace

AuditReport audit(const std::vector<Attempt>& attempts, const std::vector<TargetRecord>& targets)
{
    AuditReport report;
    const RunIndex runs(targets);
    for (const auto& attempt : attempts)
        auditAttempt(attempt, runs, report);
    auditRequests(attempts, runs, report);
    measureLatency(attempts, report);
    for (const auto& target : targets) {
        report.callsOverTargetLimit += target.overLimit;
        report.serviceSwitches += serviceSwitchesOf(target);
    }
    return report;
}

std::string formatReport(const AuditReport& report)
{
    auto text = fmt::format("sent={}\nanswered_whole={}\nsaid_not_run={}\nsaid_may_have_run={}\nnot_sent={}\n"
                            "cut={}\nwithout_outcome={}\nmisrouted={}\nbroken_answers={}\ndoubled={}\n"
                            "untrue_refusals={}\nuntrue_ran={}\nover_target_limit={}\nservice_switches={}"
                            "\np50_us={}\np99_us={}\n",
        report.attempts, report.answeredWhole, report.saidNotRun, report.saidMayHaveRun, report.notSent,
        report.cut, report.withoutOutcome, report.misrouted, report.brokenAnswers, report.doubled,
        report.untrueRefusals, report.untrueRan, report.callsOverTargetLimit, report.serviceSwitches,
        report.p50.count(), report.p99.count());
    for (const auto& [status, count] : report.statuses)
        text += fmt::format("status_{}={}\n", status, count);
    for (const auto& [problem, count] : report.mayHaveRunByProblem)
        text += fmt::format("may_have_run_{}={}\n", problem.empty() ? "untitled" : problem, count);
    return text;
}

std::string problemTitle(const std::string& body)
{
    const auto problem = nlohmann::json::parse(body, nullptr, false);
    return problem.is_object() ? problem.value("title", "") : "";
}

} // namespace fulmar::standin

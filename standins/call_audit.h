#pragma once

#include "http_caller.h"
#include "target_server.h"

#include <map>
#include <string>
#include <vector>

namespace fulmar::standin {

// One attempt of a caller to get a request run, and what came of it.
struct Attempt {
    std::string requestId;
    std::string attemptId;
    std::string service;
    bool idempotent { true };
    ExchangeEnd end { ExchangeEnd::NotSent };
    int status { 0 };
    // As the Fulmar-Outcome header said it.
    std::string outcome;
    // The request id in the answer's body; empty if the body is not whole.
    std::string answeredId;
    // The title of the problem in the answer's body; empty if it has none.
    std::string problem;
    Duration elapsed {};
};

// What callers were promised, counted over a run.
struct AuditReport {
    std::uint64_t attempts { 0 };
    std::uint64_t answeredWhole { 0 };
    std::uint64_t saidNotRun { 0 };
    std::uint64_t saidMayHaveRun { 0 };
    std::uint64_t notSent { 0 };
    // Connection broken, reply short or late, after the request was sent.
    std::uint64_t cut { 0 };
    // Answers without Fulmar-Outcome.
    std::uint64_t withoutOutcome { 0 };
    // An answer of another request, or a call that ran at a target for another service.
    std::uint64_t misrouted { 0 };
    // Successful answers that HTTP calls whole and whose body is not.
    std::uint64_t brokenAnswers { 0 };
    // Non-idempotent requests that ran more than once.
    std::uint64_t doubled { 0 };
    // Attempts answered "not-run" that ran.
    std::uint64_t untrueRefusals { 0 };
    // Requests answered "ran" that no target knows.
    std::uint64_t untrueRan { 0 };
    std::uint64_t callsOverTargetLimit { 0 };
    // Times that a target got a call for another service than its call before; one for each change of pool.
    std::uint64_t serviceSwitches { 0 };
    std::map<std::string, std::uint64_t> mayHaveRunByProblem;
    std::map<int, std::uint64_t> statuses;
    Duration p50 {};
    Duration p99 {};
};

// Joins what the callers saw with what the targets ran.
[[nodiscard]] AuditReport audit(const std::vector<Attempt>&, const std::vector<TargetRecord>&);

// The title of an RFC 9457 problem; empty if the text is none.
[[nodiscard]] std::string problemTitle(const std::string& body);

// One key=value a line.
[[nodiscard]] std::string formatReport(const AuditReport&);

} // namespace fulmar::standin

#pragma once

#include "core/clock.h"
#include "http_host.h"

#include <memory>
#include <string>
#include <vector>

namespace fulmar::standin {

struct TargetOptions {
    std::string name;
    // Calls that may run at once; more are counted as over the limit but run as well.
    std::uint32_t slots { 8 };
    std::chrono::milliseconds defaultRunTime { 5 };
};

// A call that a target has run.
struct TargetRun {
    std::string requestId;
    std::string attemptId;
    std::string service;
    std::string target;
    WallTime startedAt {};
};

// A stand-in target. Runs a call for the time in X-Run-Ms and answers with the request's own id and
// X-Answer-Bytes of padding. Control interface:
//   GET  /-/runs    the calls run that carried an X-Request-Id, and the concurrency seen
//   POST /-/switch  {"failing":bool, "slowMs":n, "truncating":bool}
class TargetServer {
public:
    explicit TargetServer(TargetOptions options)
        : m_options(std::move(options))
    {
    }

    [[nodiscard]] HttpReply handle(WallTime now, const HttpRequest&);

private:
    [[nodiscard]] HttpReply run(WallTime now, const HttpRequest&);
    [[nodiscard]] HttpReply listRuns() const;
    [[nodiscard]] HttpReply applySwitches(const std::string& body);

    TargetOptions m_options;
    bool m_failing { false };
    bool m_truncating { false };
    std::chrono::milliseconds m_slow {};
    std::uint32_t m_running { 0 };
    std::uint32_t m_maxRunning { 0 };
    std::uint64_t m_overLimit { 0 };
    std::uint64_t m_calls { 0 };
    WallTime m_lastCallAt {};
    std::vector<TargetRun> m_runs;
};

// What GET /-/runs tells of one target.
struct TargetRecord {
    std::string target;
    std::uint64_t calls { 0 };
    std::uint32_t maxRunning { 0 };
    std::uint64_t overLimit { 0 };
    WallTime lastCallAt {};
    std::vector<TargetRun> runs;
};

// Throws on text that is not such a record.
[[nodiscard]] TargetRecord parseTargetRecord(const std::string& json);

// The body of a whole answer to this request.
[[nodiscard]] std::string answerBody(
    const std::string& requestId, const std::string& service, std::size_t paddingBytes);

// The request id that an answer body carries; empty if the body is not whole.
[[nodiscard]] std::string requestIdOfAnswer(const std::string& body);

} // namespace fulmar::standin

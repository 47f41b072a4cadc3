#include "target_server.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fulmar::standin {

namespace {

using nlohmann::json;

constexpr std::string_view idPrefix = "id=";
constexpr std::string_view endMark = ";end";

// The first segment of a path.
std::string serviceOf(const std::string& path)
{
    const auto end = path.find('/', 1);
    return path.size() > 1 ? path.substr(1, end == std::string::npos ? end : end - 1) : std::string();
}

std::int64_t numberOr(const std::string& text, std::int64_t fallback)
{
    return text.empty() ? fallback : std::stoll(text);
}

WallTime wallTime(const json& milliseconds)
{
    return WallTime { std::chrono::milliseconds(milliseconds.get<std::int64_t>()) };
}

} // namespace

HttpReply TargetServer::handle(WallTime now, const HttpRequest& request)
{
    if (request.path == "/-/runs")
        return listRuns();
    if (request.path == "/-/switch")
        return applySwitches(request.body);
    return run(now, request);
}

HttpReply TargetServer::run(WallTime now, const HttpRequest& request)
{
    const auto requestId = request.header("X-Request-Id");
    const auto service = serviceOf(request.path);
    ++m_calls;
    m_lastCallAt = now;
    if (!requestId.empty())
        m_runs.push_back({ requestId, request.header("X-Attempt-Id"), service, m_options.name, now });
    ++m_running;
    m_maxRunning = std::max(m_maxRunning, m_running);
    m_overLimit += m_running > m_options.slots ? 1 : 0;

    HttpReply reply;
    reply.beforeSend = [this] { --m_running; };
    reply.end = m_truncating ? ReplyEnd::Truncated : ReplyEnd::Whole;
    if (m_failing) {
        reply.status = 500;
        reply.body = "failing";
        return reply;
    }
    const auto runTime = numberOr(request.header("X-Run-Ms"), m_options.defaultRunTime.count());
    reply.delay = std::chrono::milliseconds(runTime) + m_slow;
    const auto padding = numberOr(request.header("X-Answer-Bytes"), 0);
    reply.body = answerBody(requestId, service, static_cast<std::size_t>(padding));
    return reply;
}

HttpReply TargetServer::listRuns() const
{
    auto runs = json::array();
    for (const auto& run : m_runs)
        runs.push_back({ { "id", run.requestId }, { "attempt", run.attemptId }, { "service", run.service },
            { "at", run.startedAt.time_since_epoch().count() } });
    const json out { { "target", m_options.name }, { "calls", m_calls }, { "maxRunning", m_maxRunning },
        { "overLimit", m_overLimit }, { "lastCallAt", m_lastCallAt.time_since_epoch().count() },
        { "runs", std::move(runs) } };
    HttpReply reply;
    reply.body = out.dump();
    return reply;
}

HttpReply TargetServer::applySwitches(const std::string& body)
{
    const auto in = json::parse(body);
    m_failing = in.value("failing", m_failing);
    m_truncating = in.value("truncating", m_truncating);
    m_slow = std::chrono::milliseconds(in.value("slowMs", m_slow.count()));
    return {};
}

TargetRecord parseTargetRecord(const std::string& text)
{
    const auto in = json::parse(text);
    TargetRecord record { in.at("target"), in.at("calls"), in.at("maxRunning"), in.at("overLimit"),
        wallTime(in.at("lastCallAt")), {} };
    for (const auto& run : in.at("runs"))
        record.runs.push_back(
            { run.at("id"), run.at("attempt"), run.at("service"), record.target, wallTime(run.at("at")) });
    return record;
}

std::string answerBody(const std::string& requestId, const std::string& service, std::size_t paddingBytes)
{
    return fmt::format(
        "{}{};service={};{}{}", idPrefix, requestId, service, std::string(paddingBytes, '.'), endMark);
}

std::string requestIdOfAnswer(const std::string& body)
{
    const auto end = body.find(';');
    if (!body.starts_with(idPrefix) || !body.ends_with(endMark) || end == std::string::npos)
        return {};
    return body.substr(idPrefix.size(), end - idPrefix.size());
}

} // namespace fulmar::standin

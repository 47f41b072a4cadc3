#include "platform_server.h"

#include "platform/wire.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fulmar::standin {

namespace {

using nlohmann::json;

HttpReply reply(int status, std::string body)
{
    HttpReply result;
    result.status = status;
    result.body = std::move(body);
    return result;
}

int statusOf(const Failure& failure)
{
    switch (failure.reason) {
    case Reason::Conflict:
        return 409;
    case Reason::NotFound:
        return 404;
    case Reason::BadInput:
        return 400;
    default:
        // Refused before execution, as a worker that is down does.
        return failure.outcome == Outcome::NotRun ? 429 : 503;
    }
}

HttpReply replyOf(const Result<void>& result)
{
    return result ? reply(204, {}) : reply(statusOf(result.error()), result.error().detail);
}

HttpReply replyOf(const Result<Version>& result)
{
    return result ? reply(200, wire::encodeVersion(*result))
                  : reply(statusOf(result.error()), result.error().detail);
}

VmId vmOf(const json& name) { return VmId(name.get<std::string>()); }

ListedVm listedVm(const json& in)
{
    return { VmId(in.at("vm")), VmPresence::Live, in.value("address", ""), ZoneId(in.value("zone", "")),
        RackId(in.value("rack", "")) };
}

WorkerSeed workerSeed(const json& in)
{
    WorkerSeed seed;
    seed.worker = VmId(in.at("worker"));
    seed.pool = PoolId(in.at("pool"));
    seed.zone = ZoneId(in.value("zone", ""));
    seed.rack = RackId(in.value("rack", ""));
    seed.processors = in.value("processors", seed.processors);
    seed.memoryMb = in.value("memoryMb", seed.memoryMb);
    seed.accelerators = in.value("accelerators", seed.accelerators);
    seed.failsEverything = in.value("failsEverything", false);
    return seed;
}

JobTruth jobTruth(const json& in)
{
    JobTruth truth;
    truth.runTime = std::chrono::milliseconds(in.value("runTimeMs", 10'000));
    truth.processors = in.value("processors", truth.processors);
    truth.memoryMb = in.value("memoryMb", truth.memoryMb);
    truth.fails = in.value("fails", false);
    return truth;
}

// A row's value may be given as JSON; it is stored as text.
Write seedRow(const json& in)
{
    const auto& value = in.at("value");
    return { in.at("key"), value.is_string() ? value.get<std::string>() : value.dump(), false };
}

template <typename T> std::string queryValue(const HttpRequest& request, const T& name)
{
    auto position = request.query.find(name);
    return position == request.query.end() ? std::string() : position->second;
}

json countsOf(const std::map<TaskId, std::uint32_t>& counts)
{
    json out = json::object();
    for (const auto& [task, count] : counts)
        out[task.value()] = count;
    return out;
}

} // namespace

HttpReply PlatformServer::handle(TimePoint now, const HttpRequest& request)
{
    if (request.path == "/switch")
        return applySwitches(now, request.body);
    if (request.path == "/seed")
        return seed(now, request.body);
    if (request.path == "/counters")
        return counters(now);
    if (request.path == "/tasks")
        return tasks();
    if (m_state.switches.down) {
        ++m_state.counters.refused;
        return reply(503, "platform is down");
    }
    auto result = request.method == "GET" ? handleRead(now, request) : handleWrite(now, request);
    result.delay = m_state.switches.slow;
    return result;
}

HttpReply PlatformServer::handleRead(TimePoint now, const HttpRequest& request)
{
    ++m_state.counters.reads;
    if (request.path == "/v1/table/rows")
        return reply(200,
            wire::encode(m_state.table.read(
                queryValue(request, "prefix"), std::stoull(queryValue(request, "since")))));
    if (request.path == "/v1/vms")
        return reply(200, wire::encode(m_state.vms.list(now)));
    if (request.path == "/v1/workers") {
        auto changes = m_state.workers.changesSince(now, std::stoull(queryValue(request, "since")));
        return reply(200,
            wire::encode(
                wire::WorkerChanges { std::move(changes.reports), changes.version, changes.complete }));
    }
    if (request.path == "/v1/objects") {
        auto object = m_state.objects.find(queryValue(request, "name"));
        return object == m_state.objects.end() ? reply(404, "no such object") : reply(200, object->second);
    }
    return reply(404, "no such path");
}

// The effect is made first; then the reply may get lost, as a connection closed half-way.
HttpReply PlatformServer::handleWrite(TimePoint now, const HttpRequest& request)
{
    ++m_state.counters.writes;
    auto result = applyWrite(now, request);
    if (result.status == 409)
        ++m_state.counters.conflicts;
    if (m_state.takeLostReply()) {
        result.end = ReplyEnd::Truncated;
        result.status = 200;
    }
    return result;
}

HttpReply PlatformServer::applyWrite(TimePoint now, const HttpRequest& request)
{
    const VmId worker(queryValue(request, "worker"));
    const auto failed = [](const Failure& failure) { return reply(400, failure.detail); };
    if (request.path == "/v1/table/commit") {
        auto transaction = wire::decodeTransaction(request.body);
        return transaction ? replyOf(m_state.table.commit(*transaction)) : failed(transaction.error());
    }
    if (request.path == "/v1/objects") {
        m_state.objects[queryValue(request, "name")] = request.body;
        return reply(204, {});
    }
    if (request.path == "/v1/vms/reboot") {
        auto operation = wire::decodeOperation(request.body);
        return operation ? replyOf(m_state.reboot(now, VmId(queryValue(request, "vm")), *operation))
                         : failed(operation.error());
    }
    if (request.path == "/v1/workers/tasks") {
        auto start = wire::decodeTaskStart(request.body);
        return start ? replyOf(m_state.workers.start(now, worker, *start)) : failed(start.error());
    }
    if (request.path == "/v1/workers/leases") {
        auto renewal = wire::decodeLeaseRenewal(request.body);
        return renewal ? replyOf(m_state.workers.renew(now, worker, renewal->tasks, renewal->lease))
                       : failed(renewal.error());
    }
    if (request.path == "/v1/workers/orders") {
        auto order = wire::decodeTaskOrder(request.body);
        return order
            ? replyOf(m_state.workers.order(now, worker, order->task, order->order, order->operation))
            : failed(order.error());
    }
    return reply(404, "no such path");
}

HttpReply PlatformServer::applySwitches(TimePoint now, const std::string& body)
{
    const auto in = json::parse(body);
    auto& switches = m_state.switches;
    switches.down = in.value("down", switches.down);
    switches.slow = std::chrono::milliseconds(in.value("slowMs", switches.slow.count()));
    switches.loseNextReplies = in.value("loseNextReplies", switches.loseNextReplies);
    switches.loseReplyShare = in.value("loseReplyShare", switches.loseReplyShare);
    if (in.contains("listLagMs"))
        m_state.vms.setLag(std::chrono::milliseconds(in.at("listLagMs")));
    if (in.contains("restoreToVersion"))
        m_state.table.restoreTo(in.at("restoreToVersion"));
    for (const auto& name : in.value("leaving", json::array())) {
        m_state.vms.markLeaving(now, vmOf(name));
        m_state.workers.markLeaving(vmOf(name));
    }
    for (const auto& name : in.value("removed", json::array())) {
        m_state.vms.remove(now, vmOf(name));
        m_state.workers.takeDown(now, vmOf(name), TimePoint::max());
    }
    return reply(204, {});
}

HttpReply PlatformServer::seed(TimePoint now, const std::string& body)
{
    const auto in = json::parse(body);
    for (const auto& vm : in.value("vms", json::array()))
        m_state.vms.add(now, listedVm(vm));
    for (const auto& worker : in.value("workers", json::array()))
        m_state.workers.add(workerSeed(worker));
    for (const auto& job : in.value("jobs", json::array()))
        m_state.workers.setTruth(JobId(job.at("job")), jobTruth(job));
    Transaction transaction { OperationId("seed"), {}, {} };
    for (const auto& row : in.value("rows", json::array()))
        transaction.writes.push_back(seedRow(row));
    return transaction.writes.empty() ? reply(204, {}) : replyOf(m_state.table.commit(transaction));
}

HttpReply PlatformServer::counters(TimePoint now)
{
    const auto& counts = m_state.counters;
    const auto seconds = std::chrono::duration<double>(now - m_previousAt).count();
    const auto rate = [&](std::uint64_t current, std::uint64_t previous) {
        return seconds > 0 ? static_cast<double>(current - previous) / seconds : 0.0;
    };
    auto body = fmt::format("reads={}\nwrites={}\nconflicts={}\nrefused={}\nlost_replies={}\nreboots={}\n"
                            "table_version={}\nreads_per_s={:.1f}\nwrites_per_s={:.1f}\n",
        counts.reads, counts.writes, counts.conflicts, counts.refused, counts.lostReplies,
        m_state.vms.reboots(), m_state.table.version(), rate(counts.reads, m_previous.reads),
        rate(counts.writes, m_previous.writes));
    m_previous = counts;
    m_previousAt = now;
    return reply(200, std::move(body));
}

HttpReply PlatformServer::tasks() const
{
    const json out { { "starts", countsOf(m_state.workers.starts()) },
        { "finishes", countsOf(m_state.workers.finishes()) } };
    return reply(200, out.dump());
}

} // namespace fulmar::standin

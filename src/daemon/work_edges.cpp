#include "daemon/work_edges.h"

#include <fmt/format.h>
#include <future>
#include <nlohmann/json.hpp>

namespace fulmar {

namespace {

constexpr std::size_t maxRequests = 8'192;
constexpr std::chrono::milliseconds callDeadline { 3'000 };
constexpr std::chrono::milliseconds callPatience { 3'500 };
constexpr std::chrono::milliseconds passOnTimeout { 4'000 };

std::uint32_t statusOf(const Failure& failure)
{
    switch (failure.reason) {
    case Reason::BadInput:
        return 400;
    case Reason::NotFound:
        return 404;
    case Reason::Conflict:
        return 409;
    case Reason::QuotaExceeded:
        return 429;
    default:
        return failure.outcome == Outcome::NotRun ? 503 : 504;
    }
}

TaskAnswer toAnswer(const TaskCall& call, const Result<work::TaskRecord>& result)
{
    if (result)
        return { {}, call.method == "POST" ? 201U : 200U, Outcome::Ran, describe(*result) };
    nlohmann::json problem { { "title", std::string(toString(result.error().reason)) },
        { "detail", result.error().detail }, { "outcome", std::string(toString(result.error().outcome)) } };
    return { {}, statusOf(result.error()), result.error().outcome,
        problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) };
}

} // namespace

WorkService::WorkService(const work::WorkSettings& settings, const HttpPlatformOptions& platform,
    Distribution& distribution, EventLog& events)
    : m_distribution(distribution)
    , m_platform(platform)
    , m_keeper(m_platform, m_clock, "work", 1, distribution.self().process)
    , m_lease(m_keeper)
    , m_duty(settings, distribution.self().process, m_platform, m_platform, m_clock, m_lease, events)
    , m_requests(maxRequests)
{
}

void WorkService::step()
{
    m_keeper.step();
    {
        std::lock_guard lock(m_mutex);
        m_owner = m_keeper.holder(0);
    }
    while (auto request = m_requests.tryPop())
        (*request)();
    m_duty.step();
}

ProcessId WorkService::owner() const
{
    std::lock_guard lock(m_mutex);
    return m_owner;
}

void WorkService::begin(const TaskCall& call, work::TaskReply done)
{
    auto deadline = m_clock.now() + callDeadline;
    if (call.method == "POST") {
        auto spec = work::parseSubmission(call.task, call.body);
        if (!spec)
            return done(tl::unexpected(spec.error()));
        return m_duty.submit({ std::move(*spec), deadline, std::move(done) });
    }
    if (call.method == "GET")
        return done(m_duty.status(call.task));
    if (call.method == "DELETE")
        return m_duty.cancel({ call.task, deadline, std::move(done) });
    done(notRun(Reason::BadInput, "tasks take POST, GET and DELETE"));
}

Result<work::TaskRecord> WorkService::callHere(const TaskCall& call)
{
    auto promise = std::make_shared<std::promise<Result<work::TaskRecord>>>();
    auto answer = promise->get_future();
    auto reply = [promise](Result<work::TaskRecord> result) { promise->set_value(std::move(result)); };
    if (!m_requests.tryPush([this, call, reply] { begin(call, reply); }))
        return notRun(Reason::Overloaded, "too many requests on tasks wait");
    if (answer.wait_for(callPatience) != std::future_status::ready)
        return mayHaveRun(
            Reason::DeadlineExceeded, "the work duty did not answer in time; ask for the status");
    return answer.get();
}

TaskAnswer WorkService::call(const TaskCall& call, PeerClient& client)
{
    auto result = callHere(call);
    if (result || result.error().reason != Reason::LeaseLost || result.error().outcome != Outcome::NotRun)
        return toAnswer(call, result);
    auto holder = m_distribution.find(owner());
    if (!holder || holder->process == m_distribution.self().process)
        return toAnswer(call, result);
    auto promise = std::make_shared<std::promise<Result<TaskAnswer>>>();
    client.callTask(holder->address, call, passOnTimeout,
        [promise](Result<TaskAnswer> answer) { promise->set_value(std::move(answer)); });
    if (auto answer = promise->get_future().get())
        return *answer;
    else
        return toAnswer(call, tl::unexpected(answer.error()));
}

} // namespace fulmar

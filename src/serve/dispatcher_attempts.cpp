#include "serve/dispatcher_state.h"

#include <algorithm>

// End of an attempt: updates the statistics, then answers or retries the request.

namespace fulmar::serve {

namespace {

constexpr std::size_t maxAttempts = 3;
constexpr std::chrono::seconds noRetry { 0 };
constexpr Duration firstRetryDelay = std::chrono::milliseconds(10);
// An attempt that was abandoned after this many times its expected run time counts as a failure of its
// target.
constexpr int hungRunFactor = 2;
// An abandoned call is assumed to occupy its target for this many times its expected run time.
constexpr int abandonedFactor = 2;
constexpr Duration maxAbandonedHold = std::chrono::seconds(30);

// Statuses that report a temporary failure. The request may have run, so that only idempotent requests are
// retried.
bool isRetriableStatus(int status) { return status == 502 || status == 503 || status == 504; }

// The attempt was ended on our side; the target may still be working on it.
bool wasAbandoned(const Attempt& attempt, const AttemptEnd& end)
{
    return attempt.cancelled || end.reason == Reason::DeadlineExceeded || end.reason == Reason::Cancelled;
}

bool isServerError(int status) { return status >= 500; }

} // namespace

void Dispatcher::State::onAttemptEnd(AttemptId attemptId, const AttemptEnd& end, TimePoint now)
{
    auto node = m_attempts.extract(attemptId);
    // Duplicate and late reports are ignored.
    if (!node)
        return;
    const auto attempt = std::move(node.mapped());
    m_services.at(attempt.service).admission.onEnd(attempt.isLong);
    releaseService(attempt.service);
    recordAttemptEnd(attempt, end, now);
    releaseSlot(attempt, end, now);

    auto position = m_requests.find(attempt.request);
    auto* request
        = position == m_requests.end() || position->second.attempt != attemptId ? nullptr : &position->second;
    if (request && mayRetry(*request, end, now)) {
        request->mayHaveRun |= end.outcome != Outcome::NotRun;
        if (request->key)
            m_keyed.onAttemptNotRun(*request->key);
        backOff(attempt.request, *request, now);
        return;
    }
    if (end.outcome == Outcome::Ran) {
        if (attempt.key) {
            apply(m_keyed.onResponse(*attempt.key, attemptId, end.bufferedBytes), now);
        } else if (request) {
            emit(ForwardResponse { attempt.request, attemptId });
            erase(attempt.request);
        }
        return;
    }
    Failure failure { end.outcome, end.reason, "the target sent no complete response" };
    if (end.outcome == Outcome::NotRun)
        failure.detail = "no target could be reached";
    if (request) {
        fail(attempt.request, *request, failure, retryAfter({}), now);
    } else if (attempt.key) {
        auto step = end.outcome == Outcome::NotRun ? m_keyed.onNotRun(*attempt.key, failure, noRetry)
                                                   : m_keyed.onOutcomeUnknown(*attempt.key, failure);
        apply(std::move(step), now);
    }
}

// Updates run time estimates and target health.
void Dispatcher::State::recordAttemptEnd(const Attempt& attempt, const AttemptEnd& end, TimePoint now)
{
    if (end.targetLeaving)
        m_targets.setLeaving(attempt.target, now);
    auto run = now - attempt.started;
    auto expected = m_runTimes.expected(attempt.callClass);
    if (end.outcome == Outcome::Ran && !isServerError(end.status.value_or(0))) {
        m_runTimes.record(attempt.callClass, run);
        auto relativeRunTime = double(run.count()) / double(std::max<std::int64_t>(1, expected.count()));
        m_targets.onSuccess(attempt.target, relativeRunTime, now);
        return;
    }
    bool abandoned = wasAbandoned(attempt, end);
    if (abandoned && run < hungRunFactor * expected)
        return;
    m_targets.onFailure(attempt.target, now);
    if (abandoned)
        m_runTimes.record(attempt.callClass, run);
}

// Releases the attempt's slot: at once if the target has finished the call, otherwise when it probably has. A
// call that already ran long is assumed to run as long again.
void Dispatcher::State::releaseSlot(const Attempt& attempt, const AttemptEnd& end, TimePoint now)
{
    auto* target = m_targets.find(attempt.target);
    if (!target)
        return;
    bool mayStillRun = end.outcome == Outcome::MayHaveRun && wasAbandoned(attempt, end);
    auto expectedEnd = attempt.started + abandonedFactor * m_runTimes.expected(attempt.callClass);
    auto doubledEnd = now + std::min<Duration>(now - attempt.started, maxAbandonedHold);
    if (mayStillRun)
        m_abandonedSlots.emplace(
            std::max(expectedEnd, doubledEnd), AbandonedSlot { attempt.target, attempt.slot });
    else
        target->slots.returnSlot(attempt.slot);
}

bool Dispatcher::State::mayRetry(const Request& request, const AttemptEnd& end, TimePoint now)
{
    bool possible = !end.responseStarted && request.tried.size() < maxAttempts
        && now + firstRetryDelay + request.highRunTime < request.deadline;
    bool safe = request.idempotent || end.outcome == Outcome::NotRun;
    bool useful = end.outcome != Outcome::Ran || isRetriableStatus(end.status.value_or(0));
    return possible && safe && useful && m_targets.hasOther(request.service, request.tried, now)
        && m_services.at(request.service).retries.tryTake();
}

// Delays the retry. The mean delay doubles with each attempt; jitter is uniform from half to one and a half
// times the mean.
void Dispatcher::State::backOff(RequestId id, Request& request, TimePoint now)
{
    auto mean = firstRetryDelay * (1 << (request.tried.size() - 1));
    std::uniform_int_distribution<std::int64_t> spread(mean.count() / 2, mean.count() * 3 / 2);
    request.phase = RequestPhase::BackingOff;
    setWake(id, request, std::min(request.deadline, now + Duration(spread(m_random))));
}

void Dispatcher::State::cancel(AttemptId attempt)
{
    if (auto position = m_attempts.find(attempt); position != m_attempts.end())
        position->second.cancelled = true;
    emit(CancelAttempt { attempt });
}

} // namespace fulmar::serve

#include "bench/serve_naive.h"

namespace fulmar::bench {

namespace {

constexpr std::uint32_t maxAttempts = 3;
constexpr Duration attemptTimeout = std::chrono::seconds(2);
constexpr int firstServerError = 500;

} // namespace

NaiveEntry::NaiveEntry(
    const serve::EntryVm&, const std::vector<serve::EntryVm>&, const serve::ServiceEntry& service, TimePoint)
    : m_service(service)
{
}

serve::Actions NaiveEntry::onCall(serve::RequestId request, const serve::CallInfo&, TimePoint now)
{
    return { send(request, 1, now) };
}

serve::Actions NaiveEntry::onAttemptEnd(serve::AttemptId id, const serve::AttemptEnd& end, TimePoint now)
{
    auto attempt = m_attempts.extract(id).mapped();
    bool good = end.outcome == Outcome::Ran && end.status.value_or(firstServerError) < firstServerError;
    if (!good && attempt.attempts < maxAttempts)
        return { send(attempt.request, attempt.attempts + 1, now) };
    if (end.outcome == Outcome::Ran)
        return { serve::ForwardResponse { attempt.request, id } };
    return { serve::Refuse { attempt.request, { end.outcome, end.reason, "" }, {} } };
}

serve::Action NaiveEntry::send(serve::RequestId request, std::uint32_t attempts, TimePoint now)
{
    const auto& target = m_service.targets[m_turn++ % m_service.targets.size()];
    auto id = ++m_lastAttempt;
    m_attempts.emplace(id, Attempt { request, attempts });
    return serve::StartAttempt { request, id, target.vm, target.address, now + attemptTimeout, 0 };
}

} // namespace fulmar::bench

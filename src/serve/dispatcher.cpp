#include "serve/dispatcher.h"

#include "serve/dispatcher_state.h"

namespace fulmar::serve {

Dispatcher::Dispatcher(DispatcherSettings settings)
    : m_state(std::make_unique<State>(std::move(settings)))
{
}

Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

Actions Dispatcher::onCall(RequestId id, const CallInfo& call, TimePoint now)
{
    m_state->onCall(id, call, now);
    m_state->startWaitingCalls(now);
    return m_state->takeActions();
}

Actions Dispatcher::onAttemptEnd(AttemptId attempt, const AttemptEnd& end, TimePoint now)
{
    m_state->onAttemptEnd(attempt, end, now);
    m_state->startWaitingCalls(now);
    return m_state->takeActions();
}

Actions Dispatcher::onCallerGone(RequestId id, TimePoint now)
{
    m_state->onCallerGone(id, now);
    m_state->startWaitingCalls(now);
    return m_state->takeActions();
}

Actions Dispatcher::onClaim(RequestId id, const ClaimResult& result, TimePoint now)
{
    m_state->onClaim(id, result, now);
    m_state->startWaitingCalls(now);
    return m_state->takeActions();
}

Actions Dispatcher::onOwnerReply(RequestId id, const OwnerReply& reply, TimePoint now)
{
    m_state->onOwnerReply(id, reply, now);
    m_state->startWaitingCalls(now);
    return m_state->takeActions();
}

OwnerReply Dispatcher::onKeyQuestion(const KeyQuestion& question, TimePoint now)
{
    return m_state->m_keyed.onKeyQuestion(question, now);
}

Actions Dispatcher::onTick(TimePoint now)
{
    m_state->onTick(now);
    m_state->startWaitingCalls(now);
    return m_state->takeActions();
}

std::optional<TimePoint> Dispatcher::nextWake() const { return m_state->nextWake(); }

Actions Dispatcher::applyDirectory(const DirectoryChange& change, TimePoint now)
{
    m_state->applyDirectory(change, now);
    m_state->startWaitingCalls(now);
    return m_state->takeActions();
}

Actions Dispatcher::setEntryVms(const std::vector<EntryVm>& entryVms, TimePoint now)
{
    m_state->m_exchange.setRegistered(entryVms, now);
    m_state->m_targets.setEntryVms(m_state->m_exchange.sharers(now), now);
    m_state->startWaitingCalls(now);
    return m_state->takeActions();
}

void Dispatcher::onTargetLeaving(const VmId& vm, TimePoint now) { m_state->m_targets.setLeaving(vm, now); }

void Dispatcher::onTargetListed(const VmId& vm, bool leaving)
{
    m_state->m_targets.setListedLeaving(vm, leaving);
}

Actions Dispatcher::onPeerLoad(const ProcessId& peer, const PeerLoad& load, TimePoint now)
{
    m_state->onPeerLoad(peer, load, now);
    m_state->startWaitingCalls(now);
    return m_state->takeActions();
}

PeerLoad Dispatcher::loadFor(const ProcessId& peer, TimePoint now) { return m_state->loadFor(peer, now); }

std::map<VmId, std::uint32_t> Dispatcher::inFlight() const { return m_state->m_targets.inFlight(); }

DispatcherCounts Dispatcher::counts(TimePoint now) { return m_state->counts(now); }

std::optional<std::string> Dispatcher::mintKey(TimePoint now)
{
    if (m_state->m_draining)
        return std::nullopt;
    const auto& settings = m_state->m_settings;
    return formatMintedKey(
        { settings.zone, { settings.process, settings.incarnation }, now, ++m_state->m_lastMintSerial });
}

void Dispatcher::beginDrain(TimePoint) { m_state->m_draining = true; }

bool Dispatcher::isIdle() const { return m_state->m_requests.empty() && m_state->m_attempts.empty(); }

} // namespace fulmar::serve

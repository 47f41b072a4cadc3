#include "serve/slot_exchange.h"

#include <algorithm>

namespace fulmar::serve {

namespace {

constexpr Duration loanDuration = std::chrono::milliseconds(300);
// Slots are not lent to a peer whose last message is older than this.
constexpr Duration peerTimeout = std::chrono::milliseconds(500);
// After this long without a message the slots of an entry VM are given to the others in its zone. That
// entry VM gives them up itself if it was paused for pauseThreshold, which is shorter.
constexpr Duration silenceTimeout = std::chrono::seconds(10);
constexpr Duration pauseThreshold = std::chrono::seconds(5);
// Share of its slots that a lender keeps idle for its own next calls.
constexpr double reserveShare = 0.1;

} // namespace

SlotExchange::SlotExchange(EntryVm self, std::uint64_t incarnation, Targets& targets)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_targets(targets)
{
}

void SlotExchange::onPeerLoad(const ProcessId& process, const PeerLoad& load, TimePoint now)
{
    auto& peer = m_peers[process];
    if (peer.incarnation != load.incarnation) {
        for (const auto& vms : { peer.lent, peer.borrowed })
            for (const auto& vm : vms)
                if (auto* state = m_targets.find(vm))
                    state->slots.forgetPeer(process);
        peer = {};
        peer.incarnation = load.incarnation;
    }
    for (const auto& mark : load.leaving)
        m_targets.setLeavingFromPeer(mark, now);
    // A newer message was received before; only the leaving marks above can add anything.
    if (load.sent < peer.sentAt)
        return;
    peer.heardAt = now;
    peer.sentAt = load.sent;
    peer.wanted = load.wanted;
    // An echo in the future refers to an earlier incarnation of this process.
    if (load.echo <= now)
        for (const auto& [vm, count] : load.lent)
            if (auto* state = m_targets.find(vm)) {
                state->slots.borrow(process, count, load.echo + load.lentFor);
                peer.borrowed.insert(vm);
            }
    std::erase_if(peer.lent, [&](const VmId& vm) {
        auto* state = m_targets.find(vm);
        if (!state)
            return true;
        auto used = load.borrowed.find(vm);
        state->slots.onBorrowerReport(process, used == load.borrowed.end() ? 0 : used->second, load.sent);
        return state->slots.lentTo(process, now) == 0;
    });
}

PeerLoad SlotExchange::loadFor(
    const ProcessId& peer, const std::map<ServiceId, std::uint32_t>& wanted, TimePoint now)
{
    PeerLoad load;
    load.incarnation = m_incarnation;
    load.sent = now;
    load.leaving = m_targets.leaving(now);
    load.wanted = wanted;
    auto position = m_peers.find(peer);
    if (position == m_peers.end())
        return load;
    std::erase_if(position->second.borrowed, [&](const VmId& vm) {
        auto* state = m_targets.find(vm);
        auto used = state ? state->slots.borrowedInUse(peer) : 0;
        if (used > 0)
            load.borrowed.emplace(vm, used);
        return used == 0 && !(state && state->slots.hasLoanFrom(peer, now));
    });
    if (position->second.heardAt + peerTimeout <= now)
        return load;
    load.echo = position->second.sentAt;
    load.lentFor = loanDuration;
    for (const auto& [service, wantedByPeer] : position->second.wanted)
        if (wantedByPeer > 0 && !wanted.contains(service))
            lend(peer, service, wantedByPeer, load, now);
    return load;
}

// Lends up to `wanted` slots, spread evenly over the targets. Keeps a reserve and leaves the other borrowers
// their part.
void SlotExchange::lend(
    const ProcessId& peer, const ServiceId& service, std::uint32_t wanted, PeerLoad& load, TimePoint now)
{
    std::uint32_t share = 0;
    std::uint32_t available = 0;
    std::map<VmId, std::uint32_t> offers;
    for (auto* state : m_targets.targetsOf(service)) {
        state->slots.dropExpired(now);
        share += state->slots.share(now);
        if (!state->takesCalls(now) || state->health.isEjected(now))
            continue;
        auto offer = state->slots.idle(now) + state->slots.lentTo(peer, now);
        available += offer;
        offers.emplace(state->row.vm, offer);
    }
    auto reserve = std::max(1U, std::uint32_t(reserveShare * share));
    auto spare = available > reserve ? available - reserve : 0;
    auto left = std::min(wanted, spare / competingBorrowers(peer, service, now));
    for (bool progressed = true; left > 0 && progressed;) {
        progressed = false;
        for (auto& [vm, offer] : offers)
            if (offer > 0 && left > 0) {
                ++load.lent[vm];
                --offer;
                --left;
                progressed = true;
            }
    }
    for (const auto& [vm, offer] : offers)
        if (auto count = load.lent.find(vm); count != load.lent.end()) {
            m_targets.find(vm)->slots.lend(peer, count->second, load.echo + loanDuration, now);
            m_peers.at(peer).lent.insert(vm);
        }
}

// Number of peers among which the spare slots are divided. Peers in our own zone take precedence over peers
// in other zones.
std::uint32_t SlotExchange::competingBorrowers(
    const ProcessId& process, const ServiceId& service, TimePoint now) const
{
    std::uint32_t count = 0;
    for (const auto& [id, peer] : m_peers) {
        auto wanted = peer.wanted.find(service);
        bool wants = wanted != peer.wanted.end() && wanted->second > 0 && peer.heardAt + peerTimeout > now;
        if (wants && (isLocal(id) || !isLocal(process)))
            ++count;
    }
    return std::max(1U, count);
}

bool SlotExchange::isLocal(const ProcessId& process) const
{
    const auto& entryVms = m_targets.entryVms();
    return std::any_of(entryVms.begin(), entryVms.end(),
        [&](const EntryVm& entryVm) { return entryVm.process == process && entryVm.zone == m_self.zone; });
}

void SlotExchange::setRegistered(const std::vector<EntryVm>& entryVms, TimePoint now)
{
    auto isRegistered = [&entryVms](const ProcessId& process) {
        return std::any_of(entryVms.begin(), entryVms.end(),
            [&process](const EntryVm& entryVm) { return entryVm.process == process; });
    };
    m_registered = entryVms;
    std::erase_if(m_peers, [&](const auto& peer) { return !isRegistered(peer.first); });
    std::erase_if(m_registeredSince, [&](const auto& known) { return !isRegistered(known.first); });
    for (const auto& entryVm : entryVms)
        m_registeredSince.try_emplace(entryVm.process, now);
}

std::vector<EntryVm> SlotExchange::sharers(TimePoint now) const
{
    auto entryVms = m_registered;
    std::erase_if(entryVms, [&](const EntryVm& entryVm) {
        if (entryVm == m_self || entryVm.zone != m_self.zone)
            return false;
        auto heardAt = m_registeredSince.at(entryVm.process);
        if (auto peer = m_peers.find(entryVm.process); peer != m_peers.end())
            heardAt = std::max(heardAt, peer->second.heardAt);
        return heardAt + silenceTimeout <= now;
    });
    return entryVms;
}

bool SlotExchange::detectPause(TimePoint now)
{
    bool paused = m_lastActive && *m_lastActive + pauseThreshold <= now;
    m_lastActive = now;
    return paused;
}

} // namespace fulmar::serve

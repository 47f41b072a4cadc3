#include "daemon/peer_duty.h"

#include <algorithm>

namespace fulmar {

namespace {

constexpr std::chrono::milliseconds pause { 20 };
constexpr std::chrono::milliseconds exchangeTimeout { 1'000 };
constexpr std::uint32_t maxTimelineEvents = 20'000;

} // namespace

PeerDuty::PeerDuty(Distribution& distribution, EventLog& events, PeerDutyHooks hooks)
    : m_distribution(distribution)
    , m_events(events)
    , m_hooks(std::move(hooks))
{
}

Result<std::unique_ptr<PeerDuty>> PeerDuty::start(
    const std::string& listenAddress, Distribution& distribution, EventLog& events, PeerDutyHooks hooks)
{
    std::unique_ptr<PeerDuty> duty(new PeerDuty(distribution, events, std::move(hooks)));
    auto server = PeerServer::start(listenAddress, duty->handlers());
    if (!server)
        return tl::unexpected(server.error());
    duty->m_server = std::move(*server);
    duty->m_thread = std::thread([raw = duty.get()] { raw->run(); });
    return duty;
}

PeerDuty::~PeerDuty()
{
    m_isStopping = true;
    if (m_thread.joinable())
        m_thread.join();
    m_server.reset();
}

PeerHandlers PeerDuty::handlers()
{
    PeerHandlers handlers;
    handlers.exchange = [this](const Exchange& message) { return answerExchange(message); };
    // Every answer carries a stamp that orders it after its question.
    auto stamped = [this](const auto& hook) {
        return [this, hook](const auto& question) {
            m_events.observe(question.stamp);
            auto answer = hook(question);
            answer.stamp = m_events.stampForMessage(m_clock.wallNow());
            return answer;
        };
    };
    if (m_hooks.confirmLeaving)
        handlers.confirmLeaving = stamped(m_hooks.confirmLeaving);
    if (m_hooks.askKey)
        handlers.askKey = stamped(m_hooks.askKey);
    if (m_hooks.callTask)
        handlers.callTask = stamped(m_hooks.callTask);
    handlers.timeline = stamped([this](const TimelineQuestion& question) {
        auto events = m_events.snapshot();
        auto limit = std::min(question.limit, maxTimelineEvents);
        if (events.size() > limit)
            events.erase(events.begin(), events.end() - limit);
        return TimelineAnswer { {}, std::move(events) };
    });
    return handlers;
}

// Adds the data of an exchange that is not configuration or membership.
void PeerDuty::addLoadAndListing(Exchange& message, const PeerInfo& peer) const
{
    if (m_hooks.loadFor)
        message.load = m_hooks.loadFor(peer);
    if (m_hooks.listed && peer.role == PeerRole::Entry)
        message.listed = m_hooks.listed();
}

void PeerDuty::handleLoadAndListing(const Exchange& message) const
{
    m_events.observe(message.stamp);
    if (message.load && m_hooks.onLoad)
        m_hooks.onLoad(message.from, *message.load);
    if (!message.listed.empty() && m_hooks.onListed)
        m_hooks.onListed(message.listed);
}

Exchange PeerDuty::answerExchange(const Exchange& message)
{
    handleLoadAndListing(message);
    auto reply = m_distribution.onRequest(message, m_clock.now());
    reply.stamp = m_events.stampForMessage(m_clock.wallNow());
    addLoadAndListing(reply, message.from);
    return reply;
}

void PeerDuty::startExchange(const std::string& address)
{
    auto message = m_distribution.makeRequest(address, m_clock.now());
    message.stamp = m_events.stampForMessage(m_clock.wallNow());
    for (const auto& peer : m_distribution.recentContacts(m_clock.now()))
        if (peer.address == address)
            addLoadAndListing(message, peer);
    m_client.exchange(address, message, exchangeTimeout, [this, address](Result<Exchange> reply) {
        if (!reply)
            return;
        handleLoadAndListing(*reply);
        m_distribution.onReply(address, *reply, m_clock.now());
    });
}

void PeerDuty::run()
{
    while (!m_isStopping) {
        for (const auto& address : m_distribution.dueExchanges(m_clock.now()))
            startExchange(address);
        std::this_thread::sleep_for(pause);
    }
}

} // namespace fulmar

#include "daemon/control.h"

#include "daemon/duty_thread.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>

namespace fulmar {

namespace {

constexpr std::size_t eventCapacity = 20'000;
constexpr std::chrono::milliseconds readerPause { 50 };
constexpr std::chrono::milliseconds fleetPause { 100 };
constexpr std::chrono::milliseconds workPause { 50 };
constexpr std::chrono::milliseconds confirmTimeout { 1'000 };
constexpr std::chrono::milliseconds probeTimeout { 300 };

} // namespace

Control::Control(ControlSettings settings, std::uint64_t incarnation)
    : m_settings(std::move(settings))
    , m_events(m_settings.process.process, eventCapacity)
    , m_distribution(describeSelf(m_settings.process, PeerRole::Control, incarnation),
          membershipOf(m_settings.process), [] {})
    , m_readerPlatform(platformOf(m_settings.process))
    , m_reader(
          m_readerPlatform, m_clock, m_events, m_distribution, m_settings.readEvery, m_settings.listEvery)
    , m_work(m_settings.work, platformOf(m_settings.process), m_distribution, m_events)
{
}

Control::~Control() = default;

PeerDutyHooks Control::makePeerHooks()
{
    PeerDutyHooks hooks;
    hooks.listed = [this] { return m_reader.listed(); };
    hooks.callTask = [this](const TaskCall& call) { return m_work.call(call, m_peers->client()); };
    return hooks;
}

OperatorEndpointHooks Control::makeOperatorEndpointHooks()
{
    OperatorEndpointHooks hooks;
    hooks.callTask = [this](const TaskCall& call) { return m_work.call(call, m_peers->client()); };
    hooks.isHealthy = [] { return true; };
    return hooks;
}

Result<void> Control::run()
{
    auto peers = PeerDuty::start(m_settings.process.peerAddress, m_distribution, m_events, makePeerHooks());
    if (!peers)
        return tl::unexpected(peers.error());
    m_peers = std::move(*peers);

    auto operators = OperatorEndpoint::start(
        m_settings.process, m_distribution, m_events, m_peers->client(), makeOperatorEndpointHooks());
    if (!operators)
        return tl::unexpected(operators.error());

    HttpPlatform fleetPlatform(platformOf(m_settings.process));
    PeerConfirmer confirmer(m_peers->client(), confirmTimeout);
    ConnectProbe probe(probeTimeout);
    Fleet fleet(
        fleetPlatform, confirmer, probe, m_clock, m_events, m_settings.process.process, m_settings.fleet);

    m_events.record(m_clock.wallNow(), "control.started", { { "zone", m_settings.process.zone.value() } });
    {
        DutyThread readerThread([this] { m_reader.step(); }, readerPause);
        DutyThread fleetThread([&fleet] { fleet.step(); }, fleetPause);
        DutyThread workThread([this] { m_work.step(); }, workPause);

        asio::io_context loop(1);
        asio::signal_set signals(loop, SIGTERM, SIGINT);
        signals.async_wait([&loop](const asio::error_code&, int) { loop.stop(); });
        loop.run();
    }
    operators->reset();
    m_work.shutDown();
    m_peers.reset();
    m_events.record(m_clock.wallNow(), "control.stopped", {});
    return {};
}

} // namespace fulmar

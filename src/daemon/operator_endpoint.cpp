#include "daemon/operator_endpoint.h"

#include "fleet/entry_row.h"
#include "operate/operator_server.h"
#include "operate/rows.h"
#include "operate/work_facts.h"
#include "platform/http_platform.h"

#include <fmt/format.h>
#include <future>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

namespace fulmar {

namespace {

// Operators wait two seconds for an answer, and one statement can need several platform calls.
constexpr std::chrono::milliseconds platformTimeout { 300 };
constexpr std::chrono::milliseconds timelineTimeout { 800 };
constexpr std::uint32_t maxPeerEvents = 20'000;

HttpPlatformOptions platformOptions(const ProcessSettings& settings)
{
    auto options = platformOf(settings);
    options.timeout = std::min(options.timeout, platformTimeout);
    return options;
}

class OperatorEndpointImpl : public OperatorEndpoint {
public:
    OperatorEndpointImpl(const ProcessSettings& settings, Distribution& distribution, EventLog& events,
        PeerClient& peers, OperatorEndpointHooks hooks)
        : m_distribution(distribution)
        , m_events(events)
        , m_peers(peers)
        , m_hooks(std::move(hooks))
        , m_platform(platformOptions(settings))
        , m_server({ settings.operatorAddress, settings.operatorsAllowed }, m_platform, m_clock, events,
              sources(), probes())
    {
    }

private:
    operate::OperatorSources sources()
    {
        operate::OperatorSources sources;
        sources.configurationSince = [this](Version since) { return m_distribution.changesSince(since); };
        sources.addFacts = [this](operate::OperatorView& view, operate::FactNeeds needs) {
            addPeers(view);
            if (needs.targets && m_hooks.addTargets)
                m_hooks.addTargets(view);
            if (needs.work)
                operate::addWorkFacts(view, m_hooks.callTask(taskCall("LIST", {})).body);
        };
        sources.peerEvents = [this] { return askPeers(); };
        sources.cancelTask = [this](const TaskId& task) { return cancel(task); };
        return sources;
    }

    operate::OperatorProbes probes()
    {
        return { [this] {
                    m_metrics.updateProcessUsage();
                    m_metrics.set(operate::Metric::ConfigurationVersion, double(m_distribution.version()));
                    if (m_hooks.updateMetrics)
                        m_hooks.updateMetrics(m_metrics);
                    return m_metrics.serialize();
                },
            m_hooks.isHealthy, [this] { return m_distribution.version() > 0; } };
    }

    TaskCall taskCall(const char* method, const TaskId& task)
    {
        return { m_events.stampForMessage(m_clock.wallNow()), method, task, {} };
    }

    // A zone is missing if it has registered entries but none of its processes was in contact recently.
    void addPeers(operate::OperatorView& view) const
    {
        std::set<ZoneId> reached { m_distribution.self().zone };
        for (const auto& status : m_distribution.peerStatus(m_clock.now())) {
            view.peers.push_back(
                { status.peer.process, std::string(toString(status.peer.role)), status.peer.zone,
                    std::chrono::duration_cast<std::chrono::milliseconds>(status.heardAgo), status.version });
            if (status.isReachable)
                reached.insert(status.peer.zone);
        }
        std::set<ZoneId> missing;
        operate::forEachRow<EntryRecord>(
            view.config, keys::entryPrefix, [&](const Row&, const EntryRecord& entry) {
                if (!reached.contains(entry.zone))
                    missing.insert(entry.zone);
            });
        view.missingZones.assign(missing.begin(), missing.end());
    }

    std::vector<std::vector<Event>> askPeers()
    {
        std::vector<std::future<Result<TimelineAnswer>>> answers;
        for (const auto& status : m_distribution.peerStatus(m_clock.now()))
            if (status.isReachable)
                answers.push_back(std::async(std::launch::async, [this, address = status.peer.address] {
                    TimelineQuestion question { m_events.stampForMessage(m_clock.wallNow()), maxPeerEvents };
                    return m_peers.timeline(address, question, timelineTimeout);
                }));
        std::vector<std::vector<Event>> lists;
        for (auto& each : answers)
            if (auto answer = each.get()) {
                m_events.observe(answer->stamp);
                lists.push_back(std::move(answer->events));
            }
        return lists;
    }

    Result<std::string> cancel(const TaskId& task)
    {
        auto answer = m_hooks.callTask(taskCall("DELETE", task));
        auto body = nlohmann::json::parse(answer.body, nullptr, false);
        if (answer.status < 400)
            return fmt::format("the cancellation is stored; task {} is {}", task.value(),
                body.is_object() ? body.value("state", "cancelled") : "cancelled");
        auto detail = body.is_object() ? body.value("detail", answer.body) : answer.body;
        return tl::unexpected(Failure { answer.outcome, Reason::TargetFailed, detail });
    }

    const SystemClock m_clock {};
    Distribution& m_distribution;
    EventLog& m_events;
    PeerClient& m_peers;
    const OperatorEndpointHooks m_hooks;
    operate::MetricsRegistry m_metrics;
    HttpPlatform m_platform;
    operate::OperatorServer<HttpPlatform, SystemClock> m_server;
};

} // namespace

Result<std::unique_ptr<OperatorEndpoint>> OperatorEndpoint::start(const ProcessSettings& settings,
    Distribution& distribution, EventLog& events, PeerClient& peers, OperatorEndpointHooks hooks)
try {
    return std::make_unique<OperatorEndpointImpl>(settings, distribution, events, peers, std::move(hooks));
} catch (const std::exception& error) {
    return notRun(Reason::Internal, settings.operatorAddress + ": " + error.what());
}

} // namespace fulmar

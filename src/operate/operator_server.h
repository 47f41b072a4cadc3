#pragma once

#include "operate/operator_duty.h"
#include "operate/operator_http.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <utility>

namespace fulmar::operate {

// What /metrics, /healthz and /readyz show; called on the server's thread, must not block.
struct OperatorProbes {
    std::function<std::string()> metrics;
    std::function<bool()> isHealthy;
    std::function<bool()> isReady;
};

// The operators' side of a process: the HTTP server and the duty that answers, each on a thread of its own.
template <PlatformClient P, Clock C> class OperatorServer {
public:
    // Throws std::runtime_error if the address cannot be bound. The platform client belongs to this server
    // alone; its timeout should be well under the two seconds that operators wait for an answer.
    OperatorServer(const OperatorHttpSettings& settings, P& platform, const C& clock, EventLog& events,
        OperatorSources sources, const OperatorProbes& probes)
        : m_duty(platform, clock, events, std::move(sources))
        , m_http(std::make_unique<OperatorHttp>(settings, handlers(probes)))
        , m_thread([this] {
            while (!m_isStopping)
                m_duty.step();
        })
    {
    }

    // Replies need the HTTP server's loop, so the duty ends first.
    ~OperatorServer()
    {
        m_isStopping = true;
        m_duty.stop();
        m_thread.join();
        m_duty.dropWaiting();
        m_http.reset();
    }

    OperatorServer(const OperatorServer&) = delete;
    OperatorServer& operator=(const OperatorServer&) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_http->port(); }

private:
    OperatorHandlers handlers(const OperatorProbes& probes)
    {
        auto handlers = m_duty.handlers();
        handlers.metrics = probes.metrics;
        handlers.isHealthy = probes.isHealthy;
        handlers.isReady = probes.isReady;
        return handlers;
    }

    OperatorDuty<P, C> m_duty;
    std::unique_ptr<OperatorHttp> m_http;
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

} // namespace fulmar::operate

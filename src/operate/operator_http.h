#pragma once

#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fulmar::operate {

struct HttpReply {
    std::uint16_t status { 200 };
    std::string contentType { "application/json" };
    std::string body;
};

// Sends the reply to a request. May be called once, from any thread; a reply to a closed connection is
// dropped.
using HttpRespond = std::function<void(HttpReply)>;

enum class TimelineFormat : std::uint8_t {
    Text,
    Json,
    Html,
};

// GET /v1/timeline?format=html&statement=timeline+vm+v17
struct TimelineRequest {
    TimelineFormat format { TimelineFormat::Text };
    std::string statement { "timeline" };
};

// What the process does for each kind of request. All run on the server's thread and must not block.
struct OperatorHandlers {
    // POST /v1/operate; gets the body.
    std::function<void(std::string, HttpRespond)> operate;
    // GET /v1/timeline
    std::function<void(TimelineRequest, HttpRespond)> timeline;
    // GET /metrics; text in Prometheus' format.
    std::function<std::string()> metrics;
    // GET /healthz: false takes the process out of the balancer.
    std::function<bool()> isHealthy;
    // GET /readyz: false while the process does not know its configuration yet.
    std::function<bool()> isReady;
};

struct OperatorHttpSettings {
    // "host:port"; port 0 takes a free one.
    std::string address { "127.0.0.1:0" };
    // Addresses that may connect; empty means only the loopback.
    std::vector<std::string> allowed;
    std::uint32_t maxConnections { 64 };
    std::uint32_t maxBodyBytes { 16 * 1024 };
    // A request must arrive, be handled and be answered within this time each.
    std::chrono::milliseconds timeout { 5'000 };
};

// The operators' HTTP server on a thread of its own.
class OperatorHttp {
public:
    // Throws std::runtime_error if the address cannot be bound.
    OperatorHttp(const OperatorHttpSettings&, OperatorHandlers);
    // Stops the server and waits for its thread.
    ~OperatorHttp();
    OperatorHttp(const OperatorHttp&) = delete;
    OperatorHttp& operator=(const OperatorHttp&) = delete;

    [[nodiscard]] std::uint16_t port() const;

private:
    class Server;
    std::unique_ptr<Server> m_server;
};

} // namespace fulmar::operate

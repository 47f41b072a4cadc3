#pragma once

#include "core/event.h"
#include "operate/answer.h"
#include "operate/operator_service.h"

#include <chrono>
#include <string>
#include <vector>

namespace fulmar::operate {

// Events of the servers that answered in time.
struct CollectedTimeline {
    std::vector<Event> events;
    std::vector<std::string> silentServers;
};

// Sends statements to the operators' servers, one after another until one answers. A command goes out with
// the same id each time, so that a lost reply leads to no second effect.
class OperatorClient {
public:
    // Servers are "host:port". All attempts together take at most `timeout`.
    OperatorClient(std::vector<std::string> servers, std::chrono::milliseconds timeout);

    // Unavailable if no server took the statement, Unknown if one may have taken it without a reply.
    [[nodiscard]] Answer send(const OperatorRequest&) const;

    // Asks every server for its events and merges them.
    [[nodiscard]] CollectedTimeline collectTimeline(const std::string& statement) const;

private:
    std::vector<std::string> m_servers;
    std::chrono::milliseconds m_timeout;
};

} // namespace fulmar::operate

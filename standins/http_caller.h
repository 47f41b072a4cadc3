#pragma once

#include "core/clock.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fulmar::standin {

// How one exchange ended, as its caller can tell.
enum class ExchangeEnd : std::uint8_t {
    // A reply that is whole by the rules of HTTP.
    Answered,
    // No connection; nothing was sent.
    NotSent,
    // The connection broke, the reply was short, or time ran out, after something was sent.
    Cut,
};

struct CallerRequest {
    std::string method { "GET" };
    // "host:port".
    std::string address;
    std::string path;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    std::chrono::milliseconds timeout { 10'000 };
};

struct CallerReply {
    ExchangeEnd end { ExchangeEnd::NotSent };
    int status { 0 };
    std::string body;
    // Value of the Fulmar-Outcome header; empty if there was none.
    std::string outcome;
    Duration elapsed {};
};

// A caller that sends one request after another, each at most once, and keeps its connections. Belongs to one
// thread.
class HttpCaller {
public:
    HttpCaller();
    HttpCaller(HttpCaller&&) noexcept;
    ~HttpCaller();

    [[nodiscard]] CallerReply call(const CallerRequest&);

private:
    class Session;
    std::unique_ptr<Session> m_session;
};

} // namespace fulmar::standin

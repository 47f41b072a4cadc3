#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

struct HttpRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    // Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

struct HttpResponse {
    int status { 0 };
    std::string body;
};

HttpResponse jsonResponse(int status, const Json& body);

// HTTP/1.1 server on a loopback address, with a thread for each connection. Handlers may block.
class HttpServer {
public:
    using Handler = std::function<HttpResponse(const HttpRequest&)>;

    // Port 0 takes a free one.
    HttpServer(std::string ip, std::uint16_t port, Handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    [[nodiscard]] std::string address() const { return m_ip + ":" + std::to_string(m_port); }
    [[nodiscard]] std::uint16_t port() const { return m_port; }
    // Resets all connections and stops listening, like a process that is killed.
    void close();

private:
    void accept();
    void serve(int connection);

    const std::string m_ip;
    std::uint16_t m_port;
    const Handler m_handler;
    int m_listener { -1 };
    std::atomic<bool> m_isClosed { false };
    std::mutex m_mutex;
    std::set<int> m_connections;
    std::thread m_acceptor;
    std::vector<std::thread> m_threads;
};

// One call on a new connection. Empty if there was no complete answer in time.
std::optional<HttpResponse> callHttp(const std::string& address, const std::string& method,
    const std::string& path, const std::map<std::string, std::string>& headers, const std::string& body,
    Millis timeout);

std::uint16_t freePort(const std::string& ip);

} // namespace review

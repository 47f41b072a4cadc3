#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace fulmar::review2 {

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
    int status { 200 };
    std::string body;
    // Closes the connection without an answer.
    bool isDropped { false };
};

// An HTTP/1.1 server on a free port of a loopback address, with a thread for each connection.
class HttpServer {
public:
    using Handler = std::function<HttpResponse(const HttpRequest&)>;

    // Throws std::runtime_error if it can't listen.
    HttpServer(const std::string& ip, Handler, std::uint16_t port = 0);
    ~HttpServer() { stop(); }
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    [[nodiscard]] const std::string& address() const { return m_address; }
    [[nodiscard]] std::uint16_t port() const { return m_port; }
    // Resets all connections.
    void stop();

private:
    void accept();
    void serve(int socket);

    const Handler m_handler;
    std::string m_address;
    std::uint16_t m_port { 0 };
    int m_listener { -1 };
    std::atomic<bool> m_isStopping { false };
    std::mutex m_mutex;
    std::vector<int> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

// One call on a connection of its own. Empty if there was no complete answer in time.
std::optional<HttpResponse> callHttp(const std::string& address, const std::string& method,
    const std::string& path, const std::map<std::string, std::string>& headers, const std::string& body,
    Millis timeout);

} // namespace fulmar::review2

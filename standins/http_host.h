#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fulmar::standin {

struct HttpRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;
    // Value of a header, or an empty string. Valid during the handler only.
    std::function<std::string(const std::string& name)> header;
};

// How much of the reply is written before the connection is closed.
enum class ReplyEnd : std::uint8_t {
    Whole,
    // The status line and half of the body.
    Truncated,
};

struct HttpReply {
    int status { 200 };
    std::string body;
    std::map<std::string, std::string> headers;
    // Time from the request to the reply.
    std::chrono::milliseconds delay {};
    ReplyEnd end { ReplyEnd::Whole };
    // Called when the delay is over, just before the reply is written.
    std::function<void()> beforeSend;
};

using HttpHandler = std::function<HttpReply(const HttpRequest&)>;

// HTTP servers of one stand-in process, all run by one thread.
class HttpHost {
public:
    HttpHost();
    ~HttpHost();

    // Serves on "host:port"; port 0 takes a free one. Returns the port. Throws if the address cannot be
    // bound. Call before run().
    std::uint16_t listen(const std::string& address, HttpHandler);

    // Serves until stop(), or until SIGTERM or SIGINT if these are to be handled.
    void run();
    void stopOnSignals();
    // May be called from another thread.
    void stop();

    [[nodiscard]] asio::io_context& context();

private:
    struct Servers;
    std::unique_ptr<Servers> m_servers;
};

// Splits "host:port". Throws std::invalid_argument.
[[nodiscard]] std::pair<std::string, std::uint16_t> splitAddress(const std::string&);

} // namespace fulmar::standin

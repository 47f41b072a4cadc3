#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

std::string lowered(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string decoded(const std::string& text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += char(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i] == '+' ? ' ' : text[i];
        }
    }
    return result;
}

sockaddr_in toSocketAddress(const std::string& ip, std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

// Reads more bytes; false at the end of the connection or after the deadline.
bool readMore(int handle, std::string& buffer, Clock::time_point deadline)
{
    auto left = std::chrono::duration_cast<Millis>(deadline - Clock::now()).count();
    pollfd waiting { handle, POLLIN, 0 };
    if (left <= 0 || ::poll(&waiting, 1, int(left)) <= 0)
        return false;
    char chunk[65536];
    auto count = ::recv(handle, chunk, sizeof chunk, 0);
    if (count <= 0)
        return false;
    buffer.append(chunk, std::size_t(count));
    return true;
}

bool writeAll(int handle, const std::string& text)
{
    std::size_t written = 0;
    while (written < text.size()) {
        auto count = ::send(handle, text.data() + written, text.size() - written, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        written += std::size_t(count);
    }
    return true;
}

struct Message {
    std::string firstLine;
    std::map<std::string, std::string> headers;
    std::string body;
};

// Reads one message with a Content-Length; what follows stays in the buffer.
std::optional<Message> readMessage(int handle, std::string& buffer, Clock::time_point deadline)
{
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
        if (!readMore(handle, buffer, deadline))
            return std::nullopt;
    Message message;
    auto head = buffer.substr(0, end);
    buffer.erase(0, end + 4);
    auto lineEnd = head.find("\r\n");
    message.firstLine = head.substr(0, lineEnd);
    while (lineEnd != std::string::npos) {
        auto begin = lineEnd + 2;
        lineEnd = head.find("\r\n", begin);
        auto line = head.substr(begin, lineEnd == std::string::npos ? lineEnd : lineEnd - begin);
        auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        message.headers[lowered(line.substr(0, colon))] = value;
    }
    auto length = message.headers.find("content-length");
    auto size = length == message.headers.end() ? 0 : std::stoul(length->second);
    while (buffer.size() < size)
        if (!readMore(handle, buffer, deadline))
            return std::nullopt;
    message.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return message;
}

HttpRequest toRequest(Message message)
{
    HttpRequest request;
    auto firstSpace = message.firstLine.find(' ');
    auto secondSpace = message.firstLine.find(' ', firstSpace + 1);
    request.method = message.firstLine.substr(0, firstSpace);
    request.path = message.firstLine.substr(firstSpace + 1, secondSpace - firstSpace - 1);
    request.headers = std::move(message.headers);
    request.body = std::move(message.body);
    auto mark = request.path.find('?');
    if (mark == std::string::npos)
        return request;
    auto rest = request.path.substr(mark + 1);
    request.path.erase(mark);
    while (!rest.empty()) {
        auto end = rest.find('&');
        auto field = rest.substr(0, end);
        rest = end == std::string::npos ? "" : rest.substr(end + 1);
        auto equals = field.find('=');
        if (equals != std::string::npos)
            request.query[decoded(field.substr(0, equals))] = decoded(field.substr(equals + 1));
    }
    return request;
}

void resetOnClose(int handle)
{
    linger option { 1, 0 };
    ::setsockopt(handle, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

} // namespace

HttpResponse jsonResponse(int status, const Json& body) { return { status, body.dump() }; }

HttpServer::HttpServer(std::string ip, std::uint16_t port, Handler handler)
    : m_ip(std::move(ip))
    , m_port(port)
    , m_handler(std::move(handler))
{
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = toSocketAddress(m_ip, m_port);
    if (::bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0
        || ::listen(m_listener, 128) != 0)
        throw std::runtime_error("cannot listen on " + m_ip + ":" + std::to_string(m_port));
    socklen_t size = sizeof address;
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { accept(); });
}

HttpServer::~HttpServer()
{
    close();
    for (auto& thread : m_threads)
        thread.join();
}

void HttpServer::close()
{
    if (m_isClosed.exchange(true))
        return;
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    std::lock_guard lock(m_mutex);
    for (auto handle : m_connections) {
        resetOnClose(handle);
        ::shutdown(handle, SHUT_RDWR);
    }
}

void HttpServer::accept()
{
    while (!m_isClosed) {
        auto handle = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (handle < 0)
            return;
        int on = 1;
        ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::lock_guard lock(m_mutex);
        m_connections.insert(handle);
        m_threads.emplace_back([this, handle] { serve(handle); });
    }
}

void HttpServer::serve(int connection)
{
    constexpr std::chrono::minutes idleTimeout { 10 };
    std::string buffer;
    while (!m_isClosed) {
        auto message = readMessage(connection, buffer, Clock::now() + idleTimeout);
        if (!message)
            break;
        auto response = m_handler(toRequest(std::move(*message)));
        // A status of 0 breaks the connection off.
        if (m_isClosed || response.status == 0)
            break;
        auto text = "HTTP/1.1 " + std::to_string(response.status)
            + " -\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
        if (!writeAll(connection, text))
            break;
    }
    std::lock_guard lock(m_mutex);
    m_connections.erase(connection);
    resetOnClose(connection);
    ::close(connection);
}

std::optional<HttpResponse> callHttp(const std::string& address, const std::string& method,
    const std::string& path, const std::map<std::string, std::string>& headers, const std::string& body,
    Millis timeout)
{
    auto deadline = Clock::now() + timeout;
    auto colon = address.find(':');
    auto target
        = toSocketAddress(address.substr(0, colon), std::uint16_t(std::stoul(address.substr(colon + 1))));
    auto handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::optional<HttpResponse> response;
    if (::connect(handle, reinterpret_cast<sockaddr*>(&target), sizeof target) == 0) {
        auto text = method + " " + path + " HTTP/1.1\r\n";
        for (const auto& [name, value] : headers)
            text += name + ": " + value + "\r\n";
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::string buffer;
        if (writeAll(handle, text))
            if (auto message = readMessage(handle, buffer, deadline))
                response = HttpResponse { std::stoi(message->firstLine.substr(9, 3)), message->body };
    }
    ::close(handle);
    return response;
}

std::uint16_t freePort(const std::string& ip)
{
    auto handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = toSocketAddress(ip, 0);
    socklen_t size = sizeof address;
    if (::bind(handle, reinterpret_cast<sockaddr*>(&address), size) != 0)
        throw std::runtime_error("no address " + ip);
    ::getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(handle);
    return ntohs(address.sin_port);
}

} // namespace review

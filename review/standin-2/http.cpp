#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cstring>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace fulmar::review2 {

namespace {

using Clock = std::chrono::steady_clock;

sockaddr_in socketAddress(const std::string& ip, std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

void sendNoDelay(int socket)
{
    int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void closeWithReset(int socket)
{
    linger abort { 1, 0 };
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    close(socket);
}

bool sendAll(int socket, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        auto count = send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += std::size_t(count);
    }
    return true;
}

// Appends what has arrived. False at the end of the connection or of the time.
bool receiveMore(int socket, std::string& buffer, std::optional<Clock::time_point> until)
{
    int wait = -1;
    if (until)
        wait = int(
            std::max<std::int64_t>(0, std::chrono::duration_cast<Millis>(*until - Clock::now()).count() + 1));
    pollfd ready { socket, POLLIN, 0 };
    if (poll(&ready, 1, wait) <= 0)
        return false;
    char bytes[16'384];
    auto count = recv(socket, bytes, sizeof(bytes), 0);
    if (count <= 0)
        return false;
    buffer.append(bytes, std::size_t(count));
    return true;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

struct Head {
    std::string firstLine;
    std::map<std::string, std::string> headers;
    std::size_t size { 0 };
    std::size_t bodySize { 0 };
};

std::optional<Head> readHead(const std::string& buffer)
{
    auto end = buffer.find("\r\n\r\n");
    if (end == std::string::npos)
        return std::nullopt;
    Head head;
    head.size = end + 4;
    std::size_t at = buffer.find("\r\n");
    head.firstLine = buffer.substr(0, at);
    while (at < end) {
        auto next = buffer.find("\r\n", at + 2);
        auto line = buffer.substr(at + 2, next - at - 2);
        at = next;
        auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        head.headers[lowerCase(line.substr(0, colon))] = value;
    }
    if (auto length = head.headers.find("content-length"); length != head.headers.end())
        head.bodySize = std::stoul(length->second);
    return head;
}

std::string decodePercent(const std::string& text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain.push_back(char(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
            i += 2;
        } else {
            plain.push_back(text[i] == '+' ? ' ' : text[i]);
        }
    }
    return plain;
}

void splitTarget(const std::string& target, HttpRequest& request)
{
    auto mark = target.find('?');
    request.path = target.substr(0, mark);
    while (mark != std::string::npos) {
        auto next = target.find('&', mark + 1);
        auto pair = target.substr(mark + 1, next == std::string::npos ? next : next - mark - 1);
        auto equals = pair.find('=');
        if (equals != std::string::npos)
            request.query[pair.substr(0, equals)] = decodePercent(pair.substr(equals + 1));
        mark = next;
    }
}

std::string statusText(int status) { return std::to_string(status) + (status < 300 ? " OK" : " Refused"); }

} // namespace

HttpServer::HttpServer(const std::string& ip, Handler handler, std::uint16_t port)
    : m_handler(std::move(handler))
{
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = socketAddress(ip, port);
    if (bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0
        || listen(m_listener, 512) != 0)
        throw std::runtime_error("cannot listen on " + ip);
    socklen_t size = sizeof(address);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_address = ip + ":" + std::to_string(m_port);
    m_acceptor = std::thread([this] { accept(); });
}

void HttpServer::accept()
{
    while (!m_isStopping) {
        pollfd ready { m_listener, POLLIN, 0 };
        if (poll(&ready, 1, 50) <= 0)
            continue;
        int connection = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0)
            continue;
        sendNoDelay(connection);
        std::lock_guard lock(m_mutex);
        m_sockets.push_back(connection);
        m_threads.emplace_back([this, connection] { serve(connection); });
    }
}

void HttpServer::serve(int socket)
{
    std::string buffer;
    while (!m_isStopping) {
        auto head = readHead(buffer);
        if (!head || buffer.size() < head->size + head->bodySize) {
            if (!receiveMore(socket, buffer, std::nullopt))
                break;
            continue;
        }
        HttpRequest request;
        auto space = head->firstLine.find(' ');
        request.method = head->firstLine.substr(0, space);
        splitTarget(head->firstLine.substr(space + 1, head->firstLine.rfind(' ') - space - 1), request);
        request.headers = head->headers;
        request.body = buffer.substr(head->size, head->bodySize);
        buffer.erase(0, head->size + head->bodySize);
        auto response = m_handler(request);
        if (response.isDropped || m_isStopping)
            break;
        auto text = "HTTP/1.1 " + statusText(response.status) + "\r\nContent-Type: application/json\r\n"
            + "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
        if (!sendAll(socket, text))
            break;
    }
    std::lock_guard lock(m_mutex);
    if (auto found = std::find(m_sockets.begin(), m_sockets.end(), socket); found != m_sockets.end()) {
        m_sockets.erase(found);
        closeWithReset(socket);
    }
}

void HttpServer::stop()
{
    if (m_isStopping.exchange(true))
        return;
    m_acceptor.join();
    close(m_listener);
    std::vector<std::thread> threads;
    {
        std::lock_guard lock(m_mutex);
        for (int each : m_sockets)
            shutdown(each, SHUT_RD);
        threads.swap(m_threads);
    }
    for (auto& thread : threads)
        thread.join();
}

std::optional<HttpResponse> callHttp(const std::string& address, const std::string& method,
    const std::string& path, const std::map<std::string, std::string>& headers, const std::string& body,
    Millis timeout)
{
    auto until = Clock::now() + timeout;
    auto colon = address.rfind(':');
    auto target
        = socketAddress(address.substr(0, colon), std::uint16_t(std::stoi(address.substr(colon + 1))));
    int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sendNoDelay(connection);
    std::optional<HttpResponse> answer;
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
        text += name;
        text += ": " + value + "\r\n";
    }
    text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
    if (connect(connection, reinterpret_cast<sockaddr*>(&target), sizeof(target)) == 0
        && sendAll(connection, text)) {
        std::string buffer;
        while (receiveMore(connection, buffer, until)) {
            auto head = readHead(buffer);
            if (!head || buffer.size() < head->size + head->bodySize)
                continue;
            answer = HttpResponse { std::stoi(head->firstLine.substr(9, 3)),
                buffer.substr(head->size, head->bodySize), false };
            break;
        }
    }
    close(connection);
    return answer;
}

} // namespace fulmar::review2

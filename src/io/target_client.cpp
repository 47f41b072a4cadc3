#include "io/target_client.h"

#include "core/log.h"
#include "io/http_attempt.h"

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <cassert>
#include <curl/curl.h>
#include <fmt/format.h>
#include <map>
#include <unordered_map>

namespace fulmar {

using serve::AttemptId;

namespace {

constexpr std::size_t maxIdleConnections = 1'024;
constexpr long receiveBufferBytes = 64 * 1024;
constexpr std::size_t maxIdleHandles = 256;

std::string toText(const curl_sockaddr& address)
{
    const auto& internet = reinterpret_cast<const sockaddr_in&>(address.addr);
    asio::ip::address_v4 host(ntohl(internet.sin_addr.s_addr));
    return fmt::format("{}:{}", host.to_string(), ntohs(internet.sin_port));
}

} // namespace

class TargetClient::Impl {
public:
    Impl(asio::io_context& loop, TargetClientLimits limits)
        : m_loop(loop)
        , m_curlTimer(loop)
        , m_deadlineTimer(loop)
        , m_limits(limits)
        , m_multi(curl_multi_init())
    {
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, onSocket);
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, onCurlTimerRequest);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
        // Above this number libcurl closes the connection that has been idle for longest, so that a request
        // to another target finds room.
        auto threeQuarters = limits.maxConnections / 4 * 3 + limits.maxConnections % 4 * 3 / 4;
        auto kept = std::clamp<std::size_t>(threeQuarters, 1, maxIdleConnections);
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, long(kept));
        curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    ~Impl()
    {
        for (auto& [id, attempt] : m_attempts)
            release(*attempt);
        for (auto* easy : m_idle)
            curl_easy_cleanup(easy);
        curl_multi_cleanup(m_multi);
    }

    void start(AttemptId id, const TargetRequest& request, AnswerSink sink, Done done)
    {
        auto attempt = std::make_unique<HttpAttempt>();
        attempt->id = id;
        attempt->address = request.address;
        attempt->done = std::move(done);
        attempt->sink = std::move(sink);
        attempt->onProgress = request.onProgress;
        attempt->timeout = request.timeout;
        attempt->restartsTimeout = request.restartsTimeout;
        attempt->maxBufferedBytes = m_limits.maxBufferedBytes;
        attempt->easy = takeHandle();
        prepare(*attempt, request);
        configure(*attempt, request);
        auto* easy = attempt->easy;
        m_attempts.emplace(id, std::move(attempt));
        curl_multi_add_handle(m_multi, easy);
        m_deadlines.emplace(Clock::now() + request.timeout, id);
        scheduleDeadlineTimer();
    }

    void cancel(AttemptId id)
    {
        auto position = m_attempts.find(id);
        if (position == m_attempts.end())
            return;
        auto attempt = std::move(position->second);
        m_attempts.erase(position);
        auto end = describeCancellation(*attempt);
        release(*attempt);
        asio::post(m_loop, [done = std::move(attempt->done), end] { done(end, {}); });
    }

    void resume(AttemptId id)
    {
        auto position = m_attempts.find(id);
        if (position == m_attempts.end() || !std::exchange(position->second->isPaused, false))
            return;
        curl_easy_pause(position->second->easy, CURLPAUSE_CONT);
        runSocketAction(CURL_SOCKET_TIMEOUT, 0);
    }

private:
    using Clock = asio::steady_timer::clock_type;
    using Attempts = std::unordered_map<AttemptId, std::unique_ptr<HttpAttempt>>;

    struct WatchedSocket {
        explicit WatchedSocket(asio::io_context& loop)
            : socket(loop)
        {
        }
        asio::ip::tcp::socket socket;
        // "host:port" of the target.
        std::string address;
        int pollFlags { 0 };
        bool isAwaitingRead { false };
        bool isAwaitingWrite { false };
    };

    CURL* takeHandle()
    {
        if (m_idle.empty())
            return curl_easy_init();
        auto* easy = m_idle.back();
        m_idle.pop_back();
        return easy;
    }

    void configure(HttpAttempt& attempt, const TargetRequest& request)
    {
        auto* easy = attempt.easy;
        curl_easy_setopt(
            easy, CURLOPT_URL, fmt::format("http://{}{}", request.address, request.path).c_str());
        curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(m_limits.connectTimeout.count()));
        curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, receiveBufferBytes);
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
        if (attempt.isHeadRequest)
            curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        else if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.empty() ? "" : request.body.data());
        }
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, request.opensConnection ? 1L : 0L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, mayKeepConnection(request) ? 0L : 1L);
        curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, onOpen);
        curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, onClose);
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
    }

    [[nodiscard]] bool mayKeepConnection(const TargetRequest& request) const
    {
        auto open = m_openConnections.find(request.address);
        return open == m_openConnections.end() || open->second <= request.maxReusableConnections;
    }

    void release(HttpAttempt& attempt)
    {
        curl_multi_remove_handle(m_multi, attempt.easy);
        curl_slist_free_all(attempt.headers);
        if (m_idle.size() < maxIdleHandles) {
            curl_easy_reset(attempt.easy);
            m_idle.push_back(attempt.easy);
        } else {
            curl_easy_cleanup(attempt.easy);
        }
    }

    // Opens sockets for libcurl as Asio objects, so that the loop can wait for them.
    static curl_socket_t onOpen(void* user, curlsocktype, curl_sockaddr* address)
    {
        auto& self = *static_cast<Impl*>(user);
        if (address->family != AF_INET)
            return CURL_SOCKET_BAD;
        if (self.m_sockets.size() >= self.m_limits.maxConnections) {
            logInfo("no-connection-left",
                { { "target", toText(*address) }, { "open", std::to_string(self.m_sockets.size()) } });
            return CURL_SOCKET_BAD;
        }
        auto watch = std::make_shared<WatchedSocket>(self.m_loop);
        asio::error_code error;
        watch->socket.open(asio::ip::tcp::v4(), error);
        if (error)
            return CURL_SOCKET_BAD;
        // An abandoned connection is reset, so that a request still buffered on it cannot arrive later.
        watch->socket.set_option(asio::socket_base::linger(true, 0), error);
        if (error)
            return CURL_SOCKET_BAD;
        auto handle = watch->socket.native_handle();
        watch->address = toText(*address);
        ++self.m_openConnections[watch->address];
        self.m_sockets.emplace(handle, std::move(watch));
        return handle;
    }

    static int onClose(void* user, curl_socket_t handle)
    {
        auto& self = *static_cast<Impl*>(user);
        if (auto position = self.m_sockets.find(handle); position != self.m_sockets.end()) {
            position->second->pollFlags = 0;
            if (auto open = self.m_openConnections.find(position->second->address); --open->second == 0)
                self.m_openConnections.erase(open);
            asio::error_code ignored;
            position->second->socket.close(ignored);
            self.m_sockets.erase(position);
        }
        return 0;
    }

    static int onSocket(CURL*, curl_socket_t handle, int pollEvent, void* user, void*)
    {
        auto& self = *static_cast<Impl*>(user);
        if (auto position = self.m_sockets.find(handle); position != self.m_sockets.end()) {
            position->second->pollFlags = pollEvent == CURL_POLL_REMOVE ? 0 : pollEvent;
            self.awaitEvents(position->second);
        }
        return 0;
    }

    static int onCurlTimerRequest(CURLM*, long timeoutMs, void* user)
    {
        auto& self = *static_cast<Impl*>(user);
        self.m_nextAction = Clock::time_point::max();
        if (timeoutMs == 0)
            self.scheduleSocketAction();
        else if (timeoutMs > 0)
            self.scheduleCurlTimer(Clock::now() + std::chrono::milliseconds(timeoutMs));
        return 0;
    }

    // libcurl changes its next time-out with every transfer. A timer that expires earlier is left alone,
    // because setting it again costs more than a needless wake-up.
    void scheduleCurlTimer(Clock::time_point due)
    {
        m_nextAction = due;
        if (due >= m_curlTimerExpiry)
            return;
        m_curlTimerExpiry = due;
        m_curlTimer.expires_at(due);
        m_curlTimer.async_wait([this](const asio::error_code& error) {
            if (!error)
                onCurlTimerExpired();
        });
    }

    void onCurlTimerExpired()
    {
        m_curlTimerExpiry = Clock::time_point::max();
        if (Clock::now() >= m_nextAction) {
            m_nextAction = Clock::time_point::max();
            runSocketAction(CURL_SOCKET_TIMEOUT, 0);
        } else if (m_nextAction != Clock::time_point::max()) {
            scheduleCurlTimer(m_nextAction);
        }
    }

    // Waits for the socket events that libcurl asked for. The shared pointer keeps the socket object alive if
    // it is closed during the wait.
    void awaitEvents(const std::shared_ptr<WatchedSocket>& watched)
    {
        if ((watched->pollFlags & CURL_POLL_IN) && !watched->isAwaitingRead) {
            watched->isAwaitingRead = true;
            watched->socket.async_wait(
                asio::ip::tcp::socket::wait_read, [this, watched](const asio::error_code& error) {
                    onReady(watched, watched->isAwaitingRead, CURL_CSELECT_IN, error);
                });
        }
        if ((watched->pollFlags & CURL_POLL_OUT) && !watched->isAwaitingWrite) {
            watched->isAwaitingWrite = true;
            watched->socket.async_wait(
                asio::ip::tcp::socket::wait_write, [this, watched](const asio::error_code& error) {
                    onReady(watched, watched->isAwaitingWrite, CURL_CSELECT_OUT, error);
                });
        }
    }

    void onReady(const std::shared_ptr<WatchedSocket>& watched, bool& isWaiting, int event,
        const asio::error_code& error)
    {
        isWaiting = false;
        if (error || !watched->socket.is_open() || !watched->pollFlags)
            return;
        runSocketAction(watched->socket.native_handle(), event);
        if (watched->socket.is_open())
            awaitEvents(watched);
    }

    // Replaces libcurl's own transfer time-out, which ends every overdue transfer as soon as any socket has
    // an event, even if the answer has arrived but is unread. After the process was busy or suspended, that
    // would be most transfers.
    void scheduleDeadlineTimer()
    {
        if (m_deadlines.empty() || m_deadlines.begin()->first >= m_deadlineTimerExpiry)
            return;
        m_deadlineTimerExpiry = m_deadlines.begin()->first;
        m_deadlineTimer.expires_at(m_deadlineTimerExpiry);
        m_deadlineTimer.async_wait([this](const asio::error_code& error) {
            if (error)
                return;
            m_deadlineTimerExpiry = Clock::time_point::max();
            // Posted twice, so that the loop first reads all sockets that are ready now; answers that have
            // arrived are then not timed out.
            postIfAlive([this, now = Clock::now()] {
                postIfAlive([this, now] {
                    timeOutOverdueAttempts(now);
                    scheduleDeadlineTimer();
                });
            });
        });
    }

    void timeOutOverdueAttempts(Clock::time_point now)
    {
        auto end = m_deadlines.upper_bound(now);
        std::vector<AttemptId> overdue;
        for (auto each = m_deadlines.begin(); each != end; ++each)
            overdue.push_back(each->second);
        m_deadlines.erase(m_deadlines.begin(), end);
        for (auto id : overdue) {
            auto position = m_attempts.find(id);
            if (position == m_attempts.end())
                continue;
            const auto& attempt = *position->second;
            auto isArriving = attempt.restartsTimeout && attempt.progressAt
                && *attempt.progressAt + attempt.timeout > now;
            if (isArriving)
                m_deadlines.emplace(*attempt.progressAt + attempt.timeout, id);
            else
                finish(position, CURLE_OPERATION_TIMEDOUT);
        }
    }

    template <typename Work> void postIfAlive(Work work)
    {
        asio::post(m_loop, [work = std::move(work), alive = std::weak_ptr(m_alive)] {
            if (!alive.expired())
                work();
        });
    }

    // Postpones the call to the next turn of the loop, as libcurl must not be called from its own callback.
    void scheduleSocketAction()
    {
        if (std::exchange(m_isActionScheduled, true))
            return;
        postIfAlive([this] {
            m_isActionScheduled = false;
            runSocketAction(CURL_SOCKET_TIMEOUT, 0);
        });
    }

    void runSocketAction(curl_socket_t handle, int events)
    {
        int running = 0;
        curl_multi_socket_action(m_multi, handle, events, &running);
        collectFinished();
    }

    void collectFinished()
    {
        int left = 0;
        while (auto* message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            HttpAttempt* raw = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &raw);
            auto code = message->data.result;
            auto position = m_attempts.find(raw->id);
            assert(position != m_attempts.end());
            finish(position, code);
        }
    }

    void finish(Attempts::iterator position, CURLcode code)
    {
        auto attempt = std::move(position->second);
        m_attempts.erase(position);
        auto end = describeEnd(*attempt, code);
        release(*attempt);
        auto wasSilent = code == CURLE_OPERATION_TIMEDOUT && attempt->sends > 0 && !end.status;
        if (wasSilent)
            abandonIdleConnections(attempt->address);
        attempt->done(end, std::move(attempt->answer));
    }

    // Connections to an address may go silent together, so after a time-out without an answer the idle ones
    // are suspects: the next requests would time out on them one after another. libcurl finds a connection
    // that is shut down when it looks for one to reuse, and opens another.
    void abandonIdleConnections(const std::string& address)
    {
        for (auto& [handle, watched] : m_sockets) {
            // libcurl waits for events of each connection that is in use.
            if (watched->address != address || watched->pollFlags != 0)
                continue;
            // Fails only for a connection that is closed already.
            asio::error_code ignored;
            watched->socket.shutdown(asio::socket_base::shutdown_both, ignored);
        }
    }

    asio::io_context& m_loop;
    asio::steady_timer m_curlTimer;
    asio::steady_timer m_deadlineTimer;
    Clock::time_point m_deadlineTimerExpiry { Clock::time_point::max() };
    const TargetClientLimits m_limits;
    CURLM* m_multi;
    std::unordered_map<curl_socket_t, std::shared_ptr<WatchedSocket>> m_sockets;
    std::unordered_map<std::string, std::uint32_t> m_openConnections;
    Attempts m_attempts;
    // Entries of attempts that have ended stay until their deadline.
    std::multimap<Clock::time_point, AttemptId> m_deadlines;
    std::vector<CURL*> m_idle;
    bool m_isActionScheduled { false };
    // When libcurl is to be called next, and when m_curlTimer expires.
    Clock::time_point m_nextAction { Clock::time_point::max() };
    Clock::time_point m_curlTimerExpiry { Clock::time_point::max() };
    // Posted work holds a weak pointer to it, to detect that this object is destroyed.
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

TargetClient::TargetClient(asio::io_context& loop, TargetClientLimits limits)
    : m_impl(std::make_unique<Impl>(loop, limits))
{
}

TargetClient::~TargetClient() = default;

void TargetClient::start(AttemptId id, const TargetRequest& request, AnswerSink sink, Done done)
{
    m_impl->start(id, request, std::move(sink), std::move(done));
}

void TargetClient::resume(AttemptId id) { m_impl->resume(id); }

void TargetClient::cancel(AttemptId id) { m_impl->cancel(id); }

} // namespace fulmar

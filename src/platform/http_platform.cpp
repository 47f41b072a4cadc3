#include "platform/http_platform.h"

#include "platform/wire.h"

#include <cassert>
#include <curl/curl.h>
#include <fmt/format.h>
#include <map>
#include <utility>

namespace fulmar {

namespace {

constexpr std::size_t maxReplyBytes = 64U << 20U;

constexpr long statusOk = 200;
constexpr long statusNoContent = 204;
constexpr long statusBadRequest = 400;
constexpr long statusNotFound = 404;
constexpr long statusConflict = 409;
constexpr long statusTooManyRequests = 429;

struct EasyCleanup {
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
struct ListCleanup {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
struct CurlFree {
    void operator()(char* text) const { curl_free(text); }
};

enum class Method : std::uint8_t {
    Get,
    Post,
    Put,
};

// State of one HTTP request, shared with libcurl's callbacks.
struct HttpExchange {
    bool mayResend { false };
    int sends { 0 };
    std::string body;
};

// libcurl calls this each time it is about to send the request. It silently resends a request when a reused
// connection breaks before the reply; a resend of a write is aborted here.
int beforeSend(void* context, char*, char*, int, int)
{
    auto& exchange = *static_cast<HttpExchange*>(context);
    if (exchange.sends > 0 && !exchange.mayResend)
        return CURL_PREREQFUNC_ABORT;
    ++exchange.sends;
    return CURL_PREREQFUNC_OK;
}

std::size_t collectBody(char* data, std::size_t size, std::size_t count, void* context)
{
    auto& exchange = *static_cast<HttpExchange*>(context);
    const auto bytes = size * count;
    if (exchange.body.size() + bytes > maxReplyBytes)
        return 0;
    exchange.body.append(data, bytes);
    return bytes;
}

// Converts an error status. The platform rejects with 400, 404, 409 or 429 before it executes anything; after
// any other error status the call may have run.
tl::unexpected<Failure> failureFromStatus(long status, const std::string& body)
{
    auto detail = fmt::format("platform answered {}: {}", status, body.substr(0, 200));
    switch (status) {
    case statusConflict:
        return notRun(Reason::Conflict, std::move(detail));
    case statusNotFound:
        return notRun(Reason::NotFound, std::move(detail));
    case statusBadRequest:
        return notRun(Reason::BadInput, std::move(detail));
    case statusTooManyRequests:
        return notRun(Reason::StoreUnavailable, std::move(detail));
    default:
        return mayHaveRun(Reason::StoreUnavailable, std::move(detail));
    }
}

// A body that does not parse, despite a success status, leaves the result of a write unknown.
template <typename T> Result<T> parsedReply(Result<T> parsed)
{
    if (!parsed)
        return mayHaveRun(
            Reason::StoreUnavailable, "cannot parse the platform's reply: " + parsed.error().detail);
    return parsed;
}

Result<void> discardBody(const Result<std::string>& reply)
{
    if (!reply)
        return tl::unexpected(reply.error());
    return {};
}

} // namespace

class HttpPlatform::Session {
public:
    explicit Session(HttpPlatformOptions options)
        : m_options(std::move(options))
    {
        [[maybe_unused]] static const auto initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
        m_easy.reset(curl_easy_init());
        assert(m_easy);
        m_headers.reset(curl_slist_append(nullptr, "Content-Type: application/json"));
        m_headers.reset(curl_slist_append(m_headers.release(), "Expect:"));
    }

    [[nodiscard]] Result<std::string> get(const std::string& path)
    {
        ++m_traffic.reads;
        return call(Method::Get, path, {});
    }
    // Returns the error without sending anything if the body could not be encoded.
    [[nodiscard]] Result<std::string> send(
        Method method, const std::string& path, const Result<std::string>& body)
    {
        if (!body)
            return body;
        ++m_traffic.writes;
        return call(method, path, *body);
    }

    [[nodiscard]] std::string escape(const std::string& text) const
    {
        std::unique_ptr<char, CurlFree> escaped(
            curl_easy_escape(m_easy.get(), text.data(), static_cast<int>(text.size())));
        return escaped.get();
    }

    [[nodiscard]] const PlatformTraffic& traffic() const { return m_traffic; }

    [[nodiscard]] Version workersVersion() const { return m_workersVersion; }

    // Merges changed worker reports into the cached ones and returns all reports.
    [[nodiscard]] std::vector<WorkerReport> apply(wire::WorkerChanges changes)
    {
        if (changes.complete)
            m_workers.clear();
        for (auto& report : changes.workers)
            m_workers.insert_or_assign(report.worker, std::move(report));
        m_workersVersion = changes.version;
        std::vector<WorkerReport> reports;
        reports.reserve(m_workers.size());
        for (const auto& [worker, report] : m_workers)
            reports.push_back(report);
        return reports;
    }

private:
    Result<std::string> call(Method method, const std::string& path, const std::string& body)
    {
        HttpExchange exchange { method == Method::Get, 0, {} };
        prepare(method, path, body, exchange);
        const auto code = curl_easy_perform(m_easy.get());
        countBytes();
        auto reply = toResult(code, exchange);
        if (!reply && reply.error().reason == Reason::StoreUnavailable)
            ++m_traffic.failures;
        return reply;
    }

    void prepare(Method method, const std::string& path, const std::string& body, HttpExchange& exchange)
    {
        auto* easy = m_easy.get();
        // Resets the options but keeps the connection open.
        curl_easy_reset(easy);
        curl_easy_setopt(easy, CURLOPT_URL, fmt::format("http://{}{}", m_options.address, path).c_str());
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(
            easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(m_options.connectTimeout.count()));
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(m_options.timeout.count()));
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, m_headers.get());
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, beforeSend);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, &exchange);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, collectBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &exchange);
        if (method == Method::Get)
            return;
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
        if (method == Method::Put)
            curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "PUT");
    }

    Result<std::string> toResult(CURLcode code, HttpExchange& exchange)
    {
        if (code != CURLE_OK) {
            auto detail = fmt::format("{}: {}", m_options.address, curl_easy_strerror(code));
            if (exchange.sends == 0)
                return notRun(Reason::StoreUnavailable, std::move(detail));
            return mayHaveRun(Reason::StoreUnavailable, std::move(detail));
        }
        long status = 0;
        curl_easy_getinfo(m_easy.get(), CURLINFO_RESPONSE_CODE, &status);
        if (status == statusOk || status == statusNoContent)
            return std::move(exchange.body);
        return failureFromStatus(status, exchange.body);
    }

    void countBytes()
    {
        long requestBytes = 0;
        long headerBytes = 0;
        curl_off_t uploaded = 0;
        curl_off_t downloaded = 0;
        curl_easy_getinfo(m_easy.get(), CURLINFO_REQUEST_SIZE, &requestBytes);
        curl_easy_getinfo(m_easy.get(), CURLINFO_HEADER_SIZE, &headerBytes);
        curl_easy_getinfo(m_easy.get(), CURLINFO_SIZE_UPLOAD_T, &uploaded);
        curl_easy_getinfo(m_easy.get(), CURLINFO_SIZE_DOWNLOAD_T, &downloaded);
        m_traffic.bytesSent += static_cast<std::uint64_t>(requestBytes + uploaded);
        m_traffic.bytesReceived += static_cast<std::uint64_t>(headerBytes + downloaded);
    }

    HttpPlatformOptions m_options;
    std::unique_ptr<CURL, EasyCleanup> m_easy;
    std::unique_ptr<curl_slist, ListCleanup> m_headers;
    PlatformTraffic m_traffic;
    // Cache of the workers' latest reports, so that only changed ones are fetched.
    std::map<VmId, WorkerReport> m_workers;
    Version m_workersVersion { 0 };
};

HttpPlatform::HttpPlatform(HttpPlatformOptions options)
    : m_session(std::make_unique<Session>(std::move(options)))
{
}
HttpPlatform::HttpPlatform(HttpPlatform&&) noexcept = default;
HttpPlatform& HttpPlatform::operator=(HttpPlatform&&) noexcept = default;
HttpPlatform::~HttpPlatform() = default;

Result<Version> HttpPlatform::commit(const Transaction& transaction)
{
    return m_session->send(Method::Post, "/v1/table/commit", wire::encode(transaction))
        .and_then([](const std::string& body) { return parsedReply(wire::decodeVersion(body)); });
}

Result<Changes> HttpPlatform::read(const std::string& prefix, Version since)
{
    return m_session->get(fmt::format("/v1/table/rows?prefix={}&since={}", m_session->escape(prefix), since))
        .and_then([](const std::string& body) { return parsedReply(wire::decodeChanges(body)); });
}

Result<void> HttpPlatform::putObject(const std::string& name, const std::string& content)
{
    return discardBody(m_session->send(Method::Put, "/v1/objects?name=" + m_session->escape(name), content));
}

Result<std::string> HttpPlatform::getObject(const std::string& name)
{
    return m_session->get("/v1/objects?name=" + m_session->escape(name));
}

Result<std::vector<ListedVm>> HttpPlatform::listVms()
{
    return m_session->get("/v1/vms").and_then(
        [](const std::string& body) { return parsedReply(wire::decodeListedVms(body)); });
}

Result<void> HttpPlatform::rebootVm(const VmId& vm, const OperationId& operation)
{
    return discardBody(m_session->send(
        Method::Post, "/v1/vms/reboot?vm=" + m_session->escape(vm.value()), wire::encode(operation)));
}

Result<void> HttpPlatform::startTask(const VmId& worker, const TaskStart& start)
{
    return discardBody(m_session->send(
        Method::Post, "/v1/workers/tasks?worker=" + m_session->escape(worker.value()), wire::encode(start)));
}

Result<void> HttpPlatform::renewLeases(
    const VmId& worker, const std::vector<TaskId>& tasks, std::chrono::milliseconds lease)
{
    return discardBody(
        m_session->send(Method::Post, "/v1/workers/leases?worker=" + m_session->escape(worker.value()),
            wire::encode(wire::LeaseRenewal { tasks, lease })));
}

Result<void> HttpPlatform::orderTask(
    const VmId& worker, const TaskId& task, TaskOrder order, const OperationId& operation)
{
    return discardBody(
        m_session->send(Method::Post, "/v1/workers/orders?worker=" + m_session->escape(worker.value()),
            wire::encode(wire::TaskOrderRequest { task, order, operation })));
}

Result<std::vector<WorkerReport>> HttpPlatform::listWorkers()
{
    return m_session->get(fmt::format("/v1/workers?since={}", m_session->workersVersion()))
        .and_then([](const std::string& body) { return parsedReply(wire::decodeWorkerChanges(body)); })
        .map([this](wire::WorkerChanges changes) { return m_session->apply(std::move(changes)); });
}

const PlatformTraffic& HttpPlatform::traffic() const { return m_session->traffic(); }

} // namespace fulmar

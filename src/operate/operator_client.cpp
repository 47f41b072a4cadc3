#include "operate/operator_client.h"

#include "operate/timeline.h"

#include <curl/curl.h>
#include <fmt/format.h>
#include <future>
#include <memory>

namespace fulmar::operate {

namespace {

using std::chrono::milliseconds;
using Steady = std::chrono::steady_clock;

constexpr milliseconds maxConnectTime { 500 };
constexpr std::size_t maxReplyBytes = std::size_t(64) << 20;
// Shown of a reply that is no answer.
constexpr std::size_t maxProblemBytes = 200;

struct HttpReplyText {
    long status { 0 };
    std::string body;
};

struct Released {
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using Handle = std::unique_ptr<CURL, Released>;
using HeaderList = std::unique_ptr<curl_slist, Released>;

std::size_t appendReply(char* data, std::size_t size, std::size_t count, void* target)
{
    auto& body = *static_cast<std::string*>(target);
    if (body.size() + size * count > maxReplyBytes)
        return 0;
    body.append(data, size * count);
    return size * count;
}

// Posts `body`, or gets the URL if there is none. Without a connection nothing has run at the server.
Result<HttpReplyText> exchange(const std::string& url, const std::string* body, milliseconds timeout)
{
    HttpReplyText reply;
    Handle handle(curl_easy_init());
    HeaderList headers(curl_slist_append(nullptr, "Content-Type: application/json"));
    curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, long(timeout.count()));
    curl_easy_setopt(
        handle.get(), CURLOPT_CONNECTTIMEOUT_MS, long(std::min(timeout, maxConnectTime).count()));
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &appendReply);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &reply.body);
    if (body) {
        curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE, long(body->size()));
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, body->c_str());
    }
    auto code = curl_easy_perform(handle.get());
    long connections = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_NUM_CONNECTS, &connections);
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &reply.status);
    if (code == CURLE_OK)
        return reply;
    std::string problem = curl_easy_strerror(code);
    if (code == CURLE_COULDNT_CONNECT || connections == 0)
        return notRun(Reason::NoTarget, std::move(problem));
    return mayHaveRun(Reason::DeadlineExceeded, std::move(problem));
}

milliseconds remaining(Steady::time_point deadline)
{
    return std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(deadline - Steady::now()));
}

std::string urlEncoded(const std::string& text)
{
    Handle handle(curl_easy_init());
    std::unique_ptr<char, decltype(&curl_free)> encoded(
        curl_easy_escape(handle.get(), text.data(), int(text.size())), &curl_free);
    return encoded ? encoded.get() : "";
}

Result<std::vector<Event>> fetchEvents(
    const std::string& server, const std::string& statement, milliseconds timeout)
{
    auto url = fmt::format("http://{}/v1/timeline?format=json&statement={}", server, urlEncoded(statement));
    auto reply = exchange(url, nullptr, timeout);
    if (!reply)
        return tl::unexpected(reply.error());
    return timelineFromJson(reply->body);
}

// A server's answer. A refusal of the HTTP server itself comes before anything is done.
Result<Answer> ask(const std::string& server, const std::string& body, milliseconds timeout)
{
    auto reply = exchange(fmt::format("http://{}/v1/operate", server), &body, timeout);
    if (!reply)
        return tl::unexpected(reply.error());
    if (auto answer = answerFromJson(reply->body))
        return answer;
    auto problem = fmt::format("HTTP status {}: {}", reply->status, reply->body.substr(0, maxProblemBytes));
    bool isRefusal = reply->status >= 400 && reply->status < 500;
    return tl::unexpected(
        Failure { isRefusal ? Outcome::NotRun : Outcome::MayHaveRun, Reason::BadInput, std::move(problem) });
}

} // namespace

OperatorClient::OperatorClient(std::vector<std::string> servers, milliseconds timeout)
    : m_servers(std::move(servers))
    , m_timeout(timeout)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
}

// Each server but the last gets half of the time that is left.
Answer OperatorClient::send(const OperatorRequest& request) const
{
    auto deadline = Steady::now() + m_timeout;
    auto body = toJson(request);
    bool mayHaveReached = false;
    std::string problems;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        auto left = remaining(deadline);
        auto answer = ask(m_servers[i], body, i + 1 == m_servers.size() ? left : left / 2);
        if (answer && answer->status != AnswerStatus::Unavailable)
            return std::move(*answer);
        mayHaveReached = mayHaveReached || (!answer && answer.error().outcome != Outcome::NotRun);
        problems += fmt::format("{}{}: {}", problems.empty() ? "" : "; ", m_servers[i],
            answer ? answer->message : answer.error().detail);
    }
    if (mayHaveReached)
        return sentence(AnswerStatus::Unknown,
            fmt::format("no answer ({}); send it again with --id {} to find out", problems,
                request.origin.id.value()));
    return sentence(AnswerStatus::Unavailable, fmt::format("nothing was recorded ({})", problems));
}

CollectedTimeline OperatorClient::collectTimeline(const std::string& statement) const
{
    std::vector<std::future<Result<std::vector<Event>>>> replies;
    replies.reserve(m_servers.size());
    for (const auto& server : m_servers)
        replies.push_back(
            std::async(std::launch::async, [&] { return fetchEvents(server, statement, m_timeout); }));
    CollectedTimeline collected;
    std::vector<std::vector<Event>> lists;
    for (std::size_t i = 0; i < replies.size(); ++i) {
        if (auto events = replies[i].get())
            lists.push_back(std::move(*events));
        else
            collected.silentServers.push_back(m_servers[i]);
    }
    collected.events = mergeEvents(std::move(lists));
    return collected;
}

} // namespace fulmar::operate

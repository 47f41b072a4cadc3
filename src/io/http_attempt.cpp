#include "io/http_attempt.h"

#include "serve/attempt_verdict.h"

#include <algorithm>
#include <array>
#include <strings.h>

namespace fulmar {

namespace {

// Hop-by-hop headers (RFC 9110, 7.6.1) and those that libcurl sets itself.
constexpr std::array<std::string_view, 10> connectionHeaders { "connection", "keep-alive",
    "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
    "content-length", "proxy-connection" };

// With this header a target announces that it is leaving.
constexpr std::string_view targetStateHeader = "Fulmar-Target-State";
// With this header a target states that it did not run the request.
constexpr std::string_view outcomeHeader = "Fulmar-Outcome";

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool isConnectionHeader(std::string_view name)
{
    return std::any_of(connectionHeaders.begin(), connectionHeaders.end(),
        [&](std::string_view each) { return equalsIgnoringCase(each, name); });
}

std::string_view findHeader(const std::vector<HeaderField>& headers, std::string_view name)
{
    for (const auto& [each, value] : headers)
        if (equalsIgnoringCase(each, name))
            return value;
    return {};
}

// Called when a connection is ready, just before the request is written. Aborts libcurl's own resend.
int beforeSend(void* user, char*, char*, int, int)
{
    auto& attempt = *static_cast<HttpAttempt*>(user);
    return ++attempt.sends > 1 ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

void collectHead(HttpAttempt& attempt)
{
    long status = 0;
    curl_easy_getinfo(attempt.easy, CURLINFO_RESPONSE_CODE, &status);
    attempt.answer.status = static_cast<std::uint32_t>(status);
    attempt.answer.headers.clear();
    curl_header* previous = nullptr;
    while (auto* header = curl_easy_nextheader(attempt.easy, CURLH_HEADER, -1, previous)) {
        attempt.answer.headers.emplace_back(header->name, header->value);
        previous = header;
    }
}

void removeConnectionHeaders(std::vector<HeaderField>& headers)
{
    std::erase_if(headers, [](const HeaderField& field) {
        return isConnectionHeader(field.first) || equalsIgnoringCase(field.first, outcomeHeader);
    });
}

void beginStreaming(HttpAttempt& attempt)
{
    collectHead(attempt);
    curl_off_t length = -1;
    curl_easy_getinfo(attempt.easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
    HttpAnswer head { attempt.answer.status, attempt.answer.headers, {} };
    removeConnectionHeaders(head.headers);
    attempt.isStreaming = true;
    attempt.sink.begin(std::move(head), length < 0 ? std::nullopt : std::optional<std::uint64_t>(length));
    attempt.isPaused = !attempt.sink.append(std::move(attempt.answer.body));
    attempt.answer.body.clear();
}

// Buffers the answer until it exceeds maxBufferedBytes, then streams it to the sink.
std::size_t onBody(char* data, std::size_t size, std::size_t count, void* user)
{
    auto& attempt = *static_cast<HttpAttempt*>(user);
    auto bytes = size * count;
    if (attempt.isPaused)
        return CURL_WRITEFUNC_PAUSE;
    attempt.progressAt = asio::steady_timer::clock_type::now();
    if (attempt.onProgress)
        attempt.onProgress();
    if (attempt.isStreaming) {
        attempt.isPaused = !attempt.sink.append(std::string(data, bytes));
        return bytes;
    }
    attempt.answer.body.append(data, bytes);
    if (attempt.answer.body.size() > attempt.maxBufferedBytes)
        beginStreaming(attempt);
    return bytes;
}

serve::BodyFraming framingOf(const HttpAttempt& attempt)
{
    const auto& [status, headers, body] = attempt.answer;
    if (attempt.isHeadRequest || status == 204 || status == 304)
        return serve::BodyFraming::None;
    if (equalsIgnoringCase(findHeader(headers, "transfer-encoding"), "chunked"))
        return serve::BodyFraming::Chunked;
    return findHeader(headers, "content-length").empty() ? serve::BodyFraming::UntilClose
                                                         : serve::BodyFraming::ContentLength;
}

serve::TransferStop stopOf(CURLcode code)
{
    switch (code) {
    case CURLE_OK:
        return serve::TransferStop::Finished;
    case CURLE_COULDNT_CONNECT:
        return serve::TransferStop::ConnectFailed;
    case CURLE_SEND_ERROR:
        return serve::TransferStop::WriteFailed;
    case CURLE_OPERATION_TIMEDOUT:
        return serve::TransferStop::TimedOut;
    case CURLE_GOT_NOTHING:
    case CURLE_RECV_ERROR:
    case CURLE_PARTIAL_FILE:
    case CURLE_ABORTED_BY_CALLBACK:
        return serve::TransferStop::Reset;
    default:
        return serve::TransferStop::Malformed;
    }
}

serve::TransferFacts gatherFacts(HttpAttempt& attempt, CURLcode code)
{
    collectHead(attempt);
    curl_off_t length = 0;
    curl_off_t received = 0;
    curl_easy_getinfo(attempt.easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
    curl_easy_getinfo(attempt.easy, CURLINFO_SIZE_DOWNLOAD_T, &received);
    serve::TransferFacts facts;
    facts.stop = stopOf(code);
    // A flag, not a number of bytes: once a connection was ready, part of the request may have been sent.
    facts.requestBytesSent = attempt.sends > 0 ? 1 : 0;
    if (attempt.answer.status > 0)
        facts.status = static_cast<int>(attempt.answer.status);
    facts.framing = framingOf(attempt);
    facts.contentLength = std::uint64_t(std::max<curl_off_t>(length, 0));
    facts.bodyBytes = std::uint64_t(received);
    // libcurl reports success for a chunked answer only after its last chunk.
    facts.lastChunkSeen = code == CURLE_OK;
    facts.targetLeaving
        = equalsIgnoringCase(findHeader(attempt.answer.headers, targetStateHeader), "leaving");
    facts.responseStarted = attempt.isStreaming;
    if (!attempt.isStreaming)
        facts.bufferedBytes = attempt.answer.body.size();
    return facts;
}

curl_slist* buildHeaders(const TargetRequest& request)
{
    // Empty entries remove the headers that libcurl adds by default.
    curl_slist* list = curl_slist_append(nullptr, "Expect:");
    if (findHeader(request.headers, "accept").empty())
        list = curl_slist_append(list, "Accept:");
    if (findHeader(request.headers, "content-type").empty())
        list = curl_slist_append(list, "Content-Type:");
    for (const auto& [name, value] : request.headers)
        if (!isConnectionHeader(name))
            list = curl_slist_append(list, (value.empty() ? name + ";" : name + ": " + value).c_str());
    return list;
}

} // namespace

void prepare(HttpAttempt& attempt, const TargetRequest& request)
{
    auto* easy = attempt.easy;
    attempt.isHeadRequest = request.method == "HEAD";
    attempt.headers = buildHeaders(request);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, attempt.headers);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, beforeSend);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &attempt);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &attempt);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &attempt);
}

// A 503 with the outcome header tells that the target did not run the request.
serve::AttemptEnd describeEnd(HttpAttempt& attempt, CURLcode code)
{
    auto end = serve::classifyTransfer(gatherFacts(attempt, code));
    bool reportsNotRun = end.status == 503
        && equalsIgnoringCase(findHeader(attempt.answer.headers, outcomeHeader), toString(Outcome::NotRun));
    if (reportsNotRun)
        end.outcome = Outcome::NotRun;
    removeConnectionHeaders(attempt.answer.headers);
    return end;
}

serve::AttemptEnd describeCancellation(HttpAttempt& attempt)
{
    auto facts = gatherFacts(attempt, CURLE_ABORTED_BY_CALLBACK);
    facts.stop = serve::TransferStop::Cancelled;
    return serve::classifyTransfer(facts);
}

} // namespace fulmar

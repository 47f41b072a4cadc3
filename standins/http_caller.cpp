#include "http_caller.h"

#include <algorithm>
#include <curl/curl.h>
#include <fmt/format.h>
#include <string_view>

namespace fulmar::standin {

namespace {

constexpr std::string_view outcomeHeader = "fulmar-outcome:";
constexpr auto connectTimeout = std::chrono::milliseconds(1'000);

struct EasyCleanup {
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
struct ListCleanup {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using HeaderList = std::unique_ptr<curl_slist, ListCleanup>;

struct Exchange {
    CallerReply reply;
    int sends { 0 };
};

// Refuses the silent second send that libcurl makes when a reused connection dies.
int beforeSend(void* context, char*, char*, int, int)
{
    auto& exchange = *static_cast<Exchange*>(context);
    if (exchange.sends > 0)
        return CURL_PREREQFUNC_ABORT;
    ++exchange.sends;
    return CURL_PREREQFUNC_OK;
}

std::size_t collectBody(char* data, std::size_t size, std::size_t count, void* context)
{
    static_cast<Exchange*>(context)->reply.body.append(data, size * count);
    return size * count;
}

std::size_t readHeader(char* data, std::size_t size, std::size_t count, void* context)
{
    std::string_view line(data, size * count);
    const auto sameLetter = [](char left, char right) { return std::tolower(left) == right; };
    if (line.size() > outcomeHeader.size()
        && std::equal(outcomeHeader.begin(), outcomeHeader.end(), line.begin(),
            [&](char expected, char found) { return sameLetter(found, expected); })) {
        line.remove_prefix(outcomeHeader.size());
        const auto begin = line.find_first_not_of(' ');
        const auto end = line.find_last_not_of(" \r\n");
        if (begin != std::string_view::npos)
            static_cast<Exchange*>(context)->reply.outcome = line.substr(begin, end - begin + 1);
    }
    return size * count;
}

HeaderList headersOf(const CallerRequest& request)
{
    HeaderList list(curl_slist_append(nullptr, "Expect:"));
    for (const auto& [name, value] : request.headers)
        list.reset(curl_slist_append(list.release(), fmt::format("{}: {}", name, value).c_str()));
    return list;
}

} // namespace

class HttpCaller::Session {
public:
    Session()
    {
        [[maybe_unused]] static const auto initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
        m_easy.reset(curl_easy_init());
    }

    CallerReply call(const CallerRequest& request)
    {
        Exchange exchange;
        const auto headers = headersOf(request);
        prepare(request, exchange);
        curl_easy_setopt(m_easy.get(), CURLOPT_HTTPHEADER, headers.get());
        const auto code = curl_easy_perform(m_easy.get());
        return finish(code, exchange);
    }

private:
    void prepare(const CallerRequest& request, Exchange& exchange)
    {
        auto* easy = m_easy.get();
        // Resets the options; the open connections stay.
        curl_easy_reset(easy);
        curl_easy_setopt(
            easy, CURLOPT_URL, fmt::format("http://{}{}", request.address, request.path).c_str());
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connectTimeout.count()));
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, beforeSend);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, &exchange);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, collectBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &exchange);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, readHeader);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &exchange);
        if (request.method == "GET")
            return;
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    }

    CallerReply finish(CURLcode code, Exchange& exchange)
    {
        auto& reply = exchange.reply;
        curl_off_t microseconds = 0;
        curl_easy_getinfo(m_easy.get(), CURLINFO_TOTAL_TIME_T, &microseconds);
        reply.elapsed = Duration(microseconds);
        if (code != CURLE_OK) {
            reply.end = exchange.sends == 0 ? ExchangeEnd::NotSent : ExchangeEnd::Cut;
            return std::move(reply);
        }
        long status = 0;
        curl_easy_getinfo(m_easy.get(), CURLINFO_RESPONSE_CODE, &status);
        reply.end = ExchangeEnd::Answered;
        reply.status = static_cast<int>(status);
        return std::move(reply);
    }

    std::unique_ptr<CURL, EasyCleanup> m_easy;
};

HttpCaller::HttpCaller()
    : m_session(std::make_unique<Session>())
{
}
HttpCaller::HttpCaller(HttpCaller&&) noexcept = default;
HttpCaller::~HttpCaller() = default;

CallerReply HttpCaller::call(const CallerRequest& request) { return m_session->call(request); }

} // namespace fulmar::standin

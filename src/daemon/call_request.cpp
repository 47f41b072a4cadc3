#include "daemon/call_request.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fmt/format.h>
#include <optional>
#include <utility>
#include <xxhash.h>

namespace fulmar {

namespace {

constexpr std::size_t maxKeyBytes = 255;
constexpr std::chrono::milliseconds maxTimeout = std::chrono::hours(24);
constexpr std::string_view timeoutHeader = "Request-Timeout-Ms";

std::uint64_t fingerprintOf(const CallerRequest& request)
{
    auto hash = XXH3_64bits(request.method.data(), request.method.size());
    hash = XXH3_64bits_withSeed(request.path.data(), request.path.size(), hash);
    return XXH3_64bits_withSeed(request.body.data(), request.body.size(), hash);
}

// Splits "/service/rest?query" into "service" and "/rest?query".
std::pair<std::string_view, std::string_view> splitService(std::string_view path)
{
    path.remove_prefix(std::min<std::size_t>(1, path.size()));
    auto end = std::min(path.find_first_of("/?"), path.size());
    return { path.substr(0, end), path.substr(end) };
}

Result<std::optional<Duration>> readTimeout(const std::vector<HeaderField>& headers)
{
    const auto* text = findHeader(headers, timeoutHeader);
    if (!text)
        return std::optional<Duration>();
    std::int64_t count = 0;
    auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), count);
    bool isNumber = error == std::errc() && end == text->data() + text->size();
    if (!isNumber || count < 1 || count > maxTimeout.count())
        return notRun(Reason::BadInput,
            fmt::format("{} must be a whole number from 1 to {}", timeoutHeader, maxTimeout.count()));
    return std::optional<Duration>(std::chrono::milliseconds(count));
}

bool isValidKey(const std::string& key)
{
    auto isPrintable = [](char each) { return each >= ' ' && each <= '~'; };
    return !key.empty() && key.size() <= maxKeyBytes && std::all_of(key.begin(), key.end(), isPrintable);
}

} // namespace

const std::string* findHeader(const std::vector<HeaderField>& headers, std::string_view name)
{
    auto isSame = [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b));
    };
    for (const auto& [each, value] : headers)
        if (std::equal(each.begin(), each.end(), name.begin(), name.end(), isSame))
            return &value;
    return nullptr;
}

Result<serve::CallInfo> parseCallInfo(const CallerRequest& request)
{
    auto [service, rest] = splitService(request.path);
    if (service.empty())
        return notRun(Reason::BadInput, "the first path segment must name a service");
    auto timeout = readTimeout(request.headers);
    if (!timeout)
        return tl::unexpected(timeout.error());
    serve::CallInfo info { ServiceId(std::string(service)), request.method, std::string(rest), request.caller,
        std::nullopt, *timeout, fingerprintOf(request) };
    if (const auto* key = findHeader(request.headers, idempotencyKeyHeader)) {
        if (!isValidKey(*key))
            return notRun(Reason::BadInput,
                fmt::format(
                    "{} must have 1 to {} printable ASCII characters", idempotencyKeyHeader, maxKeyBytes));
        info.idempotencyKey = *key;
    }
    return info;
}

} // namespace fulmar

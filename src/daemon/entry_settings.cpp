#include "daemon/entry_settings.h"

namespace fulmar {

namespace {

using namespace std::chrono_literals;

constexpr std::int64_t maxConnections = 60'000;
constexpr std::int64_t maxBytes = 1LL << 30;

std::chrono::milliseconds milliseconds(Duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

CallerServerSettings readCallerLimits(SettingsReader& reader)
{
    const CallerServerSettings standard;
    CallerServerSettings limits;
    limits.address = reader.takeAddress("callers", "address");
    limits.maxConnections = std::size_t(reader.takeInteger(
        "callers", "max_connections", 1, maxConnections, std::int64_t(standard.maxConnections)));
    limits.maxUrlBytes = std::size_t(
        reader.takeInteger("callers", "max_url_bytes", 64, maxBytes, std::int64_t(standard.maxUrlBytes)));
    limits.maxHeaderFieldBytes = std::size_t(reader.takeInteger(
        "callers", "max_header_bytes", 64, maxBytes, std::int64_t(standard.maxHeaderFieldBytes)));
    limits.maxHeaders = std::size_t(
        reader.takeInteger("callers", "max_headers", 1, 10'000, std::int64_t(standard.maxHeaders)));
    limits.maxBodyBytes = std::size_t(
        reader.takeInteger("callers", "max_body_bytes", 0, maxBytes, std::int64_t(standard.maxBodyBytes)));
    limits.readTimeout
        = milliseconds(reader.takeDuration("callers", "read_timeout", 100ms, 1h, standard.readTimeout));
    limits.writeTimeout
        = milliseconds(reader.takeDuration("callers", "write_timeout", 100ms, 1h, standard.writeTimeout));
    limits.callTimeout
        = milliseconds(reader.takeDuration("callers", "call_timeout", 1s, 24h, standard.callTimeout));
    return limits;
}

} // namespace

EntrySettings readEntrySettings(SettingsReader& reader)
{
    EntrySettings settings;
    settings.process = readProcessSettings(reader);
    settings.callers = readCallerLimits(reader);
    settings.targetConnectTimeout
        = milliseconds(reader.takeDuration("targets", "connect_timeout", 10ms, 1min, 1s));
    settings.maxHeldAnswerBytes
        = std::size_t(reader.takeInteger("targets", "max_held_answer_bytes", 1'024, maxBytes, 256LL * 1024));
    settings.balancerLag = milliseconds(reader.takeDuration("drain", "balancer_lag", 0ms, 10min, 5s));
    settings.drainLimit = milliseconds(reader.takeDuration("drain", "limit", 0ms, 24h, 2min));
    return settings;
}

} // namespace fulmar

#include "io/message_meter.h"

#include <climits>
#include <utility>

namespace fulmar {

namespace {

// A field is two strings in a vector that doubles its size.
constexpr std::size_t bytesPerField = 160;
// The server records 16 bytes for each chunk, in a vector that doubles its size: chunks of one byte cost
// 17 to 33 times the body.
constexpr std::size_t bytesPerChunk = 32;
// A body of unknown length doubles its buffer when it grows.
constexpr std::size_t growthFactor = 2;

MessageMeter& meterOf(http_parser* parser) { return *static_cast<MessageMeter*>(parser->data); }

} // namespace

MessageMeter::MessageMeter()
{
    http_parser_init(&m_parser, HTTP_REQUEST);
    m_parser.data = this;
}

void MessageMeter::fail(Verdict verdict)
{
    if (m_verdict != Verdict::Good)
        return;
    m_verdict = verdict;
    m_completedBeforeFault = m_completed;
}

int MessageMeter::onBegin(http_parser* parser)
{
    auto& meter = meterOf(parser);
    meter.m_isMidRequest = true;
    meter.m_head = meter.m_body = meter.m_cost = 0;
    return 0;
}

int MessageMeter::onHeadPart(http_parser* parser, const char*, std::size_t bytes)
{
    auto& meter = meterOf(parser);
    meter.m_head += bytes;
    meter.m_cost += bytes * growthFactor;
    if (meter.m_limits.maxHeadBytes > 0 && meter.m_head > meter.m_limits.maxHeadBytes)
        meter.fail(Verdict::HeadTooLarge);
    return 0;
}

int MessageMeter::onField(http_parser* parser, const char* begin, std::size_t bytes)
{
    meterOf(parser).m_cost += bytesPerField;
    return onHeadPart(parser, begin, bytes);
}

int MessageMeter::onHeadComplete(http_parser* parser)
{
    auto& meter = meterOf(parser);
    auto isAnnounced = parser->content_length != ULLONG_MAX;
    if (isAnnounced && meter.m_limits.maxBodyBytes > 0
        && parser->content_length > meter.m_limits.maxBodyBytes)
        meter.fail(Verdict::BodyTooLarge);
    return 0;
}

int MessageMeter::onBody(http_parser* parser, const char*, std::size_t bytes)
{
    auto& meter = meterOf(parser);
    meter.m_body += bytes;
    auto isChunked = (parser->flags & F_CHUNKED) != 0;
    meter.m_cost += bytes * (isChunked ? growthFactor : 1);
    if (meter.m_limits.maxBodyBytes > 0 && meter.m_body > meter.m_limits.maxBodyBytes)
        meter.fail(Verdict::BodyTooLarge);
    return 0;
}

int MessageMeter::onChunk(http_parser* parser)
{
    meterOf(parser).m_cost += bytesPerChunk;
    return 0;
}

int MessageMeter::onComplete(http_parser* parser)
{
    auto& meter = meterOf(parser);
    meter.m_isMidRequest = false;
    ++meter.m_completed;
    meter.m_completedCost += std::exchange(meter.m_cost, 0);
    meter.m_completedBody += std::exchange(meter.m_body, 0);
    return 0;
}

MessageMeter::Verdict MessageMeter::add(std::string_view bytes, const MessageLimits& limits)
{
    static const auto callbacks = [] {
        http_parser_settings all {};
        all.on_message_begin = onBegin;
        all.on_url = onHeadPart;
        all.on_header_field = onField;
        all.on_header_value = onHeadPart;
        all.on_headers_complete = onHeadComplete;
        all.on_body = onBody;
        all.on_chunk_header = onChunk;
        all.on_message_complete = onComplete;
        return all;
    }();
    m_limits = limits;
    std::size_t parsed = 0;
    if (!m_isOpaque)
        parsed = http_parser_execute(&m_parser, &callbacks, bytes.data(), bytes.size());
    if (parsed < bytes.size()) {
        m_isOpaque = true;
        m_cost += bytes.size() - parsed;
    }
    return m_verdict;
}

void MessageMeter::dropCompleted()
{
    m_completed = m_completedBeforeFault = m_completedCost = m_completedBody = 0;
}

} // namespace fulmar

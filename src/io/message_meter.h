#pragma once

#include <cstddef>
#include <cstdint>
#include <http_parser.h>
#include <string_view>

namespace fulmar {

// Limits of one request; 0 is none.
struct MessageLimits {
    // Request target, and names and values of all fields.
    std::size_t maxHeadBytes { 0 };
    std::size_t maxBodyBytes { 0 };
};

// Follows the bytes that a client sends on one connection and computes what the HTTP server holds of the
// request that has not been answered.
class MessageMeter {
public:
    enum class Verdict : std::uint8_t { Good, HeadTooLarge, BodyTooLarge };

    MessageMeter();
    MessageMeter(const MessageMeter&) = delete;
    MessageMeter& operator=(const MessageMeter&) = delete;

    // The first verdict that is not Good stays. `completed` of these bytes' requests were completed.
    Verdict add(std::string_view bytes, const MessageLimits&);
    // All requests completed so far have been answered: the server asks for more bytes.
    void dropCompleted();

    // What the requests held in memory cost.
    [[nodiscard]] std::size_t heldBytes() const { return m_completedCost + m_cost; }
    // Requests completed before the one that is too large.
    [[nodiscard]] std::size_t completedBeforeFault() const { return m_completedBeforeFault; }
    // Requests completed since the last dropCompleted().
    [[nodiscard]] std::size_t completed() const { return m_completed; }
    [[nodiscard]] bool isMidRequest() const { return m_isMidRequest; }
    // Bytes of the bodies of requests that are completed.
    [[nodiscard]] std::size_t completedBody() const { return m_completedBody; }

private:
    void fail(Verdict);
    static int onBegin(http_parser*);
    static int onHeadPart(http_parser*, const char*, std::size_t);
    static int onField(http_parser*, const char*, std::size_t);
    static int onHeadComplete(http_parser*);
    static int onBody(http_parser*, const char*, std::size_t);
    static int onChunk(http_parser*);
    static int onComplete(http_parser*);

    http_parser m_parser {};
    MessageLimits m_limits;
    Verdict m_verdict { Verdict::Good };
    // The bytes are no HTTP any more; the server closes the connection once it reads them.
    bool m_isOpaque { false };
    bool m_isMidRequest { false };
    std::size_t m_head { 0 };
    std::size_t m_body { 0 };
    std::size_t m_cost { 0 };
    std::size_t m_completed { 0 };
    std::size_t m_completedBeforeFault { 0 };
    std::size_t m_completedCost { 0 };
    std::size_t m_completedBody { 0 };
};

} // namespace fulmar

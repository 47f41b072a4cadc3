#include "daemon/entry.h"
#include "io/http_answers.h"

namespace fulmar {

namespace {

// Limit on the unsent bytes of one streamed answer when the caller reads slowly.
constexpr std::size_t maxUnsentBytes = 256 * 1024;

} // namespace

AnswerSink Entry::makeSink(serve::RequestId request, serve::AttemptId attempt)
{
    AnswerSink sink;
    sink.begin = [this, request, attempt](HttpAnswer head, std::optional<std::uint64_t> length) {
        auto& call = m_calls.at(request);
        if (call.isAnswered || call.streaming)
            return;
        call.streaming = attempt;
        head.headers.emplace_back(outcomeHeader, std::string(toString(Outcome::Ran)));
        m_callers->beginAnswer(request, std::move(head), length);
    };
    sink.append = [this, request, attempt](
                      std::string piece) { return appendPiece(request, attempt, std::move(piece)); };
    return sink;
}

// Sends a piece to the caller, unless the caller has been answered by another attempt. Returns false to pause
// the target while too many bytes are unsent.
bool Entry::appendPiece(serve::RequestId request, serve::AttemptId attempt, std::string piece)
{
    auto& call = m_calls.at(request);
    if (call.streaming != attempt)
        return true;
    auto bytes = piece.size();
    call.unsentBytes += bytes;
    m_callers->append(request, std::move(piece),
        [this, request, attempt, bytes](bool wasSent) { onPieceSent(request, attempt, bytes, wasSent); });
    return call.unsentBytes <= maxUnsentBytes;
}

void Entry::onPieceSent(serve::RequestId request, serve::AttemptId attempt, std::size_t bytes, bool wasSent)
{
    auto position = m_calls.find(request);
    if (position == m_calls.end())
        return;
    position->second.unsentBytes -= bytes;
    if (!wasSent) {
        endStream(request, false);
        perform(m_dispatcher.onCallerGone(request, m_clock.now()));
    } else if (position->second.unsentBytes <= maxUnsentBytes)
        m_targets.resume(attempt);
}

void Entry::endStream(serve::RequestId request, bool isComplete)
{
    m_callers->endAnswer(request, isComplete);
    auto& call = m_calls.at(request);
    call.isAnswered = true;
    call.streaming.reset();
    forgetIfDone(request);
}

} // namespace fulmar

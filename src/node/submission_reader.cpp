#include "node/submission_reader.h"

namespace fulmar::node {

namespace {

constexpr std::chrono::milliseconds readTimeout { 2'000 };
// Pause after a failed read, and before one that became due during the last one.
constexpr std::chrono::milliseconds readPause { 100 };

} // namespace

SubmissionReader::SubmissionReader(
    asio::io_context& loop, platform::StoreClient& store, std::string part, SubmissionIntake::Hooks hooks)
    : m_store(store)
    , m_part(std::move(part))
    , m_isServing(bool(hooks.admit))
    , m_intake(std::move(hooks))
    , m_timer(loop)
{
}

void SubmissionReader::read()
{
    m_isDue = true;
    if (!m_isServing || m_isBusy)
        return;
    m_isBusy = true;
    m_isDue = false;
    m_store.readAll(submissionTable, m_part, readTimeout,
        [this, isAlive = m_isAlive](const std::optional<platform::RowPage>& page) {
            if (*isAlive)
                onRead(page);
        });
}

void SubmissionReader::onRead(const std::optional<platform::RowPage>& page)
{
    if (page)
        m_intake.onRows(page->rows, m_clock.now(), m_clock.wallNow());
    m_isDue |= !page;
    if (!m_isDue) {
        m_isBusy = false;
        return;
    }
    m_timer.expires_after(readPause);
    m_timer.async_wait([this, isAlive = m_isAlive](const asio::error_code& error) {
        if (error || !*isAlive)
            return;
        m_isBusy = false;
        read();
    });
}

} // namespace fulmar::node

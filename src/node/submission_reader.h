#pragma once

#include "node/submission_intake.h"

#include <asio/steady_timer.hpp>

namespace fulmar::node {

// Reads the submissions through the store of one part for its holder, one read at a time.
class SubmissionReader {
public:
    // No read is sent if Hooks::admit is empty: the holder accepts no submissions through the store.
    SubmissionReader(asio::io_context&, platform::StoreClient&, std::string part, SubmissionIntake::Hooks);
    ~SubmissionReader() { *m_isAlive = false; }
    SubmissionReader(const SubmissionReader&) = delete;
    SubmissionReader& operator=(const SubmissionReader&) = delete;

    // There may be new rows.
    void read();
    [[nodiscard]] SubmissionIntake& intake() { return m_intake; }

private:
    void onRead(const std::optional<platform::RowPage>&);

    platform::StoreClient& m_store;
    const std::string m_part;
    const bool m_isServing;
    BootClock m_clock;
    SubmissionIntake m_intake;
    asio::steady_timer m_timer;
    // A read is in flight, or waits for the pause after the last one.
    bool m_isBusy { false };
    bool m_isDue { false };
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace fulmar::node

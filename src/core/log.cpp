#include "core/log.h"

#include "core/log_limit.h"
#include "core/ring.h"

#include <fmt/format.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

namespace fulmar {

namespace {

// Lines queued while the reader of standard output is slow; 1 to 2 MB.
constexpr std::size_t maxWaitingLines = 8'192;
constexpr std::chrono::milliseconds omittedReportInterval { 500 };

enum class Level : std::uint8_t {
    Info,
    Warning,
};

struct Line {
    Level level { Level::Info };
    std::string text;
};

log4cplus::Logger& logger()
{
    static log4cplus::Logger instance = log4cplus::Logger::getInstance("fulmar");
    return instance;
}

// Writes lines on its own thread, so that a slow reader of standard output blocks no other thread. Lines over
// the limits are dropped and their number is logged.
class LogWriter {
public:
    LogWriter()
        : m_lines(maxWaitingLines)
        , m_thread([this] { run(); })
    {
    }
    LogWriter(const LogWriter&) = delete;
    LogWriter& operator=(const LogWriter&) = delete;

    ~LogWriter()
    {
        m_lines.close();
        m_thread.join();
    }

    void write(Level level, std::string_view event, const LogFields& fields)
    {
        {
            std::lock_guard lock(m_mutex);
            if (level == Level::Info && !m_limit.admit(event, SystemClock().now()))
                return;
        }
        if (!m_lines.tryPush(Line { level, formatFields(event, fields) })) {
            std::lock_guard lock(m_mutex);
            m_limit.countDropped();
        }
    }

private:
    void run()
    {
        while (true) {
            if (auto line = m_lines.popFor(omittedReportInterval))
                print(*line);
            else if (m_lines.closed())
                return;
            std::vector<std::pair<std::string, std::uint64_t>> omitted;
            {
                std::lock_guard lock(m_mutex);
                omitted = m_limit.takeOmitted(SystemClock().now());
            }
            for (const auto& [event, count] : omitted)
                print({ Level::Warning,
                    formatFields("log-omitted", { { "kind", event }, { "lines", std::to_string(count) } }) });
        }
    }

    static void print(const Line& line)
    {
        if (line.level == Level::Warning)
            LOG4CPLUS_WARN(logger(), line.text);
        else
            LOG4CPLUS_INFO(logger(), line.text);
    }

    std::mutex m_mutex;
    LogLimit m_limit;
    BoundedRing<Line> m_lines;
    std::thread m_thread;
};

std::unique_ptr<LogWriter>& writer()
{
    static std::unique_ptr<LogWriter> instance;
    return instance;
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \t\r\n\"=") != std::string_view::npos;
}

// Quotes as a JSON string, which every log reader handles.
std::string escaped(std::string_view value)
{
    return nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

void initializeLog(std::string_view processName)
{
    static log4cplus::Initializer initializer;
    auto pattern = fmt::format("ts=%D{{%Y-%m-%dT%H:%M:%S.%q}}Z level=%p process={} %m%n", processName);
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(false, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    logger().addAppender(appender);
    logger().setLogLevel(log4cplus::INFO_LOG_LEVEL);
    writer() = std::make_unique<LogWriter>();
}

void flushLog() { writer().reset(); }

void logInfo(std::string_view event, const LogFields& fields)
{
    if (writer())
        writer()->write(Level::Info, event, fields);
}

void logWarning(std::string_view event, const LogFields& fields)
{
    if (writer())
        writer()->write(Level::Warning, event, fields);
}

std::string formatFields(std::string_view event, const LogFields& fields)
{
    std::string line = fmt::format("event={}", event);
    for (const auto& [key, value] : fields) {
        line += ' ';
        line += key;
        line += '=';
        line += needsQuotes(value) ? escaped(value) : value;
    }
    return line;
}

} // namespace fulmar

#include "core/log.h"

#include <atomic>
#include <fmt/format.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <memory>
#include <nlohmann/json.hpp>

namespace fulmar {

namespace {

std::atomic<bool> isInitialized { false };

log4cplus::Logger& logger()
{
    static log4cplus::Logger instance = log4cplus::Logger::getInstance("fulmar");
    return instance;
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \t\r\n\"=") != std::string_view::npos;
}

// JSON string escapes are a well-known quoting that every log reader handles.
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
    isInitialized = true;
}

void logInfo(std::string_view event, const LogFields& fields)
{
    if (isInitialized)
        LOG4CPLUS_INFO(logger(), formatFields(event, fields));
}

void logWarning(std::string_view event, const LogFields& fields)
{
    if (isInitialized)
        LOG4CPLUS_WARN(logger(), formatFields(event, fields));
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

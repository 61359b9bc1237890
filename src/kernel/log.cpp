#include "almondmill/kernel/log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>

namespace almondmill {

namespace {

log4cplus::LogLevel toLibraryLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

/// Initialises the logging library and holds its root logger.
struct RootLogger
{
    RootLogger();

    log4cplus::Initializer initializer;
    log4cplus::Logger logger;
};

RootLogger::RootLogger()
    : logger(log4cplus::Logger::getRoot())
{
    const log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(
            std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %m%n"));
    logger.addAppender(appender);
    logger.setLogLevel(log4cplus::WARN_LOG_LEVEL);
}

log4cplus::Logger &logger()
{
    // Never destroyed, because threads may log until the process ends.
    static auto *instance = new RootLogger;
    return instance->logger;
}

} // namespace

void setUpLog(LogLevel level)
{
    logger().setLogLevel(toLibraryLevel(level));
}

void log(LogLevel level, const char *component, const std::string &message)
{
    const auto libraryLevel = toLibraryLevel(level);
    if (logger().isEnabledFor(libraryLevel))
        logger().forcedLog(libraryLevel, std::string(component) + ": " + message);
}

} // namespace almondmill

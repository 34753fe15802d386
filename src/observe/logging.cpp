#include "tamarack/observe.hpp"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace tamarack {

namespace {

log4cxx::LoggerPtr logger() {
    return log4cxx::Logger::getRootLogger();
}

std::string with_prefix(std::string_view part, const std::string& sentence) {
    return "[" + std::string(part) + "] " + sentence;
}

} // namespace

void start_logging(std::string_view level) {
    auto layout =
        std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p %m%n"));
    auto appender =
        std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::configure(appender);
    logger()->setLevel(log4cxx::Level::toLevel(std::string(level), log4cxx::Level::getInfo()));
}

void log_debug(std::string_view part, const std::string& sentence) {
    LOG4CXX_DEBUG(logger(), with_prefix(part, sentence));
}

void log_info(std::string_view part, const std::string& sentence) {
    LOG4CXX_INFO(logger(), with_prefix(part, sentence));
}

void log_warning(std::string_view part, const std::string& sentence) {
    LOG4CXX_WARN(logger(), with_prefix(part, sentence));
}

} // namespace tamarack

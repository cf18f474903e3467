#include <LibLog/Log.h>

#include <algorithm>
#include <array>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <memory>
#include <stdexcept>
#include <string_view>

namespace Briarbend::Log
{

void configure(const std::string &level)
{
    constexpr std::array<std::string_view, 5> LEVELS{"trace", "debug", "info", "warn", "error"};
    if (std::ranges::find(LEVELS, level) == LEVELS.end()) {
        throw std::invalid_argument("log level \"" + level + "\" is not one of trace, debug, info, warn, error");
    }
    auto layout = std::make_shared<log4cxx::JSONLayout>();
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(level));
}

log4cxx::LoggerPtr logger(const std::string &part)
{
    return log4cxx::Logger::getLogger(part);
}

} // namespace Briarbend::Log

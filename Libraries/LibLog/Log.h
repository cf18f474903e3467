#pragma once

#include <log4cxx/logger.h>
#include <string>

/// Structured log lines on standard error; instances have no disks to log to.
namespace Briarbend::Log
{

/// Starts logging: one JSON object a line on standard error. The level is one of trace, debug, info, warn, error.
/// Throws std::invalid_argument for another level.
void configure(const std::string &level);

/// The logger of one part, named after its library.
log4cxx::LoggerPtr logger(const std::string &part);

} // namespace Briarbend::Log

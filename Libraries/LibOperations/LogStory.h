#pragma once

#include <chrono>
#include <cstddef>
#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace Briarbend::Operations
{

/// One line of a gateway's log.
struct LogLine {
    /// Wall time since 1970. That of a decision is when it was made, not when its line was written, at the end of the request.
    std::chrono::milliseconds time{0};
    std::string instance;
    /// The event, or for a decision which one.
    std::string what;
    /// The request that the line belongs to; empty where it belongs to none.
    std::string request;
    /// Everything else, in the line's order.
    nlohmann::ordered_json fields;
};

struct ParsedLog {
    std::vector<LogLine> lines;
    /// Lines that are no log lines of a gateway.
    std::size_t unreadable{0};
};

/// Reads logs, one JSON object a line (docs/OPERATIONS.md). Text before the object, as log collectors write it, is skipped.
ParsedLog parseLog(std::istream &stream);

/// Appends the lines of another log.
void append(ParsedLog &log, ParsedLog other);

/// The story of one request in time order: its own lines on all instances, and what these instances came to believe shortly before or
/// meanwhile about the targets that it met, the store, the configuration and themselves. Empty where the request has no line.
std::vector<LogLine> storyOf(const ParsedLog &log, std::string_view request);

/// A request worth asking about.
struct WorstRequest {
    std::string request;
    std::string instance;
    std::string route;
    unsigned status{0};
    std::chrono::milliseconds took{0};
    std::chrono::milliseconds allowed{0};
    /// The reason of its final answer, where a decision states one.
    std::string reason;
};

/// The requests worth asking about, worst first: outcome unknown, refused, served late; the longest first within each.
std::vector<WorstRequest> worstRequests(const ParsedLog &log, std::size_t most);

} // namespace Briarbend::Operations

#pragma once

#include <LibCore/Time.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace Briarbend::Log
{

/// How much a line matters when there is more to say than may be said.
enum class Importance {
    /// Told for a sample only; dropped first.
    Routine,
    /// Failed requests and changes of belief.
    Notable,
};

struct EventLogSettings {
    /// Lines a second. Half of them are kept for notable lines.
    double linesPerSecond{200};
    /// Lines that may come at once.
    double burst{400};
    /// Bytes that wait while the reader does not read; further lines are dropped.
    std::size_t bufferBytes{64UL * 1024};
};

/// Structured lines for the people on call, one JSON object a line, on a file descriptor that is never waited for. Lines beyond the rate or
/// the buffer are dropped and counted.
class EventLog
{
public:
    /// Takes over the descriptor's blocking mode.
    EventLog(int descriptor, std::string instanceName, EventLogSettings settings);
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;
    ~EventLog();

    /// Adds one line: time, instance, event, then the fields.
    void write(Importance importance, std::string_view event, const nlohmann::ordered_json &fields);
    /// Writes what the descriptor takes now.
    void flush();

    std::uint64_t droppedLines() const;

private:
    bool takeLine(Importance importance, Core::TimePoint now);

    int descriptor;
    std::string instanceName;
    EventLogSettings settings;
    std::string waiting;
    double tokens;
    Core::TimePoint tokensAt;
    std::uint64_t dropped{0};
    std::uint64_t droppedAndNotTold{0};
};

} // namespace Briarbend::Log

#include <LibLog/EventLog.h>

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace Briarbend::Log
{

namespace
{

std::int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

EventLog::EventLog(int fileDescriptor, std::string name, EventLogSettings logSettings)
    : descriptor(fileDescriptor)
    , instanceName(std::move(name))
    , settings(logSettings)
    , tokens(logSettings.burst)
    , tokensAt(Core::Clock::now())
{
    const int flags = fcntl(this->descriptor, F_GETFL);
    if (flags >= 0) {
        fcntl(this->descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

EventLog::~EventLog()
{
    this->flush();
}

bool EventLog::takeLine(Importance importance, Core::TimePoint now)
{
    const auto elapsed = std::chrono::duration<double>(now - this->tokensAt).count();
    this->tokens = std::min(this->settings.burst, this->tokens + elapsed * this->settings.linesPerSecond);
    this->tokensAt = now;
    const auto reserved = importance == Importance::Routine ? this->settings.burst / 2 : 0;
    if (this->tokens < reserved + 1) {
        return false;
    }
    this->tokens -= 1;
    return true;
}

void EventLog::write(Importance importance, std::string_view event, const nlohmann::ordered_json &fields)
{
    if (!this->takeLine(importance, Core::Clock::now()) || this->waiting.size() >= this->settings.bufferBytes) {
        ++this->dropped;
        ++this->droppedAndNotTold;
        return;
    }
    nlohmann::ordered_json line{{"time_ms", wallMilliseconds()}, {"instance", this->instanceName}, {"event", event}};
    if (fields.is_object()) {
        line.update(fields);
    }
    if (this->droppedAndNotTold > 0) {
        line["dropped_lines_before"] = std::exchange(this->droppedAndNotTold, 0);
    }
    // Fields may quote what callers sent; bytes that are not UTF-8 are replaced.
    this->waiting += line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    this->waiting += '\n';
}

void EventLog::flush()
{
    std::size_t written = 0;
    while (written < this->waiting.size()) {
        const auto count = ::write(this->descriptor, this->waiting.data() + written, this->waiting.size() - written);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    this->waiting.erase(0, written);
}

std::uint64_t EventLog::droppedLines() const
{
    return this->dropped;
}

} // namespace Briarbend::Log

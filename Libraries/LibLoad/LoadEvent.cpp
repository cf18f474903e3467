#include <LibLoad/LoadEvent.h>

#include <nlohmann/json.hpp>

namespace Briarbend::Load
{

namespace
{

std::int64_t nanoseconds(Core::TimePoint time)
{
    return time.time_since_epoch() / std::chrono::nanoseconds(1);
}

} // namespace

std::string toLine(const LoadEvent &event)
{
    nlohmann::json json{{"intended_ns", nanoseconds(event.intended)},
                        {"sent_ns", nanoseconds(event.sent)},
                        {"done_ns", nanoseconds(event.done)},
                        {"attempt", event.attempt},
                        {"outcome", nameOf(event.outcome)},
                        {"status", event.status},
                        {"method", event.method},
                        {"path", event.path},
                        {"key", event.key},
                        {"request_id", event.requestId},
                        {"instance", event.instance},
                        {"run", event.run},
                        {"checksum_ok", nullptr}};
    if (event.isChecksumRight) {
        json["checksum_ok"] = *event.isChecksumRight;
    }
    return json.dump();
}

} // namespace Briarbend::Load

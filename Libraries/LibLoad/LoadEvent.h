#pragma once

#include <LibCore/Time.h>
#include <LibLoad/Outcome.h>

#include <optional>
#include <string>

namespace Briarbend::Load
{

/// One attempt at one request, for the history checkers.
struct LoadEvent {
    Core::TimePoint intended;
    Core::TimePoint sent;
    Core::TimePoint done;
    std::size_t route{0};
    /// 1 for the first attempt with a key, more for resubmissions.
    unsigned attempt{1};
    Outcome outcome{Outcome::Answered};
    /// Zero without an answer.
    unsigned status{0};
    std::string method;
    std::string path;
    std::string key;
    std::string requestId;
    std::string instance;
    /// Which run at which target gave the answer, as the answer states it.
    std::string run;
    std::optional<bool> isChecksumRight;
};

/// One JSON object without a line end. Times are nanoseconds of the steady clock, which processes of one machine share.
std::string toLine(const LoadEvent &event);

} // namespace Briarbend::Load

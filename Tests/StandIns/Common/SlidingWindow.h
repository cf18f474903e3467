#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <cstddef>
#include <deque>

namespace Briarbend::StandIns
{

/// Counts events and keeps the highest count seen in any window of one second.
struct SlidingWindow {
    std::deque<Core::TimePoint> events;
    std::size_t total{0};
    std::size_t peak{0};

    /// Events in the second that ends now.
    std::size_t count(Core::TimePoint now)
    {
        while (!this->events.empty() && this->events.front() <= now - std::chrono::seconds(1)) {
            this->events.pop_front();
        }
        return this->events.size();
    }

    void add(Core::TimePoint now)
    {
        this->events.push_back(now);
        ++this->total;
        this->peak = std::max(this->peak, this->count(now));
    }
};

} // namespace Briarbend::StandIns

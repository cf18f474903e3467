#include <LibCoordination/ReceivedTraffic.h>

namespace Briarbend::Coordination
{

ReceivedTraffic receivedSince(const ReceivedTraffic &earlier, const ReceivedTraffic &now)
{
    ReceivedTraffic difference;
    for (const auto &[channel, total] : now) {
        const auto known = earlier.find(channel);
        const auto before = known == earlier.end() ? ReceivedTotal{} : known->second;
        if (total.messages > before.messages) {
            difference[channel] = {.messages = total.messages - before.messages, .handling = total.handling - before.handling};
        }
    }
    return difference;
}

} // namespace Briarbend::Coordination

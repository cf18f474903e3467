#include <LibGateway/TargetContact.h>

#include <nlohmann/json.hpp>

namespace Briarbend::Gateway
{

using Log::Importance;

void recordTargetHeard(GatewayState &state)
{
    const auto cutOffFor = Fleet::recordHeard(state.connectivity, Core::Clock::now());
    if (cutOffFor) {
        state.log.write(Importance::Notable,
                        "targets_regained",
                        {{"cut_off_ms", std::chrono::duration_cast<std::chrono::milliseconds>(*cutOffFor).count()}});
    }
}

void recordTargetUnreachable(GatewayState &state, const std::string &target)
{
    const auto now = Core::Clock::now();
    if (!Fleet::recordUnreachable(state.connectivity, target, state.directory.entries.size(), now)) {
        return;
    }
    const auto since = now - state.connectivity.unreachableSince;
    state.log.write(Importance::Notable,
                    "targets_lost",
                    {{"unreachable", state.connectivity.unreachable.size()},
                     {"since_ms", std::chrono::duration_cast<std::chrono::milliseconds>(since).count()}});
}

} // namespace Briarbend::Gateway

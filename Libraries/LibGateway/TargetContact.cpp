#include <LibGateway/HealthCheck.h>
#include <LibGateway/TargetContact.h>

#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace Briarbend::Gateway
{

namespace
{

using Log::Importance;

constexpr std::size_t TARGETS_PROBED_WHILE_CUT_OFF = 2;

boost::asio::awaitable<void> probe(GatewayState &state, std::shared_ptr<Fleet::ServiceState> service, std::string target)
{
    auto connection = co_await checkHealth(state, std::move(service), std::move(target));
    if (connection) {
        state.pool.returnIdle(std::move(connection), Core::Clock::now());
    }
}

} // namespace

void recordTargetHeard(GatewayState &state)
{
    const auto now = Core::Clock::now();
    const auto cutOffFor = Fleet::recordHeard(state.connectivity, now);
    for (const auto &observation : std::exchange(state.unconfirmedLosses, {})) {
        if (state.onObserved) {
            state.onObserved(observation);
        }
    }
    if (cutOffFor) {
        for (const auto &[name, service] : state.services) {
            for (auto &target : service->targets) {
                Fleet::forgetUnreachable(target, now);
            }
        }
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
    state.unconfirmedLosses.clear();
    const auto since = now - state.connectivity.unreachableSince;
    state.log.write(Importance::Notable,
                    "targets_lost",
                    {{"unreachable", state.connectivity.unreachable.size()},
                     {"since_ms", std::chrono::duration_cast<std::chrono::milliseconds>(since).count()}});
}

void probeWhileCutOff(GatewayState &state)
{
    std::vector<std::shared_ptr<Fleet::ServiceState>> services;
    for (const auto &[name, service] : state.services) {
        if (!service->targets.empty()) {
            services.push_back(service);
        }
    }
    if (!Fleet::isCutOff(state.connectivity) || services.empty()) {
        return;
    }
    for (std::size_t count = 0; count < TARGETS_PROBED_WHILE_CUT_OFF; ++count) {
        const auto &service = services[state.random.below(services.size())];
        const auto &target = service->targets[state.random.below(service->targets.size())];
        spawn(state, "probe", probe(state, service, target.record.name));
    }
}

} // namespace Briarbend::Gateway

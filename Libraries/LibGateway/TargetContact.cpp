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

boost::asio::awaitable<void> verify(GatewayState &state, std::shared_ptr<Fleet::ServiceState> service, std::string target)
{
    const std::shared_ptr<void> end(nullptr, [&state, target](void *) {
        state.targetsInVerification.erase(target);
    });
    co_await probe(state, std::move(service), target);
}

} // namespace

Core::TargetStartId startIdOf(const Fleet::TargetRecord &record)
{
    return {record.name + "/" + std::to_string(record.startedAtMilliseconds)};
}

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

void verifyTarget(GatewayState &state, const std::shared_ptr<Fleet::ServiceState> &service, const std::string &target)
{
    // A target that ends loses many requests at once.
    if (state.targetsInVerification.insert(target).second) {
        spawn(state, "verification", verify(state, service, target));
    }
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

#include <LibGateway/AdmissionControl.h>

#include <boost/asio/co_spawn.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace Briarbend::Gateway
{

namespace
{

/// Fraction of the budgets that instances use; the rest covers requests that the platform counts differently.
constexpr double PLANNED_BUDGET_FRACTION = 0.85;
/// The allowance beyond the share is divided by this multiple of the number of instances, since each start of an instance receives its
/// part again.
constexpr double ALLOWANCE_DIVISOR_PER_INSTANCE = 4;
/// Limits an instance that does not know any other instances yet, so that it does not use the entire allowance.
constexpr double MAXIMUM_ALLOWANCE = 1;

} // namespace

GatewayState::GatewayState(boost::asio::any_io_executor ioExecutor,
                           Settings::GatewaySettings gatewaySettings,
                           Dialect platformDialect,
                           std::uint64_t seed)
    : executor(ioExecutor)
    , settings(std::move(gatewaySettings))
    , dialect(platformDialect)
    , log(STDOUT_FILENO, this->settings.instance.name, {.linesPerSecond = static_cast<double>(this->settings.log.linesPerSecond)})
    , random(seed)
    , bodyBudget({.limit = this->settings.memory.bodies, .held = 0, .peak = 0})
    , pool(std::move(ioExecutor))
{
}

void spawn(GatewayState &state, std::string_view name, boost::asio::awaitable<void> coroutine)
{
    boost::asio::co_spawn(state.executor, std::move(coroutine), [&state, name = std::string(name)](const std::exception_ptr &problem) {
        if (!problem) {
            return;
        }
        try {
            std::rethrow_exception(problem);
        } catch (const std::exception &exception) {
            state.log.write(Log::Importance::Notable, "unexpected_error", {{"part", name}, {"error", exception.what()}});
        }
    });
}

bool takeMemory(GatewayState &state, Core::ByteHold &hold, std::uint64_t total)
{
    while (!hold.growTo(total)) {
        if (!state.relieveMemory || !state.relieveMemory()) {
            return false;
        }
    }
    return true;
}

void updateServiceStates(GatewayState &state, Core::TimePoint now)
{
    if (!state.routingConfiguration) {
        return;
    }
    std::map<Core::ServiceName, std::vector<Fleet::TargetRecord>> records;
    for (const auto &[name, entry] : state.directory.entries) {
        records[entry.record.service].push_back(entry.record);
    }
    const auto &budgets = state.settings.budgets;
    for (const auto &[name, configuration] : state.routingConfiguration->services) {
        auto &service = state.services[name];
        if (!service) {
            service = std::make_shared<Fleet::ServiceState>();
            service->name = name;
        }
        service->configuration = configuration;
        const auto instances = static_cast<double>(std::max<std::size_t>(1, state.instances));
        service->budget.parameters
            = {.window = budgets.extraSendWindow,
               .share = budgets.extraSendShare * PLANNED_BUDGET_FRACTION,
               .allowance = std::min(MAXIMUM_ALLOWANCE, budgets.extraSendAllowance / (instances * ALLOWANCE_DIVISOR_PER_INSTANCE))};
        Fleet::updateTargets(*service, records[name], now);
        for (auto &target : service->targets) {
            if (const auto *report = Fleet::findSelfReport(state.directory, target.record)) {
                Fleet::applySelfReport(target, *report);
            }
        }
    }
    std::erase_if(state.services, [&state](const auto &entry) {
        return !state.routingConfiguration->services.contains(entry.first);
    });
    std::erase_if(state.waiters, [&state](const auto &entry) {
        return !state.services.contains(entry.first) && entry.second->timers.empty();
    });
}

} // namespace Briarbend::Gateway

#include <Tests/Processes/Support/LoadRun.h>

#include <algorithm>

namespace Briarbend::Processes
{

namespace
{

constexpr std::chrono::seconds END_TIMEOUT{60};

std::vector<std::string> argumentsThrough(const std::vector<const EntryInstance *> &instances, std::vector<std::string> arguments)
{
    std::string to;
    for (const auto *instance : instances) {
        to += (to.empty() ? "" : ",") + instance->callers.text();
    }
    arguments.insert(arguments.begin(), {"--to", to, "--quiet", "--json"});
    return arguments;
}

std::vector<const EntryInstance *> allOf(const Cluster &cluster)
{
    std::vector<const EntryInstance *> instances;
    for (const auto &instance : cluster.instances) {
        instances.push_back(&instance);
    }
    return instances;
}

} // namespace

LoadRun::LoadRun(const std::vector<const EntryInstance *> &instances, std::vector<std::string> arguments)
    : process("briarload", argumentsThrough(instances, std::move(arguments)))
{
}

LoadRun::LoadRun(const Cluster &cluster, std::vector<std::string> arguments)
    : LoadRun(allOf(cluster), std::move(arguments))
{
}

nlohmann::json LoadRun::result()
{
    return nlohmann::json::parse(this->process.readOutput(END_TIMEOUT));
}

std::int64_t steadyNanoseconds()
{
    return Core::Clock::now().time_since_epoch() / std::chrono::nanoseconds(1);
}

void waitUntil(std::int64_t nanoseconds)
{
    while (steadyNanoseconds() < nanoseconds) {
        pauseBetweenChecks();
    }
}

std::int64_t lastNewWork(const TargetGroup &group)
{
    std::int64_t last = 0;
    for (const auto &counters : group.counters()) {
        last = std::max(last, counters.at("last_new_work_ns").get<std::int64_t>());
    }
    return last;
}

std::uint64_t versionInForce(const EntryInstance &instance, const std::string &team)
{
    return getJson(instance.operators, "/dump").at("configuration").at(team).get<std::uint64_t>();
}

std::uint64_t failedCalls(const nlohmann::json &result)
{
    return result.at("attempts").get<std::uint64_t>() - result.at("outcomes").at("answered").get<std::uint64_t>();
}

} // namespace Briarbend::Processes

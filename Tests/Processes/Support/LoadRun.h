#pragma once

#include <LibCore/Time.h>
#include <Tests/Processes/Support/Cluster.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Briarbend::Processes
{

/// One run of briarload, whose result is read at its end.
class LoadRun
{
public:
    /// Through the given instances only.
    LoadRun(const std::vector<const EntryInstance *> &instances, std::vector<std::string> arguments);
    /// Through all instances.
    LoadRun(const Cluster &cluster, std::vector<std::string> arguments);

    /// Waits for the end. Throws std::runtime_error where the run does not end in time.
    nlohmann::json result();

private:
    Process process;
};

/// The steady clock as in the histories of the target stand-ins.
std::int64_t steadyNanoseconds();
/// Waits until the steady clock has reached the time.
void waitUntil(std::int64_t nanoseconds);
/// When the last request came to one of the group's targets, whether it was run or not.
std::int64_t lastNewWork(const TargetGroup &group);
/// The version of a team's section that an instance reports.
std::uint64_t versionInForce(const EntryInstance &instance, const std::string &team);
/// The attempts of a result that were not answered, which is 0 where no call failed.
std::uint64_t failedCalls(const nlohmann::json &result);

} // namespace Briarbend::Processes

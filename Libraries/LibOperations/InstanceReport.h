#pragma once

#include <LibCore/Identifiers.h>
#include <LibNetwork/Endpoint.h>
#include <LibStore/ObjectStore.h>

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/// What instances say of themselves, and which of them are out of step with the others.
namespace Briarbend::Operations
{

struct SectionVersion {
    Core::TeamName team;
    Store::Version version{0};

    bool operator==(const SectionVersion &) const = default;
};

/// One instance's `/dump`, or why there is none.
struct InstanceReport {
    Network::Endpoint operatorAddress;
    /// Empty where the instance answered.
    std::string failure;
    std::string instance;
    std::string dataCentre;
    bool isReady{false};
    /// The sections in force, in the order of their teams.
    std::vector<SectionVersion> versions;
    /// The whole dump.
    nlohmann::json document;

    bool hasAnswered() const;
    /// Zero where the instance has no section of the team.
    Store::Version versionOf(const Core::TeamName &team) const;
};

/// Asks all instances at once for their dumps. An instance that does not answer within the time-out has a report with the failure.
boost::asio::awaitable<std::vector<InstanceReport>> fetchReports(std::vector<Network::Endpoint> operatorAddresses, Core::Duration timeout);

/// Reads a dump's body. Throws std::runtime_error where it is not one.
InstanceReport parseReport(const Network::Endpoint &operatorAddress, const std::string &body);

/// The highest version of each section that any instance has, in the order of the teams.
std::vector<SectionVersion> newestVersions(const std::vector<InstanceReport> &reports);

/// True where the instance did not answer or has an older version of any of the sections.
bool isOutOfStep(const InstanceReport &report, const std::vector<SectionVersion> &expected);

/// One value of a dump and the instances that have it.
struct MergedValue {
    /// As JSON; "-" where the instances have no such value.
    std::string value;
    std::vector<std::string> instances;

    bool operator==(const MergedValue &) const = default;
};

/// One path of the dumps and its values, that of the most instances first.
struct MergedEntry {
    /// JSON pointer, RFC 6901.
    std::string path;
    std::vector<MergedValue> values;

    bool operator==(const MergedEntry &) const = default;
};

/// The dumps of all instances that answered, laid over each other, in the order of the paths.
std::vector<MergedEntry> mergeReports(const std::vector<InstanceReport> &reports);

} // namespace Briarbend::Operations

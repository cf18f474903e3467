#pragma once

#include <Tests/Processes/Support/Exchange.h>
#include <Tests/Processes/Support/Process.h>

#include <filesystem>
#include <list>
#include <optional>
#include <string>
#include <vector>

namespace Briarbend::Processes
{

struct ClusterPlan {
    std::string service{"pattern"};
    std::vector<std::string> dataCentres{"sfax-1", "sfax-2", "sfax-3"};
    std::size_t targetsPerDataCentre{3};
    std::size_t instances{3};
    /// Zero for as many as there are instances. Those that a test adds later count as well.
    std::size_t declaredMaximumInstances{0};
    /// The configuration document. Empty for one team with the service, an idempotent route "/" and a once route "/once/".
    std::string configuration;
    /// Control message to all targets before the instances start.
    nlohmann::json targetConditions = nlohmann::json::object();
    /// Text added to every instance's settings, for example "[claims]\nbuckets = 4\n".
    std::string moreSettings;
};

/// The targets of one version in one data centre, in one process.
struct TargetGroup {
    std::string dataCentre;
    std::string version;
    Process process;
    Network::Endpoint control;
    /// "address:port", as in the instance list.
    std::vector<std::string> targets;

    void apply(const nlohmann::json &conditions) const;
    /// One object a target.
    nlohmann::json counters() const;
    /// The runs so far, in the order of their beginning.
    std::vector<nlohmann::json> history() const;
};

/// One entry instance, whose addresses stay the same over restarts.
struct EntryInstance {
    std::string dataCentre;
    Network::Endpoint callers;
    Network::Endpoint peers;
    Network::Endpoint operators;
    std::filesystem::path settings;
    std::optional<Process> process;

    /// Starts the program and waits for its ready line.
    void start();
    bool isReady() const;
};

/// A store, targets in several data centres and entry instances, all as processes on the loopback address.
class Cluster
{
public:
    /// Starts everything and waits until each instance is ready and has the configuration.
    explicit Cluster(ClusterPlan plan);
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;
    ~Cluster();

    const Network::Endpoint &storeEndpoint() const;
    void controlStore(const nlohmann::json &json) const;
    nlohmann::json storeCalls() const;
    /// Writes every team's section of a document; returns the highest version that the store gave.
    std::uint64_t applyConfiguration(const std::string &document) const;

    /// Applies every team's section as operators do, with briarctl; returns once briarctl has said that they are accepted.
    std::uint64_t applyAsOperator(const std::string &document) const;

    /// Starts a process with targets and lists them in the store.
    TargetGroup &addTargets(const std::string &dataCentre, const std::string &version, std::size_t count);
    void listTarget(const TargetGroup &group, const std::string &target, const std::string &state) const;
    /// One sum over all targets of a counter such as "violations".
    std::uint64_t sumOfCounter(const std::string &name) const;
    std::vector<nlohmann::json> history() const;

    /// Adds an instance with addresses of its own, lists it and starts it.
    EntryInstance &addInstance(const std::string &dataCentre);
    /// Arguments of briarload for all instances, for example {"--rate", "500"} after --to.
    std::vector<std::string> loadArguments(std::vector<std::string> more) const;

    std::list<TargetGroup> targetGroups;
    std::list<EntryInstance> instances;

private:
    void writeSettings(const EntryInstance &instance) const;

    ClusterPlan plan;
    std::filesystem::path folder;
    Network::Endpoint storeAddress;
    std::optional<Process> store;
};

} // namespace Briarbend::Processes

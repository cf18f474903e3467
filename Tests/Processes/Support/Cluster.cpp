#include <Tests/Processes/Support/Cluster.h>

#include <LibConfiguration/ConfigurationDocument.h>
#include <LibConfiguration/StoredSection.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <numeric>
#include <sstream>
#include <stdexcept>

namespace Briarbend::Processes
{

namespace
{

namespace Http = Network::Http;

constexpr std::chrono::seconds READY_TIMEOUT{20};

Network::Endpoint endpointOf(const nlohmann::json &text)
{
    return Network::parseEndpoint(text.get<std::string>()).value();
}

std::filesystem::path makeTemporaryFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "briarbend-test-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    return name;
}

std::string quoted(const Network::Endpoint &endpoint)
{
    return '"' + endpoint.text() + '"';
}

std::string defaultConfiguration(const ClusterPlan &plan)
{
    std::ostringstream text;
    text << "[[team.operators.service." << plan.service << ".route]]\npath = \"/\"\nkind = \"idempotent\"\n"
         << "[[team.operators.service." << plan.service << ".route]]\npath = \"/once/\"\nkind = \"once\"\n";
    for (const auto &dataCentre : plan.dataCentres) {
        text << "[team.operators.data_centre." << dataCentre << "]\nstate = \"in\"\n";
    }
    return text.str();
}

} // namespace

void TargetGroup::apply(const nlohmann::json &conditions) const
{
    postJson(this->control, "/control", conditions);
}

nlohmann::json TargetGroup::counters() const
{
    return getJson(this->control, "/control/counters");
}

std::vector<nlohmann::json> TargetGroup::history() const
{
    const auto request = Network::makeRequest(Http::verb::get, "/control/history", this->control.text());
    std::istringstream lines(exchange(this->control, request).body());
    std::vector<nlohmann::json> runs;
    for (std::string line; std::getline(lines, line);) {
        runs.push_back(nlohmann::json::parse(line));
    }
    return runs;
}

void EntryInstance::start()
{
    this->process.emplace("briarbendd", std::vector<std::string>{"--settings", this->settings.string()});
    this->process->waitUntilReady(READY_TIMEOUT);
}

bool EntryInstance::isReady() const
{
    try {
        const auto request = Network::makeRequest(Http::verb::get, "/health/ready", this->operators.text());
        return exchange(this->operators, request).result() == Http::status::ok;
    } catch (const boost::system::system_error &) {
        return false;
    }
}

Cluster::Cluster(ClusterPlan clusterPlan)
    : plan(std::move(clusterPlan))
    , folder(makeTemporaryFolder())
    , storeAddress(unusedEndpoint())
{
    this->store.emplace("standin_store", std::vector<std::string>{"--listen", this->storeAddress.text()});
    this->store->waitUntilReady();
    this->applyConfiguration(this->plan.configuration.empty() ? defaultConfiguration(this->plan) : this->plan.configuration);
    for (const auto &dataCentre : this->plan.dataCentres) {
        this->addTargets(dataCentre, "v1", this->plan.targetsPerDataCentre).apply(this->plan.targetConditions);
    }
    for (std::size_t index = 0; index < this->plan.instances; ++index) {
        this->addInstance(this->plan.dataCentres[index % this->plan.dataCentres.size()]);
    }
    for (const auto &instance : this->instances) {
        const auto isReady = [&instance] {
            return instance.isReady();
        };
        if (!eventually(isReady, READY_TIMEOUT)) {
            throw std::runtime_error("instance " + instance.callers.text() + " is not ready");
        }
    }
}

Cluster::~Cluster()
{
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

const Network::Endpoint &Cluster::storeEndpoint() const
{
    return this->storeAddress;
}

void Cluster::controlStore(const nlohmann::json &json) const
{
    postJson(this->storeAddress, "/control", json);
}

nlohmann::json Cluster::storeCalls() const
{
    return getJson(this->storeAddress, "/control/calls");
}

std::uint64_t Cluster::applyConfiguration(const std::string &document) const
{
    std::uint64_t version = 0;
    for (const auto &[team, section] : Configuration::parseConfiguration(document, "test")) {
        const auto target = "/objects/" + Configuration::sectionKey(team);
        auto request = Network::makeRequest(Http::verb::put, target, this->storeAddress.text());
        request.body() = Configuration::formatStoredSection({"test", Configuration::extractSectionText(document, team)});
        const auto response = exchange(this->storeAddress, std::move(request));
        if (Http::to_status_class(response.result()) != Http::status_class::successful) {
            throw std::runtime_error("the store refused the section of " + team.value);
        }
        const std::string tag = response[Http::field::etag];
        version = std::max<std::uint64_t>(version, std::stoull(tag.substr(1)));
    }
    return version;
}

std::uint64_t Cluster::applyAsOperator(const std::string &document) const
{
    const auto file = this->folder / "document.toml";
    std::ofstream(file) << document;
    std::string operators;
    for (const auto &instance : this->instances) {
        operators += (operators.empty() ? "" : ",") + instance.operators.text();
    }
    std::uint64_t version = 0;
    for (const auto &[team, section] : Configuration::parseConfiguration(document, "test")) {
        Process briarctl(
            "briarctl",
            {"apply", "--replace", "--json", "--team", team.value, "--store", this->storeAddress.text(), "--instances", operators, file});
        const auto output = briarctl.readOutput(READY_TIMEOUT);
        version = std::max(version, nlohmann::json::parse(output).at("version").get<std::uint64_t>());
    }
    return version;
}

TargetGroup &Cluster::addTargets(const std::string &dataCentre, const std::string &version, std::size_t count)
{
    const std::vector<std::string> arguments{
        "--count", std::to_string(count), "--service", this->plan.service, "--data-centre", dataCentre, "--version", version};
    Process process("standin_target", arguments);
    const auto ready = process.waitUntilReady();
    const auto targets = ready.at("targets").get<std::vector<std::string>>();
    auto &group
        = this->targetGroups.emplace_back(TargetGroup{dataCentre, version, std::move(process), endpointOf(ready.at("control")), targets});
    std::ranges::for_each(targets, [this, &group](const std::string &target) {
        this->listTarget(group, target, "live");
    });
    return group;
}

void Cluster::listTarget(const TargetGroup &group, const std::string &target, const std::string &state) const
{
    this->controlStore({{"upsert_instance",
                         {{"id", target},
                          {"service", this->plan.service},
                          {"data_centre", group.dataCentre},
                          {"version", group.version},
                          {"state", state}}}});
}

std::uint64_t Cluster::sumOfCounter(const std::string &name) const
{
    return std::accumulate(
        this->targetGroups.begin(), this->targetGroups.end(), std::uint64_t{0}, [&name](std::uint64_t sum, const auto &group) {
            for (const auto &counters : group.counters()) {
                sum += counters.at(name).template get<std::uint64_t>();
            }
            return sum;
        });
}

std::vector<nlohmann::json> Cluster::history() const
{
    std::vector<nlohmann::json> all;
    for (const auto &group : this->targetGroups) {
        std::ranges::move(group.history(), std::back_inserter(all));
    }
    return all;
}

EntryInstance &Cluster::addInstance(const std::string &dataCentre)
{
    const auto file = this->folder / ("instance-" + std::to_string(this->instances.size()) + ".toml");
    auto &instance
        = this->instances.emplace_back(EntryInstance{dataCentre, unusedEndpoint(), unusedEndpoint(), unusedEndpoint(), file, std::nullopt});
    this->writeSettings(instance);
    this->controlStore(
        {{"upsert_instance",
          {{"id", instance.peers.text()}, {"service", "briarbend"}, {"data_centre", dataCentre}, {"version", "v1"}, {"state", "live"}}}});
    instance.start();
    return instance;
}

void Cluster::writeSettings(const EntryInstance &instance) const
{
    const auto maximum = this->plan.declaredMaximumInstances == 0 ? this->plan.instances : this->plan.declaredMaximumInstances;
    std::ofstream text(instance.settings);
    text << "[instance]\ndata_centre = \"" << instance.dataCentre << "\"\ncaller_address = " << quoted(instance.callers)
         << "\npeer_address = " << quoted(instance.peers) << "\noperator_address = " << quoted(instance.operators)
         << "\ndeclared_maximum_instances = " << maximum << "\nlog_level = \"warn\"\n[store]\nendpoints = [" << quoted(this->storeAddress)
         << "]\n"
         << this->plan.moreSettings;
}

std::vector<std::string> Cluster::loadArguments(std::vector<std::string> more) const
{
    std::string to;
    for (const auto &instance : this->instances) {
        to += (to.empty() ? "" : ",") + instance.callers.text();
    }
    more.insert(more.begin(), {"--to", to, "--quiet"});
    return more;
}

} // namespace Briarbend::Processes

#include <LibSettings/SettingsFile.h>

#include <LibSettings/ReadGroup.h>
#include <LibSettings/SettingsKeys.h>

#include <LibDocument/Reference.h>
#include <LibDocument/TableReader.h>

#include <algorithm>
#include <array>

namespace Briarbend::Settings
{

namespace
{

using Document::TableReader;

constexpr std::string_view PAGE_HEAD{R"(# Settings of briarbendd

A settings file is TOML, named by `--settings FILE`. It is read once, when the process starts. Every key is checked and all problems are
reported together, each with file, line, key, what was found and what is allowed; the process then ends with exit code 78. Unknown keys are
problems too. `briarctl check --settings FILE` checks a file without starting anything, and `briarctl settings-reference` writes this page
from the table that reads the keys. `docs/examples/briarbendd.toml` is a whole file to start from.

Durations are texts of a whole number and a unit: `"1500us"`, `"250ms"`, `"2s"`, `"5min"`, `"1h"`. Addresses are IP numbers with a port;
names are never resolved.
)"};

std::optional<DataCentreDistance> parsePair(std::string_view pair)
{
    const auto colon = pair.find(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    DataCentreDistance distance{.first = {std::string(pair.substr(0, colon))}, .second = {std::string(pair.substr(colon + 1))}};
    const bool isPair
        = Document::isName(distance.first.value) && Document::isName(distance.second.value) && distance.first != distance.second;
    return isPair ? std::optional(distance) : std::nullopt;
}

bool isSamePair(const DataCentreDistance &one, const DataCentreDistance &other)
{
    return (one.first == other.first && one.second == other.second) || (one.first == other.second && one.second == other.first);
}

void readDistances(const TableReader &table, std::vector<DataCentreDistance> &distances)
{
    const auto type = distanceType();
    for (const auto &[key, node] : table.table()) {
        auto distance = parsePair(key.str());
        const auto roundTrip = type.read(node);
        if (!distance) {
            table.report(key.str(), "the key \"" + std::string(key.str()) + "\"", "two different data centres, such as \"sfax-1:sfax-2\"");
        } else if (!roundTrip) {
            table.report(node, key.str(), type.allowed);
        } else if (std::ranges::any_of(distances, [&](const auto &known) {
                       return isSamePair(known, *distance);
                   })) {
            table.report(key.str(), "the pair a second time", "each pair once, in either order");
        } else {
            distance->roundTrip = *roundTrip;
            distances.push_back(*distance);
        }
    }
}

bool isWildcard(const Network::Endpoint &endpoint)
{
    return endpoint.address == "0.0.0.0" || endpoint.address == "::";
}

void checkAddresses(const TableReader &root, const InstanceSettings &instance)
{
    const auto table = root.subtable("instance");
    if (!table) {
        return;
    }
    const auto clash = [](const Network::Endpoint &one, const Network::Endpoint &other) {
        return one.port != 0 && one == other;
    };
    if (clash(instance.peerAddress, instance.callerAddress)) {
        table->report("peer_address", "the same as caller_address", "an address of its own for each listener");
    }
    if (clash(instance.operatorAddress, instance.callerAddress) || clash(instance.operatorAddress, instance.peerAddress)) {
        table->report("operator_address", "the address of another listener", "an address of its own for each listener");
    }
    if (isWildcard(instance.advertisedPeerAddress.value_or(instance.peerAddress))) {
        table->report("advertised_peer_address", "an address that peers can not connect to", "the IP number of this instance");
    }
}

} // namespace

Settings loadSettings(const std::string &file)
{
    return parseSettings(Document::readFile(file), file);
}

Settings parseSettings(std::string_view text, const std::string &file)
{
    const auto document = Document::parseToml(text, file);
    Document::ProblemList problems(file);
    const TableReader root(document, "", problems);
    Settings settings;
    readGroup(root, "instance", instanceKeys(), settings.instance);
    readGroup(root, "store", storeKeys(), settings.store);
    readGroup(root, "peers", peerKeys(), settings.peers);
    readGroup(root, "limits", limitKeys(), settings.limits);
    readGroup(root, "claims", claimKeys(), settings.claims);
    if (const auto table = root.subtable("distance")) {
        readDistances(*table, settings.distances);
    }
    root.reportUnknownKeys({"instance", "store", "peers", "limits", "claims", "distance"});
    if (problems.isEmpty()) {
        checkAddresses(root, settings.instance);
    }
    problems.throwIfAny();
    return settings;
}

std::string settingsReference()
{
    const std::string distanceMeaning
        = "Round-trip time between two data centres, one key a pair: `\"sfax-1:sfax-2\" = \"1500us\"`. Each pair is "
          "given once, in either order; an absent pair counts as zero. Each value is "
        + distanceType().allowed + ".";
    return std::string(PAGE_HEAD)
        + Document::formatReference({
            Document::describeTable("[instance]", "Who this instance is and where it listens.", instanceKeys()),
            Document::describeTable("[store]", "The platform's object store.", storeKeys()),
            Document::describeTable("[peers]", "The other instances. The whole table may be absent.", peerKeys()),
            Document::describeTable(
                "[limits]", "What callers may ask for, and how a stop goes. The whole table may be absent.", limitKeys()),
            Document::describeTable("[claims]", "Requests that run at most once. The whole table may be absent.", claimKeys()),
            {.heading = "[distance]", .meaning = distanceMeaning, .keys = {}},
        });
}

} // namespace Briarbend::Settings

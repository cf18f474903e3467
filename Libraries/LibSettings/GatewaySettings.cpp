#include <LibSettings/GatewaySettings.h>

#include <LibSettings/EndpointType.h>
#include <LibSettings/ReadGroup.h>

#include <LibDocument/Reference.h>

namespace Briarbend::Settings
{

namespace
{

using namespace std::chrono_literals;
using Document::integerType;
using Document::key;
using Document::numberType;
using Document::Presence;
using Document::secondsType;

constexpr std::string_view PAGE_HEAD{R"(# Settings of the gateway

A settings file is TOML, named by `--settings FILE`. Every key is checked and all problems are reported together, each with file, line, key,
what was found and what is allowed; the process then ends with exit code 78. SIGHUP reads the file again: `[budgets]`, `[rollouts]` and
`[log]` come into force at once, the rest at the next start. A file with problems changes nothing, and a log line says so.

Durations are numbers of seconds, with fractions. Addresses are IP numbers with a port; names are never resolved.
)"};

/// The platform chooses the names of its data centres, so that any text is allowed.
Document::ValueType<Core::DataCentreName> dataCentreType()
{
    const auto text = Document::textType();
    return {.allowed = text.allowed,
            .read = [text](const toml::node &node) -> std::optional<Core::DataCentreName> {
                const auto name = text.read(node);
                return name ? std::optional(Core::DataCentreName{*name}) : std::nullopt;
            },
            .print =
                [text](const Core::DataCentreName &name) {
                    return text.print(name.value);
                }};
}

/// An endpoint that may be left out.
Document::ValueType<std::optional<Network::Endpoint>> optionalRemoteType()
{
    const auto remote = remoteType();
    return {.allowed = remote.allowed,
            .read = [remote](const toml::node &node) -> std::optional<std::optional<Network::Endpoint>> {
                const auto endpoint = remote.read(node);
                return endpoint ? std::optional(endpoint) : std::nullopt;
            },
            .print =
                [remote](const std::optional<Network::Endpoint> &endpoint) {
                    return endpoint ? remote.print(*endpoint) : std::string{"none"};
                }};
}

Document::KeyTable<GatewayInstanceSettings> instanceKeys()
{
    using I = GatewayInstanceSettings;
    return {
        key("name", &I::name, Document::textType(), "Shown in log lines.", Presence::Required),
        key("data_centre", &I::dataCentre, dataCentreType(), "The data centre that this instance runs in.", Presence::Required),
        key("caller_address", &I::callerAddress, listenerType(), "Where the balancer connects callers.", Presence::Required),
        key("ready_address", &I::readyAddress, listenerType(), "Where the balancer reads `/health/ready`.", Presence::Required),
        key("peer_address", &I::peerAddress, listenerType(), "Where the other instances connect.", Presence::Required),
        key("metrics_address", &I::metricsAddress, listenerType(), "Where `/metrics` and `/dump` are read.", Presence::Required),
        key("maximum_descriptors",
            &I::maximumDescriptors,
            integerType<std::uint32_t>(64, 10'000'000, "descriptors"),
            "Descriptors that the process may have open."),
        key("link_megabits",
            &I::linkMegabits,
            numberType(0, 1'000'000),
            "Bandwidth of the instance's link in Mbit/s; 0 where it is not known. Those with the widest links pass configurations on."),
        key("contracts",
            &I::contracts,
            Document::listType(Document::textType(), 0),
            "Parts of the platform's terms that are in force; names that are not known have no effect."),
    };
}

Document::KeyTable<GatewayCallerSettings> callerKeys()
{
    return {key("read_ahead",
                &GatewayCallerSettings::readAhead,
                integerType<std::uint32_t>(1, 1000, "requests"),
                "Requests of one connection that are read before the first of them is answered; 1 reads none ahead.")};
}

Document::KeyTable<GatewayAdmissionSettings> admissionKeys()
{
    using A = GatewayAdmissionSettings;
    return {
        key("by_value",
            &A::byValue,
            Document::booleanType(),
            "Whether a service without enough room is shared by priority, deadline and expected work."),
        key("health_checks_per_target",
            &A::healthChecksPerTarget,
            numberType(0.1, 1'000'000),
            "Health checks per second that one target answers to all instances together. Searches for a slot stay below it."),
    };
}

Document::KeyTable<GatewayUsageSettings> usageKeys()
{
    using U = GatewayUsageSettings;
    return {
        key("endpoint", &U::endpoint, optionalRemoteType(), "Where usage is reported; without it there are no reports."),
        key("window", &U::window, secondsType(100ms, 1h), "Length of a reported window."),
        key("due", &U::due, secondsType(100ms, 1h), "Time after the end of a window within which its report is due."),
        key("lease", &U::lease, secondsType(100ms, 1h), "Time for which the instance that reports may rely on being the only one."),
    };
}

Document::KeyTable<GatewayStoreSettings> storeKeys()
{
    using S = GatewayStoreSettings;
    return {
        key("endpoint", &S::endpoint, remoteType(), "The platform's store.", Presence::Required),
        key("history",
            &S::history,
            secondsType(1s, 24h),
            "How long the store keeps the history that watches go on from. A watch waits for three quarters of it at the most."),
    };
}

Document::KeyTable<GatewayPeerSettings> peerKeys()
{
    return {key("seeds",
                &GatewayPeerSettings::seeds,
                Document::listType(remoteType(), 0),
                "Peer addresses of some other instances; they may be stale.")};
}

Document::KeyTable<GatewayStopSettings> stopKeys()
{
    return {key("grace", &GatewayStopSettings::grace, secondsType(100ms, 10min), "Time from SIGTERM until the process is killed.")};
}

Document::KeyTable<GatewayBudgetSettings> budgetKeys()
{
    using B = GatewayBudgetSettings;
    return {
        key("extra_send_share",
            &B::extraSendShare,
            numberType(0, 10),
            "Sends beyond the first of each request that all instances together may make, for each request in the window."),
        key("extra_send_allowance",
            &B::extraSendAllowance,
            numberType(0, 1'000'000),
            "Sends beyond that share which all instances together may make in the window."),
        key("extra_send_window", &B::extraSendWindow, secondsType(100ms, 1h), "Length of that window."),
    };
}

Document::KeyTable<GatewayMemorySettings> memoryKeys()
{
    using M = GatewayMemorySettings;
    const auto bytes = integerType<std::uint64_t>(64ULL * 1024, 1ULL << 40U, "bytes");
    return {
        key("longest_answer", &M::longestAnswer, bytes, "Longest body of an answer; a target that sends more is cut off."),
        key("bodies",
            &M::bodies,
            bytes,
            "Requests and bodies of answers held at once. Short of it, reading ahead stops, then requests are refused and stalled callers "
            "disconnected; beyond, answers are cut off. The default leaves 96 MB of an instance with 160 MB to everything else."),
    };
}

Document::KeyTable<GatewayRolloutSettings> rolloutKeys()
{
    using R = GatewayRolloutSettings;
    return {
        key("exposed_share", &R::exposedShare, numberType(0, 1), "Share of a service's requests that an unproven version may get."),
        key("exposed_requests",
            &R::exposedRequests,
            numberType(0, 1'000'000),
            "Requests that an unproven version may get beyond that share."),
    };
}

Document::KeyTable<GatewayLogSettings> logKeys()
{
    using L = GatewayLogSettings;
    return {
        key("lines_per_second", &L::linesPerSecond, integerType<std::uint32_t>(1, 1'000'000, "lines"), "Log lines a second, on average."),
        key("sampled_requests",
            &L::sampledRequests,
            integerType<std::uint32_t>(1, 1'000'000, "requests"),
            "One in this many requests without a fault has its decisions logged; a request with a fault always has."),
    };
}

} // namespace

GatewaySettings loadGatewaySettings(const std::string &file)
{
    return parseGatewaySettings(Document::readFile(file), file);
}

GatewaySettings parseGatewaySettings(std::string_view text, const std::string &file)
{
    const auto document = Document::parseToml(text, file);
    Document::ProblemList problems(file);
    const Document::TableReader root(document, "", problems);
    GatewaySettings settings;
    readGroup(root, "instance", instanceKeys(), settings.instance);
    readGroup(root, "store", storeKeys(), settings.store);
    readGroup(root, "peers", peerKeys(), settings.peers);
    readGroup(root, "stop", stopKeys(), settings.stop);
    readGroup(root, "budgets", budgetKeys(), settings.budgets);
    readGroup(root, "memory", memoryKeys(), settings.memory);
    readGroup(root, "rollouts", rolloutKeys(), settings.rollouts);
    readGroup(root, "log", logKeys(), settings.log);
    readGroup(root, "callers", callerKeys(), settings.callers);
    readGroup(root, "admission", admissionKeys(), settings.admission);
    readGroup(root, "usage", usageKeys(), settings.usage);
    root.reportUnknownKeys({"instance", "store", "peers", "stop", "budgets", "memory", "rollouts", "log", "callers", "admission", "usage"});
    problems.throwIfAny();
    return settings;
}

std::string gatewaySettingsReference()
{
    return std::string(PAGE_HEAD)
        + Document::formatReference({
            Document::describeTable("[instance]", "Who this instance is and where it listens.", instanceKeys()),
            Document::describeTable("[store]", "The platform's object store.", storeKeys()),
            Document::describeTable("[peers]", "The other instances. The whole table may be absent.", peerKeys()),
            Document::describeTable("[stop]", "How a stop goes. The whole table may be absent.", stopKeys()),
            Document::describeTable("[budgets]", "What all instances together may send. The whole table may be absent.", budgetKeys()),
            Document::describeTable("[memory]", "What bodies may take. The whole table may be absent.", memoryKeys()),
            Document::describeTable("[rollouts]", "Moves between versions. The whole table may be absent.", rolloutKeys()),
            Document::describeTable("[log]", "Log lines. The whole table may be absent.", logKeys()),
            Document::describeTable("[callers]", "Connections of callers. The whole table may be absent.", callerKeys()),
            Document::describeTable(
                "[admission]", "Who is served where there is too little room. The whole table may be absent.", admissionKeys()),
            Document::describeTable("[usage]", "Usage reports of tenants. The whole table may be absent.", usageKeys()),
        });
}

} // namespace Briarbend::Settings

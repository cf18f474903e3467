#pragma once

#include <LibCore/Identifiers.h>
#include <LibNetwork/Endpoint.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The settings of one gateway process: an instance behind a platform that keeps its configuration and its list of targets.
namespace Briarbend::Settings
{

struct GatewayInstanceSettings {
    std::string name;
    Core::DataCentreName dataCentre;
    /// Where the platform's balancer connects callers.
    Network::Endpoint callerAddress;
    /// Where the balancer asks whether the instance takes callers.
    Network::Endpoint readyAddress;
    /// Where the other instances connect.
    Network::Endpoint peerAddress;
    /// Where counters and latency histograms are read.
    Network::Endpoint metricsAddress;
    std::uint32_t maximumDescriptors{1024};
    /// Bandwidth of the instance's own link in Mbit/s; zero where it is not known.
    double linkMegabits{0};
    /// Parts of the platform's terms that are in force; names that this program does not know have no effect.
    std::vector<std::string> contracts;
};

struct GatewayCallerSettings {
    /// Requests of one connection that are read before the first of them is answered.
    std::uint32_t readAhead{1};
};

struct GatewayAdmissionSettings {
    /// Whether a service without enough room is shared by priority, deadline and expected work.
    bool byValue{false};
    /// Health checks per second that one target answers to all instances together.
    double healthChecksPerTarget{42};
};

/// Reports of the requests that ran for each tenant. Off without an endpoint.
struct GatewayUsageSettings {
    std::optional<Network::Endpoint> endpoint;
    /// Length of a reported window.
    std::chrono::milliseconds window{5000};
    /// Time after the end of a window within which its report is due.
    std::chrono::milliseconds due{10'000};
    /// Time for which an instance that reports may rely on being the only one.
    std::chrono::milliseconds lease{3000};
};

struct GatewayStoreSettings {
    Network::Endpoint endpoint;
    /// Time for which the store keeps the history that watches go on from.
    std::chrono::milliseconds history{20'000};
};

struct GatewayPeerSettings {
    /// Addresses of some other instances, which may be stale.
    std::vector<Network::Endpoint> seeds;
};

struct GatewayStopSettings {
    /// Time from the order to stop until the process is killed.
    std::chrono::milliseconds grace{6000};
};

struct GatewayBudgetSettings {
    /// Sends beyond the first of each request that all instances together may make, for each request in the window.
    double extraSendShare{0.2};
    /// Sends beyond that share which all instances together may make in the window.
    double extraSendAllowance{64};
    std::chrono::milliseconds extraSendWindow{10'000};
};

struct GatewayMemorySettings {
    /// Longest body of an answer, in bytes.
    std::uint64_t longestAnswer{16ULL * 1024 * 1024};
    /// Bodies of requests and answers that the instance holds at once, in bytes.
    std::uint64_t bodies{64ULL * 1024 * 1024};
};

struct GatewayRolloutSettings {
    /// Share of a service's requests that a version may get before it is proven.
    double exposedShare{0.1};
    /// Requests that it may get beyond that share.
    double exposedRequests{50};
};

struct GatewayLogSettings {
    std::uint32_t linesPerSecond{100};
    /// One in this many requests without a fault has its decisions logged.
    std::uint32_t sampledRequests{50};
};

struct GatewaySettings {
    GatewayInstanceSettings instance;
    GatewayStoreSettings store;
    GatewayPeerSettings peers;
    GatewayStopSettings stop;
    GatewayBudgetSettings budgets;
    GatewayMemorySettings memory;
    GatewayRolloutSettings rollouts;
    GatewayLogSettings log;
    GatewayCallerSettings callers;
    GatewayAdmissionSettings admission;
    GatewayUsageSettings usage;
};

/// Reads and checks a settings file. Throws Document::DocumentError with every problem of the file.
GatewaySettings loadGatewaySettings(const std::string &file);

/// Checks settings held as text; the file's name is used in problems only. Throws Document::DocumentError.
GatewaySettings parseGatewaySettings(std::string_view text, const std::string &file);

/// The operators' page of these settings, in Markdown.
std::string gatewaySettingsReference();

} // namespace Briarbend::Settings

#pragma once

#include <LibCore/Identifiers.h>
#include <LibNetwork/Endpoint.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The settings of one briarbendd process, read once when it starts. What may change while it runs is configuration, not settings.
namespace Briarbend::Settings
{

struct InstanceSettings {
    /// Shown in logs and dumps; the instance's identifier where absent.
    std::optional<std::string> name;
    Core::DataCentreName dataCentre;
    Network::Endpoint callerAddress;
    Network::Endpoint peerAddress;
    Network::Endpoint operatorAddress;
    /// What peers are told to connect to; the peer address where absent.
    std::optional<Network::Endpoint> advertisedPeerAddress;
    /// Divides the budgets of targets, so that no more instances than this may ever run.
    std::uint32_t declaredMaximumInstances{19};
    /// A level that Log::configure takes.
    std::string logLevel{"info"};
};

struct StoreSettings {
    /// Tried in order.
    std::vector<Network::Endpoint> endpoints;
    std::chrono::milliseconds timeout{500};
    std::chrono::milliseconds instanceListInterval{1000};
};

struct PeerSettings {
    /// Known besides those that the platform's list names.
    std::vector<Network::Endpoint> seeds;
};

struct LimitSettings {
    std::uint32_t maximumCallerConnections{10000};
    std::uint32_t maximumHeaderBytes{16384};
    std::uint64_t maximumRequestBodyBytes{4294967296};
    std::chrono::milliseconds idleTimeout{60000};
    /// How long listeners stay after ready goes false, so that the balancer can move on.
    std::chrono::milliseconds stopGrace{5000};
    /// How long requests in flight may take after that before the process ends without them.
    std::chrono::milliseconds stopDeadline{3600000};
};

struct ClaimSettings {
    /// Store objects that the claims are spread over. The same for all instances.
    std::uint32_t buckets{256};
    /// How long the outcome of a claim is kept for repeats.
    std::chrono::milliseconds window{600000};
    /// How long claims are collected for one conditional update.
    std::chrono::microseconds batchDelay{2000};
};

/// Round-trip time between two data centres.
struct DataCentreDistance {
    Core::DataCentreName first;
    Core::DataCentreName second;
    std::chrono::microseconds roundTrip{0};
};

struct Settings {
    InstanceSettings instance;
    StoreSettings store;
    PeerSettings peers;
    LimitSettings limits;
    ClaimSettings claims;
    /// Each pair once, in either order; a pair that is absent counts as zero.
    std::vector<DataCentreDistance> distances;
};

} // namespace Briarbend::Settings

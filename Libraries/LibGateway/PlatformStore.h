#pragma once

#include <LibFleet/Directory.h>
#include <LibFleet/RoutingConfiguration.h>
#include <LibGateway/RecordStore.h>

#include <array>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The request path of an instance behind a platform that keeps its configuration and its list of targets, and the I/O around it.
namespace Briarbend::Gateway
{

enum class ObjectKind {
    /// The configuration in force: one object.
    RoutingConfiguration,
    Targets,
    Rollouts,
    /// Data centres that receive no new requests.
    DataCentresOut,
};

constexpr std::size_t OBJECT_KIND_COUNT = 4;
constexpr std::array<ObjectKind, OBJECT_KIND_COUNT> ALL_OBJECT_KINDS{
    ObjectKind::RoutingConfiguration, ObjectKind::Targets, ObjectKind::Rollouts, ObjectKind::DataCentresOut};

/// The kind's name in logs.
constexpr std::string_view nameOf(ObjectKind kind)
{
    switch (kind) {
    case ObjectKind::RoutingConfiguration:
        return "plan";
    case ObjectKind::Targets:
        return "target";
    case ObjectKind::Rollouts:
        return "rollout";
    case ObjectKind::DataCentresOut:
        return "data_centre_out";
    }
    return "";
}

enum class RolloutState {
    /// No instance has started the rollout.
    Ordered,
    Running,
    Completed,
    RolledBack,
};

/// The state's name in logs.
constexpr std::string_view nameOf(RolloutState state)
{
    switch (state) {
    case RolloutState::Ordered:
        return "ordered";
    case RolloutState::Running:
        return "running";
    case RolloutState::Completed:
        return "completed";
    case RolloutState::RolledBack:
        return "rolled_back";
    }
    return "";
}

/// Returns whether the state is terminal.
constexpr bool isFinal(RolloutState state)
{
    return state == RolloutState::Completed || state == RolloutState::RolledBack;
}

/// State of a rollout as the instances have written it to the store.
struct RolloutProgress {
    RolloutState state{RolloutState::Ordered};
    Core::VersionName version;
    /// Wall time at which the first instance started the rollout.
    Core::WallTime startedAt;
    /// Share of the service's requests that the version receives.
    double share{0};

    bool operator==(const RolloutProgress &) const = default;
};

/// Whether the progress that the store holds is behind what is known.
inline bool isBehind(const RolloutProgress &stored, const RolloutProgress &known)
{
    return !isFinal(stored.state) && stored.state < known.state;
}

/// An operator's order to move a service's traffic to a version.
struct RolloutOrder {
    Core::ServiceName service;
    Core::VersionName version;
    /// Time from the order within which a healthy version is to receive all traffic.
    std::chrono::milliseconds ramp{0};
    RolloutProgress progress;
};

/// Content that this program cannot decode; it has no effect.
struct Unreadable {
    std::string reason;
};

using Content = std::variant<Unreadable, Fleet::RoutingConfiguration, Fleet::TargetRecord, RolloutOrder, Core::DataCentreName>;

struct StoredObject {
    std::string name;
    /// The store's revision of the object's last change. In an era that began after the change it has the number of the change.
    Revision revision{};
    Content content;
};

/// All objects of one kind. A watch from the revision on misses no changes.
struct Listing {
    std::vector<StoredObject> objects;
    Revision revision{};
    /// Revision of the first page. Greater than `revision` if a replica that was behind sent a later page.
    Revision firstPage{};
};

struct Change {
    StoredObject object;
    bool isRemoved{false};
    /// The store was restored from a copy that may be older than what was last known of the object.
    bool mayBeOutdated{false};
};

/// Changes after the revision from which the watch started, in order; none if the wait has expired.
struct Changes {
    std::vector<Change> changes;
    Revision revision{};
};

/// The store no longer has the history after the revision from which the watch started.
struct HistoryGone {
};

/// The object's revision differs from the one given, or the store was restored meanwhile.
struct RevisionConflict {
};

using ListResult = std::variant<Listing, StoreFailure>;
using WatchResult = std::variant<Changes, HistoryGone, StoreFailure>;
using WriteResult = std::variant<Written, RevisionConflict, StoreFailure>;

/// Interface to the platform's store. Failures are returned as results.
class PlatformStore : public RecordStore
{
public:
    virtual boost::asio::awaitable<ListResult> list(ObjectKind kind, Freshness freshness) = 0;
    /// Returns as soon as there is a change after the revision, at the latest after the wait.
    virtual boost::asio::awaitable<WatchResult> watch(ObjectKind kind, Revision after, std::chrono::milliseconds wait, Freshness freshness)
        = 0;
    /// Replaces the progress of a rollout if the object still has the revision.
    virtual boost::asio::awaitable<WriteResult> writeProgress(std::string service, Revision revision, RolloutProgress progress) = 0;
    /// Closes all connections; calls in progress fail. For an instance that was frozen and cannot know which connections are still alive.
    virtual void dropConnections() = 0;
};

} // namespace Briarbend::Gateway

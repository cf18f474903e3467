#pragma once

#include <LibGateway/PlatformStore.h>

#include <array>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Briarbend::Gateway
{

/// What one instance that watches the store tells those that don't.
struct ChangeNotification {
    ObjectKind kind{ObjectKind::RoutingConfiguration};
    /// The changes are all that came after this revision, up to the one of the changes.
    Revision previous{0};
    Changes changes;
    /// The data centre of the instance that read them from the store.
    Core::DataCentreName sourceDataCentre;
};

/// A revision for each kind of object, in the order of the enumeration.
using KindRevisions = std::array<Revision, OBJECT_KIND_COUNT>;

/// Sent regularly by instances that watch the store.
struct WatcherHeartbeat {
    /// Of the last change that the sender knows of.
    KindRevisions latest{};
    /// Revisions of the store up to which the sender knows of all changes.
    KindRevisions positions{};
    /// Time since the store was known to answer the sender, or another watcher that told the sender so.
    std::chrono::milliseconds timeSinceStoreResponse{0};
    /// The data centre for which the sender reads the store; empty where it only stands by or the store does not answer it.
    Core::DataCentreName activeForDataCentre;
};

/// Asks a peer for objects that the store does not give.
struct SnapshotRequest {
    /// Peer address to answer to.
    std::string requester;
    std::vector<ObjectKind> kinds;
};

/// All objects of one kind as the sender knows them.
struct Snapshot {
    ObjectKind kind{ObjectKind::RoutingConfiguration};
    Listing listing;
};

using ChangeDisseminationMessage = std::variant<ChangeNotification, WatcherHeartbeat, SnapshotRequest, Snapshot>;

/// CBOR (RFC 8949).
std::string encodeChangeDissemination(const ChangeDisseminationMessage &message);

/// Throws std::exception where the bytes are no such message.
ChangeDisseminationMessage decodeChangeDissemination(std::string_view bytes);

} // namespace Briarbend::Gateway

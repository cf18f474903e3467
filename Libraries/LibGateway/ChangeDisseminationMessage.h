#pragma once

#include <LibGateway/PlatformStore.h>

#include <array>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Briarbend::Gateway
{

/// Changes that an instance read from the store, sent to instances that do not watch it.
struct ChangeNotification {
    ObjectKind kind{ObjectKind::RoutingConfiguration};
    /// The message holds all changes after this revision, up to the revision of the changes.
    Revision previous{};
    Changes changes;
    /// The data centre of the instance that read them from the store.
    Core::DataCentreName sourceDataCentre;
};

/// A revision for each kind of object, in the order of the enumeration.
using KindRevisions = std::array<Revision, OBJECT_KIND_COUNT>;

/// Sent regularly by instances that watch the store.
struct WatcherHeartbeat {
    /// Revisions of the latest changes known to the sender.
    KindRevisions latest{};
    /// Revisions of the store up to which the sender knows of all changes.
    KindRevisions positions{};
    /// Time since the store last responded to the sender if it reads for its data centre, otherwise to any watcher that it heard from.
    std::chrono::milliseconds timeSinceStoreResponse{0};
    /// The data centre for which the sender reads; empty if it is on standby or the store does not respond to it.
    Core::DataCentreName activeForDataCentre;
    /// Kinds of which the sender knows facts that a restored store does not show any more.
    std::vector<ObjectKind> kindsAheadOfStore;
    /// The sender reads the store linearizably, so that its revisions are no older than its last response. Earlier versions of the program
    /// do not say so.
    bool isLinearizable{false};
    /// Peer address of the sender. Earlier versions of the program do not say it.
    std::string sender;
};

/// Asks a peer for objects that the sender cannot get from the store.
struct SnapshotRequest {
    /// Peer address to which the response is sent.
    std::string requester;
    std::vector<ObjectKind> kinds;
};

/// All objects of one kind.
struct Snapshot {
    ObjectKind kind{ObjectKind::RoutingConfiguration};
    Listing listing;
    /// The objects as the store listed them, and not as they are in force at the sender.
    bool isAsListed{false};
};

using ChangeDisseminationMessage = std::variant<ChangeNotification, WatcherHeartbeat, SnapshotRequest, Snapshot>;

/// CBOR (RFC 8949).
std::string encodeChangeDissemination(const ChangeDisseminationMessage &message);

/// Throws std::exception if the bytes are not a valid message.
ChangeDisseminationMessage decodeChangeDissemination(std::string_view bytes);

} // namespace Briarbend::Gateway

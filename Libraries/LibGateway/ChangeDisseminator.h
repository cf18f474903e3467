#pragma once

#include <LibCoordination/PeerLink.h>
#include <LibGateway/ChangeDisseminationMessage.h>
#include <LibGateway/Reflector.h>

#include <map>

namespace Briarbend::Gateway
{

/// Spares the store: a few instances of each data centre watch it and tell the others what changed. An instance that hears from no watcher
/// watches itself, and one that missed something asks the store for just that. One that the store does not answer asks a peer.
class ChangeDisseminator
{
public:
    struct Callbacks {
        /// Changes that a watcher heard of. An empty list of them only tells how far it is.
        std::function<void(ObjectKind kind, Revision previous, const Changes &changes)> onChanges;
        /// Nothing that this instance lacks came up to the revision.
        std::function<void(ObjectKind kind, Revision position)> onSyncedRevision;
        /// Whether the store is known to answer some watcher.
        std::function<void(bool isAvailable)> onStoreAvailability;
        /// Up to where this instance's own follower of the kind knows of all changes.
        std::function<Revision(ObjectKind kind)> syncedRevision;
        /// Kinds of which this instance lacks objects that the store does not give it.
        std::function<std::vector<ObjectKind>()> missingKinds;
        /// What this instance knows of a kind, for a peer that lacks it; nothing where it is not sure of it.
        std::function<std::optional<Listing>(ObjectKind kind)> snapshot;
        /// A peer's answer.
        std::function<void(ObjectKind kind, const Listing &listing)> onSnapshot;
    };

    ChangeDisseminator(Core::TimerService &timers, Coordination::PeerLink &peers, Core::Random &random, Callbacks callbacks);

    /// What the follower of a kind does next, being at a revision.
    ReflectorMode modeFor(ObjectKind kind, Revision revision) const;
    /// Tells the others, where this instance watches, what its own watch brought.
    void publish(ObjectKind kind, Revision previous, const Changes &changes);
    /// Notes a change that this instance knows of, from wherever it came.
    void recordLatestRevision(ObjectKind kind, Revision revision);
    /// Notes whether the store answers this instance.
    void recordStoreAvailability(bool isAvailable);
    /// Whether a change of the kind is known that came after the revision.
    bool isBehind(ObjectKind kind, Revision revision) const;
    /// One of the instances of its data centre that tell the others: its reader, or the one that stands by.
    bool isWatcher() const;
    /// Reads the store for its data centre: its first watcher, or the one that stands by once the first or the store is silent.
    bool isActiveWatcher() const;
    /// Peer addresses of the watchers of the own data centre, without this instance.
    const std::vector<std::string> &watcherPeers() const;
    /// Peer addresses of all others of the data centre, where this instance watches.
    const std::vector<std::string> &dataCentrePeers() const;

private:
    void receive(std::string_view bytes);
    void handleChanges(const ChangeNotification &news);
    void handleHeartbeat(const WatcherHeartbeat &heartbeat);
    void respond(const SnapshotRequest &request);
    void requestMissingKinds();
    void sendHeartbeat(Core::TimePoint now);
    void updateWatchers();
    const Core::DataCentreName &ownDataCentre() const;
    void notify(const ChangeNotification &news);
    /// Whether the instances of another data centre learn of changes from a reader of their own.
    bool hasActiveWatcher(const Core::DataCentreName &dataCentre) const;
    void send(const std::vector<std::string> &audience, const std::string &bytes);

    Core::TimerService &timers;
    Coordination::PeerLink &peers;
    Core::Random &random;
    Callbacks callbacks;
    bool isWatching{true};
    bool isPreferredWatcher{true};
    /// Fingerprint of the members among whom the watchers were found.
    std::optional<std::size_t> membersFingerprint;
    /// A watcher of another data centre.
    struct FarWatcher {
        std::string address;
        Core::DataCentreName dataCentre;
    };

    /// Peers that this instance tells, while it watches: those of its data centre, and the watchers of the others.
    std::vector<std::string> neighbours;
    std::vector<FarWatcher> farWatchers;
    /// When the reader of each other data centre last said that the store answers it.
    std::map<Core::DataCentreName, Core::TimePoint> farActiveWatchersHeardAt;
    std::vector<std::string> watcherPeerAddresses;
    KindRevisions latest{};
    /// Since when this instance has known of a change without having it.
    std::array<Core::TimePoint, OBJECT_KIND_COUNT> missingSince{};
    Core::TimePoint startedAt;
    std::optional<Core::TimePoint> heardAt;
    /// When the reader of the own data centre was heard of, other than this instance.
    std::optional<Core::TimePoint> activeWatcherHeardAt;
    bool isStoreAvailable{true};
    /// The last moment at which the store was known to answer a watcher.
    Core::TimePoint storeLastRespondedAt;
    std::vector<std::unique_ptr<Core::TimerSubscription>> subscriptions;
};

} // namespace Briarbend::Gateway

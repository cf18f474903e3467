#pragma once

#include <LibCoordination/PeerLink.h>
#include <LibGateway/ChangeDisseminationMessage.h>
#include <LibGateway/ReaderElection.h>
#include <LibGateway/Reflector.h>

#include <map>

namespace Briarbend::Gateway
{

/// Limits the load on the store: each data centre has an active watcher, which watches the store and sends changes to the other instances,
/// and a standby. Where the store does not respond to the active watcher, it is replaced by an instance to which it does (ReaderElection).
/// An instance that hears from no watcher watches the store itself, and one that missed a change requests the missing changes from the
/// store. An instance to which the store does not respond requests a snapshot from a peer.
class ChangeDisseminator
{
public:
    struct Callbacks {
        /// Called with changes that a watcher sent. An empty list only announces the watcher's revision.
        std::function<void(ObjectKind kind, Revision previous, const Changes &changes, const std::string &peer)> onChanges;
        /// Called when no changes up to the revision are missing here.
        std::function<void(ObjectKind kind, Revision position)> onSyncedRevision;
        /// Called with whether the store is known to respond to any watcher.
        std::function<void(bool isAvailable)> onStoreAvailability;
        /// Returns the revision up to which this instance's reflector of the kind knows all changes.
        std::function<Revision(ObjectKind kind)> syncedRevision;
        /// Returns the kinds of which this instance is missing objects that it cannot get from the store.
        std::function<std::vector<ObjectKind>()> missingKinds;
        /// Returns this instance's objects of a kind for a peer that is missing them; nothing if they may be out of date.
        std::function<std::optional<Listing>(ObjectKind kind)> snapshot;
        /// Called with the snapshot that a peer sent.
        std::function<void(const Snapshot &snapshot, const std::string &peer)> onSnapshot;
        /// Returns the kinds of which this instance knows facts that a restored store does not show any more.
        std::function<std::vector<ObjectKind>()> kindsAheadOfStore;
    };

    ChangeDisseminator(Core::TimerService &timers, Coordination::PeerLink &peers, Core::Random &random, Callbacks callbacks);

    /// Returns how the reflector of a kind, synced to a revision, is to proceed.
    ReflectorMode modeFor(ObjectKind kind, Revision revision) const;
    /// Sends changes read from the store to the other instances if this instance is a watcher or reads for the data centre.
    void publish(ObjectKind kind, Revision previous, const Changes &changes);
    /// Sends all objects of a kind to the other instances of the data centre if this instance is a watcher or reads for it: those of an
    /// earlier era cannot apply changes of the listing's.
    void publishListing(ObjectKind kind, const Listing &listing);
    /// Records the revision of a change that this instance knows of, from any source.
    void recordLatestRevision(ObjectKind kind, Revision revision);
    /// Records whether the store responds to this instance.
    void recordStoreAvailability(bool isAvailable);
    /// Whether a change of the kind is known that came after the revision.
    bool isBehind(ObjectKind kind, Revision revision) const;
    /// True for the watchers of a data centre, the preferred one and the standby.
    bool isWatcher() const;
    /// Whether this instance reads the store for its data centre, or is to try: the preferred watcher, and others while the store responds
    /// to nobody that is preferred to them.
    bool isActiveWatcher() const;
    /// Time since the store last responded to any watcher, as far as this instance knows.
    Core::Duration timeSinceStoreResponse() const;
    /// Peer addresses of the watchers of the own data centre, without this instance.
    const std::vector<std::string> &watcherPeers() const;
    /// Peer addresses of all other instances of the data centre.
    const std::vector<std::string> &dataCentrePeers() const;

private:
    void receive(const std::string &peer, std::string_view bytes);
    void handleChanges(const ChangeNotification &news, const std::string &peer);
    void handleHeartbeat(const WatcherHeartbeat &heartbeat);
    void recordReader(const WatcherHeartbeat &heartbeat, Core::TimePoint respondedAt, Core::TimePoint now);
    /// Whether this instance is a reader of its data centre to which the store responds.
    bool readsForDataCentre(Core::TimePoint now) const;
    void respond(const SnapshotRequest &request);
    void requestMissingKinds();
    void requestSnapshots(const std::string &peer, std::vector<ObjectKind> kinds);
    /// Asks a watcher of the data centre for the facts that the store has lost, where this instance started too late to know them.
    void requestLostFacts();
    /// Whether this instance, if it watches, has to read linearizably: it hears from no watcher of an earlier data centre, in the order of
    /// their names, that does. One of them suffices for all.
    bool readsLinearizably() const;
    void sendHeartbeat(Core::TimePoint now);
    void updateWatchers();
    const Core::DataCentreName &ownDataCentre() const;
    void notify(const ChangeNotification &news);
    /// Returns whether another data centre has an active watcher to which the store responds.
    bool hasActiveWatcher(const Core::DataCentreName &dataCentre) const;
    void send(const std::vector<std::string> &audience, const std::string &bytes);

    Core::TimerService &timers;
    Coordination::PeerLink &peers;
    Core::Random &random;
    Callbacks callbacks;
    bool isWatching{true};
    ReaderElection election;
    /// Fingerprint of the live members from which the watchers were selected.
    std::optional<std::size_t> membersFingerprint;
    /// A watcher of another data centre.
    struct FarWatcher {
        std::string address;
        Core::DataCentreName dataCentre;
    };

    /// The peers of the own data centre, and the watchers of the others, to which this instance sends changes while it reads the store.
    std::vector<std::string> neighbours;
    std::vector<FarWatcher> farWatchers;
    /// What the active watcher of another data centre last reported.
    struct FarActiveWatcher {
        std::string address;
        /// When the store last responded to it.
        Core::TimePoint respondedAt;
        bool isLinearizable{false};
    };

    std::map<Core::DataCentreName, FarActiveWatcher> farActiveWatchers;
    std::vector<std::string> watcherPeerAddresses;
    KindRevisions latest{};
    /// Kinds of which the watchers of the data centre last reported to know more than the store shows.
    std::vector<ObjectKind> kindsWatchersKnowMoreOf;
    /// The era in which this instance last asked for the facts of a kind, and how often.
    struct LostFactsRequests {
        std::uint64_t era{0};
        std::size_t count{0};
    };

    std::array<LostFactsRequests, OBJECT_KIND_COUNT> lostFactsRequests{};
    /// Since when this instance has known of a change that it does not have.
    std::array<Core::TimePoint, OBJECT_KIND_COUNT> missingSince{};
    Core::TimePoint startedAt;
    std::optional<Core::TimePoint> heardAt;
    Core::TimePoint lastHeartbeatAt;
    /// When the store was last known to respond to a watcher.
    Core::TimePoint storeLastRespondedAt;
    std::vector<std::unique_ptr<Core::TimerSubscription>> subscriptions;
};

} // namespace Briarbend::Gateway

#pragma once

#include <LibCore/Random.h>
#include <LibCore/Time.h>
#include <LibGateway/PlatformStore.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>

namespace Briarbend::Gateway
{

/// How a reflector learns of changes.
enum class ReflectorMode {
    /// Watches the store itself, linearizably.
    Watch,
    /// Watches the store itself, perhaps at a replica that is behind: another watcher reads linearizably and announces what it sees.
    WatchReplica,
    /// Finds out at once whether the store responds, linearizably and without waiting for a change.
    Probe,
    /// Fetches changes that are known to exist and have not arrived.
    CatchUp,
    /// Receives changes from peers and sends no requests.
    AwaitPeers,
    /// Sends no requests while the store does not respond; another reflector probes the store.
    Suspend,
};

/// Where a reflector learnt of changes.
enum class ChangeSource {
    Listing,
    Watch,
    /// A watcher among the peers.
    Peer,
    /// All objects of a peer.
    Snapshot,
};

std::string_view nameOf(ChangeSource source);

/// Changes that a reflector learnt of at once.
struct ChangeBatch {
    ChangeSource source{ChangeSource::Watch};
    /// `all` holds every change after this revision and up to its own; unknown where earlier changes are.
    Revision previous{};
    Changes all;
    /// Those of them that are newer than what was known here; after a listing or a snapshot also objects missing in it, as removed.
    Changes newer;
    /// The changes come from the first listing of an era after an earlier one was known; `all` holds its objects.
    bool isRestored{false};
    /// Address of the peer that sent the changes; empty if they come from the store.
    std::string peer;
};

/// Mirrors the objects of one kind: lists them once, then watches the store or receives changes from peers. Relists only where the store
/// has dropped its history or a relist is requested.
class Reflector
{
public:
    struct Callbacks {
        std::function<void(const ChangeBatch &batch)> onChanges;
        /// Called with each listing of the store before its changes.
        std::function<void(const Listing &listing)> onListing;
        std::function<ReflectorMode(Revision revision)> mode;
        /// Called after each usable response of the store.
        std::function<void()> onResponse;
        std::function<void(const std::string &reason)> onFailure;
    };

    Reflector(boost::asio::io_context &context,
              PlatformStore &store,
              Core::Random &random,
              ObjectKind kind,
              std::chrono::milliseconds watchWait,
              Callbacks callbacks);

    /// Runs for as long as the reflector exists. To be spawned once.
    boost::asio::awaitable<void> follow();
    /// Runs beside follow(): fetches changes that a watch in progress does not report although peers have announced them, since the watch
    /// may be served by a stale replica. To be spawned once.
    boost::asio::awaitable<void> overtakeWatches();
    /// Makes the next request a listing, because the known state may be out of date.
    void requestRelist();
    /// True once a listing has been received that was requested after the last requestRelist.
    bool isCurrent() const;
    /// The store's revision up to which all changes are known.
    Revision syncedRevision() const;
    /// Records that all changes up to the revision are known, because peers reported no others.
    void advanceTo(Revision revision);
    /// Applies changes that a peer sent. Returns true if any of them was new.
    bool applyPeerChanges(Revision previous, Changes changes, const std::string &peer);
    /// Applies a peer's snapshot, unless it is older than what is known here. Objects missing in it are reported as removed.
    void applySnapshot(const Listing &listing, const std::string &peer);
    /// The revision of an object's last known change; not known where there is none.
    Revision revisionOf(const std::string &name) const;

private:
    boost::asio::awaitable<bool> list();
    /// The changes that lead from what is known to the listing. Those between eras may be outdated.
    Changes difference(const Listing &listing) const;
    /// The last change of an object, also of one that was removed before the last listing.
    std::optional<Revision> lastChangeOf(const std::string &name) const;
    /// Whether the listing is the first of an era after an earlier one was known.
    bool beginsEra(const Listing &listing) const;
    void readLinearizablyFor(Core::Duration period);
    /// Whether reads avoid replicas, which may be stale.
    bool needsLinearizableReads() const;
    /// The changes after the revision that the listing shows.
    static Changes changesAfter(Revision previous, const Listing &listing, const Changes &difference);
    /// Records the listing's objects as known, beside later changes that peers reported.
    void adoptListing(const Listing &listing);
    boost::asio::awaitable<bool> watch(std::chrono::milliseconds wait, Freshness freshness);
    /// Reports a usable response and then lets changes gather, where the call is worth it.
    boost::asio::awaitable<void> finishCall();
    boost::asio::awaitable<void> idle();
    /// Returns the changes that are newer than the known revisions of their objects, and records them as known.
    Changes applyNewer(const Changes &changes);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds duration);

    boost::asio::io_context &context;
    PlatformStore &store;
    Core::Random &random;
    ObjectKind kind;
    std::chrono::milliseconds watchWait;
    Callbacks callbacks;
    Revision revision;
    /// The revision of the last change of each object, also of removed ones.
    std::map<std::string, Revision> knownRevisions;
    struct Removal {
        Revision revision;
        Core::TimePoint at;
    };

    /// Objects that were removed recently: a restored store may show them again.
    std::map<std::string, Removal> removals;
    /// Revision of the last listing or snapshot. It covers all changes up to that revision, including removals, which it cannot show.
    Revision listedRevision;
    boost::asio::steady_timer wakeTimer;
    bool needsListing{true};
    /// The last watch calls for a delay before the next request.
    bool isBatching{false};
    /// How the watch that is pending reads; empty while none is.
    std::optional<Freshness> pendingWatch;
    /// Cancelled when a watch begins.
    boost::asio::steady_timer watchBegins;
    std::uint32_t consecutiveFailures{0};
    /// Until then, reads are linearizable, since a replica may be stale.
    Core::TimePoint linearizableReadsUntil;
};

} // namespace Briarbend::Gateway

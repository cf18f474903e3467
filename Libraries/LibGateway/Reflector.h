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

/// How a follower keeps up.
enum class ReflectorMode {
    /// By a watch of its own.
    Watch,
    /// Something is missing that the store has by now.
    CatchUp,
    /// By what peers tell.
    AwaitPeers,
    /// Not at all: the store does not answer, and another follower looks whether it does again.
    Suspend,
};

/// Keeps up with the objects of one kind: lists them once, then watches or hears from peers, and lists again only where the store has
/// dropped its history.
class Reflector
{
public:
    struct Callbacks {
        /// What is newer than what was told before; after a listing also what it lacks, as removed. Previous is zero for the first listing.
        std::function<void(Revision previous, const Changes &)> onChanges;
        std::function<ReflectorMode(Revision revision)> mode;
        /// Any usable answer of the store.
        std::function<void()> onResponse;
        std::function<void(const std::string &reason)> onFailure;
    };

    Reflector(boost::asio::io_context &context,
              PlatformStore &store,
              Core::Random &random,
              ObjectKind kind,
              std::chrono::milliseconds watchWait,
              Callbacks callbacks);

    /// Follows for as long as the follower lives. To be spawned once.
    boost::asio::awaitable<void> follow();
    /// Lists anew with the next call: what was heard may be out of date.
    void requestRelist();
    /// True once a listing has come that was asked for after the last requestRelist.
    bool isCurrent() const;
    /// The store's revision up to which all changes are known.
    Revision syncedRevision() const;
    /// Everything up to the revision is known: peers have told that nothing else came.
    void advanceTo(Revision revision);
    /// Takes changes that a peer heard of. True where there was something new in them.
    bool applyPeerChanges(Revision previous, const Changes &changes);
    /// Takes what a peer knows while the store does not answer. The next listing of the store corrects it.
    void applySnapshot(const Listing &listing);
    /// The revision of an object's last known change; zero where none is known.
    Revision revisionOf(const std::string &name) const;

private:
    boost::asio::awaitable<bool> list();
    /// The changes that lead from what is known to the listing.
    Changes difference(const Listing &listing) const;
    boost::asio::awaitable<bool> watch(std::chrono::milliseconds wait);
    boost::asio::awaitable<void> idle();
    /// What is newer than what is known of its object; notes it as known.
    Changes applyNewer(const Changes &changes);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds duration);

    boost::asio::io_context &context;
    PlatformStore &store;
    Core::Random &random;
    ObjectKind kind;
    std::chrono::milliseconds watchWait;
    Callbacks callbacks;
    Revision revision{0};
    /// The revision of the last change of each object, also of removed ones.
    std::map<std::string, Revision> knownRevisions;
    /// Changes up to the listing's revision are in the listing, also the removals that it cannot show.
    Revision listedRevision{0};
    boost::asio::steady_timer wakeTimer;
    bool needsListing{true};
    std::uint32_t consecutiveFailures{0};
    /// Until then answers must not come from a replica that may be behind.
    Core::TimePoint linearizableReadsUntil;
};

} // namespace Briarbend::Gateway

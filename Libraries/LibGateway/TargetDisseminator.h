#pragma once

#include <LibCoordination/PeerLink.h>
#include <LibFleet/OutcomeTable.h>
#include <LibGateway/TargetDisseminationMessage.h>

#include <set>

namespace Briarbend::Gateway
{

/// Shares among the instances of a data centre which targets fail, which have announced that they are leaving, and which state a rate of
/// requests. Each instance reports to the aggregators, which are the watchers of the store, and the active watcher sends a digest to all.
/// Nothing is sent to other data centres, since the same target may serve their instances differently.
class TargetDisseminator
{
public:
    struct Callbacks {
        /// Returns the outcomes of this instance's requests that have not been reported.
        std::function<std::vector<Fleet::TargetOutcomes>()> takeOutcomes;
        std::function<void(const Fleet::Suspect &suspect)> onSuspect;
        /// Returns true if the target was not known to be leaving.
        std::function<bool(const Fleet::TargetStart &target)> onLeavingTarget;
        std::function<void(const TargetRate &rate)> onRate;
        /// Returns all targets that have announced that they are leaving.
        std::function<std::vector<Fleet::TargetStart>()> leavingTargets;
        /// Returns whether the store lists the target as in use, so that other instances would send requests to it.
        std::function<bool(const Fleet::TargetStart &target)> isListedInUse;
        /// Returns the peer addresses of the aggregators of the own data centre, without this instance.
        std::function<std::vector<std::string>()> aggregators;
        /// Returns the peer addresses to which this instance sends digests: all others of its data centre if it is a watcher of the store,
        /// else none.
        std::function<std::vector<std::string>()> digestRecipients;
        /// Returns whether this instance sends the digests.
        std::function<bool()> isAggregator;
    };

    TargetDisseminator(Core::TimerService &timers, Coordination::PeerLink &peers, Core::Random &random, Callbacks callbacks);

    /// Records that a target told this instance that it is leaving. It is reported to others unless the store's list says so by then.
    void reportLeaving(Fleet::TargetStart target);
    /// Records a rate that a target stated to this instance, or that it states none any more.
    void reportRate(const TargetRate &rate);

private:
    void receive(std::string_view bytes);
    void handle(const TargetReport &report);
    void handle(const TargetDigest &digest);
    void handle(const LeavingTargetsRequest &request);
    /// Sends new outcomes and leaving targets to the aggregators and, as the active aggregator, a digest to all instances.
    void disseminate(Core::TimePoint now);
    void requestLeavingTargets();
    void send(const std::vector<std::string> &audience, const TargetDisseminationMessage &message);

    Core::TimerService &timers;
    Coordination::PeerLink &peers;
    Core::Random &random;
    Callbacks callbacks;
    Fleet::OutcomeTable outcomeTable;
    /// Leaving targets that this instance has not yet reported.
    std::vector<Fleet::TargetStart> unreportedLeaving;
    /// Leaving targets for the next digest that this instance sends.
    std::set<Fleet::TargetStart> leavingToForward;
    using Rates = std::map<Fleet::TargetStart, std::optional<double>>;
    /// Rates that this instance has not yet reported, and those for the next digest that it sends. The last one of a target counts.
    Rates unreportedRates;
    Rates ratesToForward;
    std::size_t remainingLeavingRequests;
    std::vector<std::unique_ptr<Core::TimerSubscription>> subscriptions;
};

} // namespace Briarbend::Gateway

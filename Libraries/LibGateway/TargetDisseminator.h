#pragma once

#include <LibCoordination/PeerLink.h>
#include <LibFleet/OutcomeTable.h>
#include <LibGateway/TargetDisseminationMessage.h>

#include <set>

namespace Briarbend::Gateway
{

/// Lets the instances of a data centre learn from each other's requests: which targets fail, and which said that they leave. Each tells
/// the relays, which are the instances that also watch the store, and the one that reads it tells all. Nothing crosses to other data
/// centres: their instances may be served differently by the same target.
class TargetDisseminator
{
public:
    struct Callbacks {
        /// Outcomes of this instance's requests that nobody was told of.
        std::function<std::vector<Fleet::TargetOutcomes>()> takeOutcomes;
        std::function<void(const Fleet::Suspect &suspect)> onSuspect;
        /// True where that is new.
        std::function<bool(const Fleet::TargetStart &target)> onLeavingTarget;
        /// All targets that are known to leave by their own word.
        std::function<std::vector<Fleet::TargetStart>()> leavingTargets;
        /// Whether the list names the target as one in use, so that others would send to it.
        std::function<bool(const Fleet::TargetStart &target)> isListedInUse;
        /// Peer addresses of the relays of the own data centre, without this instance.
        std::function<std::vector<std::string>()> aggregators;
        /// Peer addresses of those that this instance tells: all others of its data centre where it reads the store, else nobody.
        std::function<std::vector<std::string>()> digestRecipients;
        /// Whether this instance is the one that tells.
        std::function<bool()> isAggregator;
    };

    TargetDisseminator(Core::TimerService &timers, Coordination::PeerLink &peers, Core::Random &random, Callbacks callbacks);

    /// Notes that a target told this instance that it leaves. Others are told unless the list says so by then.
    void reportLeaving(Fleet::TargetStart target);

private:
    void receive(std::string_view bytes);
    void handle(const TargetReport &report);
    void handle(const TargetDigest &digest);
    void handle(const LeavingTargetsRequest &request);
    /// Tells the relays what is new here and, as the relay, everyone what is known.
    void disseminate(Core::TimePoint now);
    void requestLeavingTargets();
    void send(const std::vector<std::string> &audience, const TargetDisseminationMessage &message);

    Core::TimerService &timers;
    Coordination::PeerLink &peers;
    Core::Random &random;
    Callbacks callbacks;
    Fleet::OutcomeTable outcomeTable;
    /// Told by targets to this instance, and as yet to no other.
    std::vector<Fleet::TargetStart> unreportedLeaving;
    /// To be told by this instance as the relay.
    std::set<Fleet::TargetStart> leavingToForward;
    std::size_t remainingLeavingRequests;
    std::vector<std::unique_ptr<Core::TimerSubscription>> subscriptions;
};

} // namespace Briarbend::Gateway

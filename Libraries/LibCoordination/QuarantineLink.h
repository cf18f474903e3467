#pragma once

#include <LibCoordination/PeerLink.h>
#include <LibCoordination/QuarantineMessage.h>

#include <LibQuarantine/Quarantine.h>
#include <LibRelay/RequestGuard.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <unordered_map>

namespace Briarbend::Coordination
{

/// Connects the quarantine's state to the peers. Evidence and trials are broadcast to all live members, which acknowledge them if asked to.
class QuarantineLink final : public Relay::RequestGuard
{
public:
    /// A request is unsuspected as long as it crashed no more than the tolerated number of targets.
    QuarantineLink(boost::asio::io_context &context, Core::TimerService &timers, PeerLink &peers, std::size_t toleratedCrashes = 0);

    bool isUnsuspected(const Quarantine::Fingerprint &fingerprint) const override;
    boost::asio::awaitable<Permission>
    awaitPermission(Quarantine::Fingerprint fingerprint, Core::TargetId target, Core::TimePoint deadline) override;
    boost::asio::awaitable<void> recordConnectionLoss(Quarantine::Fingerprint fingerprint, Core::TargetId target, bool isTrial) override;
    void recordCompletion(const Quarantine::Fingerprint &fingerprint, Core::TimePoint sentAt) override;
    void endTrial(const Quarantine::Fingerprint &fingerprint) override;
    void recordTargetStart(const Core::TargetId &target, const Core::TargetStartId &start) override;
    void recordTargetExit(const Core::TargetId &target) override;

    /// The platform's list shows this start of the target. It lags, so that it does not show that the start is alive.
    void recordListedStart(const Core::TargetId &target, const Core::TargetStartId &start);
    /// The target is gone from the platform's list. Soon after a connection to it was lost that means that its process ended.
    void recordRemoval(const Core::TargetId &target);

    const Quarantine::QuarantineState &quarantine() const;
    /// Takes over reports of earlier processes.
    void mergeStored(const Quarantine::Reports &reports);
    /// Sends such reports to all live peers.
    void broadcastStored(const Quarantine::Reports &reports);

private:
    /// A broadcast that waits for acknowledgements.
    struct PendingBroadcast {
        explicit PendingBroadcast(boost::asio::io_context &context)
            : done(context)
        {
        }

        std::size_t missing{0};
        boost::asio::steady_timer done;
    };

    using Content = decltype(QuarantineBroadcast::content);

    boost::asio::awaitable<bool> acquireTrial(Quarantine::Fingerprint fingerprint, Core::TargetStartId start);
    boost::asio::awaitable<void> broadcastAndWait(Content content);
    void broadcast(const Content &content, std::uint64_t id, const std::string &replyTo);
    void broadcastReports(const Quarantine::Reports &reports);
    void receive(std::string_view bytes);
    void tick(Core::TimePoint now);
    std::vector<std::string> livePeers() const;
    Core::TargetStartId startOf(const Core::TargetId &target) const;

    boost::asio::io_context &context;
    Core::TimerService &timers;
    PeerLink &peers;
    std::size_t toleratedCrashes;
    Quarantine::QuarantineState state;
    std::unordered_map<Core::TargetId, Core::TargetStartId> starts;
    /// Starts to which a connection was lost and that are not yet known to be alive or gone, with the time of the latest loss.
    std::map<Core::TargetStartId, Core::TimePoint> unverifiedStarts;
    std::unordered_map<std::uint64_t, std::shared_ptr<PendingBroadcast>> broadcasts;
    std::uint64_t nextId{1};
    std::size_t nextTurn{0};
    std::unique_ptr<Core::TimerSubscription> ticking;
};

} // namespace Briarbend::Coordination

#pragma once

#include <LibCoordination/PeerLink.h>
#include <LibCoordination/QuarantineMessage.h>

#include <LibQuarantine/Quarantine.h>
#include <LibRelay/RequestGuard.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>
#include <unordered_map>

namespace Briarbend::Coordination
{

/// Connects the quarantine's state to the peers: evidence and trials go to all live members and are acknowledged.
class QuarantineLink final : public Relay::RequestGuard
{
public:
    /// A request is unsuspected as long as no more targets than the tolerated ones broke under it.
    QuarantineLink(boost::asio::io_context &context, Core::TimerService &timers, PeerLink &peers, std::size_t toleratedBreaks = 0);

    bool isUnsuspected(const Quarantine::Fingerprint &fingerprint) const override;
    boost::asio::awaitable<Permission>
    awaitPermission(Quarantine::Fingerprint fingerprint, Core::TargetId target, Core::TimePoint deadline) override;
    boost::asio::awaitable<void> recordConnectionLoss(Quarantine::Fingerprint fingerprint, Core::TargetId target, bool isTrial) override;
    void recordCompletion(const Quarantine::Fingerprint &fingerprint, Core::TimePoint sentAt) override;
    void endTrial(const Quarantine::Fingerprint &fingerprint) override;
    void recordTargetStart(const Core::TargetId &target, const Core::TargetStartId &start) override;
    void recordTargetExit(const Core::TargetId &target) override;

    const Quarantine::QuarantineState &quarantine() const;

private:
    /// Acknowledgements of one broadcast that are still to come.
    struct Broadcast {
        explicit Broadcast(boost::asio::io_context &context)
            : done(context)
        {
        }

        std::size_t missing{0};
        boost::asio::steady_timer done;
    };

    using Content = decltype(QuarantineNews::content);

    boost::asio::awaitable<bool> holdTrial(Quarantine::Fingerprint fingerprint, Core::TargetStartId start);
    boost::asio::awaitable<void> tellAndWait(Content content);
    void tell(const Content &content, std::uint64_t id, const std::string &replyTo);
    void tellReports(const Quarantine::Reports &reports);
    void receive(std::string_view bytes);
    void tick(Core::TimePoint now);
    std::vector<std::string> livePeers() const;
    Core::TargetStartId startOf(const Core::TargetId &target) const;

    boost::asio::io_context &context;
    Core::TimerService &timers;
    PeerLink &peers;
    std::size_t tolerated;
    Quarantine::QuarantineState state;
    std::unordered_map<Core::TargetId, Core::TargetStartId> starts;
    /// Starts whose connections died and of which it is not known yet whether they live.
    std::set<Core::TargetStartId> doubtful;
    std::unordered_map<std::uint64_t, std::shared_ptr<Broadcast>> broadcasts;
    std::uint64_t nextId{1};
    std::size_t nextPeer{0};
    std::unique_ptr<Core::TimerSubscription> ticking;
};

} // namespace Briarbend::Coordination

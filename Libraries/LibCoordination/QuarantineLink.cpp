#include <LibCoordination/QuarantineLink.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Briarbend::Coordination
{

namespace
{

namespace Asio = boost::asio;

/// Time that live peers have to acknowledge a broadcast.
constexpr std::chrono::milliseconds ACKNOWLEDGEMENT_TIMEOUT{250};
/// Interval at which a request that waits for another trial is admitted again.
constexpr std::chrono::milliseconds TRIAL_POLL_INTERVAL{50};
constexpr std::chrono::seconds TICK_INTERVAL{1};
/// Maximum number of recent reports sent to one peer at each tick, in rotation, to repair the loss of earlier messages.
constexpr std::size_t MAX_REPAIR_REPORTS = 32;

} // namespace

QuarantineLink::QuarantineLink(Asio::io_context &ioContext,
                               Core::TimerService &timerService,
                               PeerLink &peerLink,
                               std::size_t toleratedCrashCount)
    : context(ioContext)
    , timers(timerService)
    , peers(peerLink)
    , toleratedCrashes(toleratedCrashCount)
{
    this->peers.onMessage(Channel::Quarantine, [this](const std::string &, std::string_view bytes) {
        this->receive(bytes);
    });
    this->ticking = this->timers.every(TICK_INTERVAL, [this](Core::TimePoint now) {
        this->tick(now);
    });
}

bool QuarantineLink::isUnsuspected(const Quarantine::Fingerprint &fingerprint) const
{
    const auto found = this->state.suspicions.find(fingerprint);
    return found == this->state.suspicions.end() || found->second.evidence.size() <= this->toleratedCrashes
        || Quarantine::admit(this->state, fingerprint, this->timers.now()).admission == Quarantine::Admission::Allow;
}

Asio::awaitable<QuarantineLink::Permission>
QuarantineLink::awaitPermission(Quarantine::Fingerprint fingerprint, Core::TargetId target, Core::TimePoint deadline)
{
    Asio::steady_timer pause(this->context);
    while (this->timers.now() < deadline) {
        const auto decision = Quarantine::admit(this->state, fingerprint, this->timers.now());
        if (decision.admission == Quarantine::Admission::Allow) {
            co_return Permission{Verdict::Send};
        }
        if (decision.admission == Quarantine::Admission::Refuse) {
            this->peers.logMessage("refused a request that crashed targets; it may be retried after "
                                   + std::to_string(decision.retryAfter.count()) + " ms");
            co_return Permission{Verdict::Refuse, decision.retryAfter};
        }
        const auto start = this->startOf(target);
        const bool mayAnnounce
            = decision.admission == Quarantine::Admission::AnnounceTrial && !Quarantine::hasTrial(this->state, start, this->timers.now());
        bool isHeld = false;
        if (mayAnnounce) {
            isHeld = co_await this->acquireTrial(fingerprint, start);
        }
        if (isHeld) {
            co_return Permission{Verdict::SendAsTrial};
        }
        pause.expires_after(TRIAL_POLL_INTERVAL);
        co_await pause.async_wait(Asio::use_awaitable);
    }
    co_return Permission{Verdict::Refuse, this->state.settings.trialRetryAfter};
}

Asio::awaitable<bool> QuarantineLink::acquireTrial(Quarantine::Fingerprint fingerprint, Core::TargetStartId start)
{
    const auto &self = this->peers.state().members.self;
    co_await this->broadcastAndWait(Quarantine::announceTrial(this->state, fingerprint, self, start, this->timers.now()));
    const bool isConfirmed = Quarantine::confirmTrial(this->state, fingerprint, self, this->timers.now());
    if (!isConfirmed) {
        this->endTrial(fingerprint);
    }
    co_return isConfirmed;
}

Asio::awaitable<void> QuarantineLink::recordConnectionLoss(Quarantine::Fingerprint fingerprint, Core::TargetId target, bool isTrial)
{
    const auto start = this->startOf(target);
    this->peers.logMessage("lost the connection to target start " + start.value + " with a request in flight");
    this->unverifiedStarts[start] = this->timers.now();
    auto reports = Quarantine::onConnectionLost(this->state, fingerprint, start, isTrial, this->timers.now());
    if (!reports.isEmpty()) {
        co_await this->broadcastAndWait(std::move(reports));
    }
}

void QuarantineLink::recordCompletion(const Quarantine::Fingerprint &fingerprint, Core::TimePoint sentAt)
{
    this->broadcastReports(Quarantine::onCompleted(this->state, fingerprint, sentAt, this->timers.now()));
}

void QuarantineLink::endTrial(const Quarantine::Fingerprint &fingerprint)
{
    this->broadcast(Quarantine::endTrial(this->state, fingerprint, this->peers.state().members.self), 0, {});
}

void QuarantineLink::recordTargetStart(const Core::TargetId &target, const Core::TargetStartId &start)
{
    const Core::TargetStartId current{target.value + "/" + start.value};
    const auto [known, isNew] = this->starts.try_emplace(target, current);
    if (!isNew && known->second != current) {
        const auto lost = std::exchange(known->second, current);
        this->unverifiedStarts.erase(lost);
        this->broadcastReports(Quarantine::onStartLost(this->state, lost, this->timers.now()));
        return;
    }
    if (this->unverifiedStarts.erase(current) > 0) {
        this->broadcastReports(Quarantine::onStartAlive(this->state, current, this->timers.now()));
    }
}

void QuarantineLink::recordTargetExit(const Core::TargetId &target)
{
    const auto known = this->starts.find(target);
    if (known == this->starts.end()) {
        return;
    }
    const auto lost = known->second;
    this->starts.erase(known);
    this->unverifiedStarts.erase(lost);
    this->broadcastReports(Quarantine::onStartLost(this->state, lost, this->timers.now()));
}

void QuarantineLink::recordListedStart(const Core::TargetId &target, const Core::TargetStartId &start)
{
    this->starts.try_emplace(target, Core::TargetStartId{target.value + "/" + start.value});
}

void QuarantineLink::recordRemoval(const Core::TargetId &target)
{
    if (this->unverifiedStarts.contains(this->startOf(target))) {
        this->recordTargetExit(target);
    } else {
        // It may have left as planned, and its address may be given to another target.
        this->starts.erase(target);
    }
}

const Quarantine::QuarantineState &QuarantineLink::quarantine() const
{
    return this->state;
}

void QuarantineLink::mergeStored(const Quarantine::Reports &reports)
{
    Quarantine::merge(this->state, reports, this->timers.now());
    Quarantine::expire(this->state, this->timers.now());
}

void QuarantineLink::broadcastStored(const Quarantine::Reports &reports)
{
    this->broadcastReports(reports);
}

Asio::awaitable<void> QuarantineLink::broadcastAndWait(Content content)
{
    const auto missing = this->livePeers().size();
    if (missing == 0) {
        co_return;
    }
    const auto id = this->nextId++;
    const auto pending = std::make_shared<PendingBroadcast>(this->context);
    pending->missing = missing;
    pending->done.expires_after(ACKNOWLEDGEMENT_TIMEOUT);
    this->broadcasts.emplace(id, pending);
    const auto &members = this->peers.state().members;
    this->broadcast(content, id, members.members.at(members.self).update.address.value);
    boost::system::error_code ignored;
    co_await pending->done.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    this->broadcasts.erase(id);
}

void QuarantineLink::broadcast(const Content &content, std::uint64_t id, const std::string &replyTo)
{
    const auto bytes = encodeQuarantineMessage(QuarantineBroadcast{id, replyTo, content});
    for (const auto &peer : this->livePeers()) {
        this->peers.send(Channel::Quarantine, peer, bytes);
    }
}

void QuarantineLink::broadcastReports(const Quarantine::Reports &reports)
{
    if (!reports.isEmpty()) {
        this->broadcast(reports, 0, {});
    }
}

void QuarantineLink::receive(std::string_view bytes)
{
    const auto message = decodeQuarantineMessage(bytes);
    if (const auto *acknowledgement = std::get_if<QuarantineAcknowledgement>(&message)) {
        const auto found = this->broadcasts.find(acknowledgement->id);
        if (found != this->broadcasts.end() && --found->second->missing == 0) {
            found->second->done.cancel();
        }
        return;
    }
    const auto &broadcast = std::get<QuarantineBroadcast>(message);
    const auto now = this->timers.now();
    if (const auto *reports = std::get_if<Quarantine::Reports>(&broadcast.content)) {
        Quarantine::merge(this->state, *reports, now);
    } else {
        Quarantine::onTrialAnnouncement(this->state, std::get<Quarantine::TrialAnnouncement>(broadcast.content), now);
    }
    if (!broadcast.replyTo.empty()) {
        this->peers.send(Channel::Quarantine, broadcast.replyTo, encodeQuarantineMessage(QuarantineAcknowledgement{broadcast.id}));
    }
}

void QuarantineLink::tick(Core::TimePoint now)
{
    Quarantine::expire(this->state, now);
    std::erase_if(this->unverifiedStarts, [this, now](const auto &entry) {
        return now - entry.second > this->state.settings.provisionalLifetime;
    });
    const auto reports = Quarantine::recentReports(this->state, MAX_REPAIR_REPORTS, now);
    if (reports.isEmpty()) {
        return;
    }
    if (const auto peer = Membership::peerInTurn(this->peers.state().members, this->nextTurn++)) {
        this->peers.send(Channel::Quarantine, *peer, encodeQuarantineMessage(QuarantineBroadcast{0, {}, reports}));
    }
}

std::vector<std::string> QuarantineLink::livePeers() const
{
    const auto &members = this->peers.state().members;
    std::vector<std::string> addresses;
    for (const auto &[id, member] : members.members) {
        const bool isLive = member.update.state == Membership::MemberState::Alive && member.lastHeard;
        if (id != members.self && isLive) {
            addresses.push_back(member.update.address.value);
        }
    }
    return addresses;
}

Core::TargetStartId QuarantineLink::startOf(const Core::TargetId &target) const
{
    const auto known = this->starts.find(target);
    return known == this->starts.end() ? Core::TargetStartId{target.value + "/"} : known->second;
}

} // namespace Briarbend::Coordination

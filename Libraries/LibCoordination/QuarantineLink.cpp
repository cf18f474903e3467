#include <LibCoordination/QuarantineLink.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Briarbend::Coordination
{

namespace
{

namespace Asio = boost::asio;

/// Time that live peers have to acknowledge.
constexpr std::chrono::milliseconds ACKNOWLEDGEMENT_PATIENCE{250};
/// Pause before a request on trial elsewhere is looked at again.
constexpr std::chrono::milliseconds TRIAL_POLL{50};
constexpr std::chrono::seconds TICK{1};
/// Reports that repair lost ones; told to one peer in turn each tick.
constexpr std::size_t REPAIR_REPORTS = 32;

} // namespace

QuarantineLink::QuarantineLink(Asio::io_context &ioContext,
                               Core::TimerService &timerService,
                               PeerLink &peerLink,
                               std::size_t toleratedBreaks)
    : context(ioContext)
    , timers(timerService)
    , peers(peerLink)
    , tolerated(toleratedBreaks)
{
    this->peers.onMessage(Channel::Quarantine, [this](const std::string &, std::string_view bytes) {
        this->receive(bytes);
    });
    this->ticking = this->timers.every(TICK, [this](Core::TimePoint now) {
        this->tick(now);
    });
}

bool QuarantineLink::isUnsuspected(const Quarantine::Fingerprint &fingerprint) const
{
    const auto found = this->state.suspicions.find(fingerprint);
    return found == this->state.suspicions.end() || found->second.evidence.size() <= this->tolerated
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
            this->peers.note("refused a request that broke targets, for " + std::to_string(decision.retryAfter.count()) + " ms");
            co_return Permission{Verdict::Refuse, decision.retryAfter};
        }
        const auto start = this->startOf(target);
        const bool mayAnnounce
            = decision.admission == Quarantine::Admission::AnnounceTrial && !Quarantine::hasTrial(this->state, start, this->timers.now());
        bool isHeld = false;
        if (mayAnnounce) {
            isHeld = co_await this->holdTrial(fingerprint, start);
        }
        if (isHeld) {
            co_return Permission{Verdict::SendAsTrial};
        }
        pause.expires_after(TRIAL_POLL);
        co_await pause.async_wait(Asio::use_awaitable);
    }
    co_return Permission{Verdict::Refuse, this->state.settings.trialRetryAfter};
}

Asio::awaitable<bool> QuarantineLink::holdTrial(Quarantine::Fingerprint fingerprint, Core::TargetStartId start)
{
    const auto &self = this->peers.state().members.self;
    co_await this->tellAndWait(Quarantine::announceTrial(this->state, fingerprint, self, start, this->timers.now()));
    const bool isConfirmed = Quarantine::confirmTrial(this->state, fingerprint, self, this->timers.now());
    if (!isConfirmed) {
        this->endTrial(fingerprint);
    }
    co_return isConfirmed;
}

Asio::awaitable<void> QuarantineLink::recordConnectionLoss(Quarantine::Fingerprint fingerprint, Core::TargetId target, bool isTrial)
{
    const auto start = this->startOf(target);
    this->peers.note("the connection to " + start.value + " died with a request on it");
    this->doubtful.insert(start);
    auto reports = Quarantine::onConnectionLost(this->state, fingerprint, start, isTrial, this->timers.now());
    if (!reports.isEmpty()) {
        co_await this->tellAndWait(std::move(reports));
    }
}

void QuarantineLink::recordCompletion(const Quarantine::Fingerprint &fingerprint, Core::TimePoint sentAt)
{
    this->tellReports(Quarantine::onCompleted(this->state, fingerprint, sentAt, this->timers.now()));
}

void QuarantineLink::endTrial(const Quarantine::Fingerprint &fingerprint)
{
    this->tell(Quarantine::endTrial(this->state, fingerprint, this->peers.state().members.self), 0, {});
}

void QuarantineLink::recordTargetStart(const Core::TargetId &target, const Core::TargetStartId &start)
{
    const Core::TargetStartId current{target.value + "/" + start.value};
    const auto [known, isNew] = this->starts.try_emplace(target, current);
    if (!isNew && known->second != current) {
        const auto lost = std::exchange(known->second, current);
        this->doubtful.erase(lost);
        this->tellReports(Quarantine::onStartLost(this->state, lost, this->timers.now()));
        return;
    }
    if (this->doubtful.erase(current) > 0) {
        this->tellReports(Quarantine::onStartAlive(this->state, current, this->timers.now()));
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
    this->doubtful.erase(lost);
    this->tellReports(Quarantine::onStartLost(this->state, lost, this->timers.now()));
}

const Quarantine::QuarantineState &QuarantineLink::quarantine() const
{
    return this->state;
}

Asio::awaitable<void> QuarantineLink::tellAndWait(Content content)
{
    const auto missing = this->livePeers().size();
    if (missing == 0) {
        co_return;
    }
    const auto id = this->nextId++;
    const auto broadcast = std::make_shared<Broadcast>(this->context);
    broadcast->missing = missing;
    broadcast->done.expires_after(ACKNOWLEDGEMENT_PATIENCE);
    this->broadcasts.emplace(id, broadcast);
    const auto &members = this->peers.state().members;
    this->tell(content, id, members.members.at(members.self).news.address.value);
    boost::system::error_code ignored;
    co_await broadcast->done.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    this->broadcasts.erase(id);
}

void QuarantineLink::tell(const Content &content, std::uint64_t id, const std::string &replyTo)
{
    const auto bytes = encodeQuarantineMessage(QuarantineNews{id, replyTo, content});
    for (const auto &peer : this->livePeers()) {
        this->peers.send(Channel::Quarantine, peer, bytes);
    }
}

void QuarantineLink::tellReports(const Quarantine::Reports &reports)
{
    if (!reports.isEmpty()) {
        this->tell(reports, 0, {});
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
    const auto &news = std::get<QuarantineNews>(message);
    const auto now = this->timers.now();
    if (const auto *reports = std::get_if<Quarantine::Reports>(&news.content)) {
        Quarantine::merge(this->state, *reports, now);
    } else {
        Quarantine::onTrialAnnouncement(this->state, std::get<Quarantine::TrialAnnouncement>(news.content), now);
    }
    if (!news.replyTo.empty()) {
        this->peers.send(Channel::Quarantine, news.replyTo, encodeQuarantineMessage(QuarantineAcknowledgement{news.id}));
    }
}

void QuarantineLink::tick(Core::TimePoint now)
{
    Quarantine::expire(this->state, now);
    const auto reports = Quarantine::recentReports(this->state, REPAIR_REPORTS, now);
    const auto live = this->livePeers();
    if (reports.isEmpty() || live.empty()) {
        return;
    }
    this->peers.send(Channel::Quarantine, live[this->nextPeer++ % live.size()], encodeQuarantineMessage(QuarantineNews{0, {}, reports}));
}

std::vector<std::string> QuarantineLink::livePeers() const
{
    const auto &members = this->peers.state().members;
    std::vector<std::string> addresses;
    for (const auto &[id, member] : members.members) {
        const bool isLive = member.news.state == Membership::MemberState::Alive && member.lastHeard;
        if (id != members.self && isLive) {
            addresses.push_back(member.news.address.value);
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

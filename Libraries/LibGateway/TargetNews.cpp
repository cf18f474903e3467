#include <LibGateway/TargetNews.h>

#include <algorithm>
#include <iterator>

namespace Briarbend::Gateway
{

namespace
{

using Coordination::Channel;

/// How often reports and digests go out. Faults of targets last for seconds, and the list names most targets that leave within this time.
constexpr std::chrono::milliseconds TELLING{400};
/// Peers that an instance which has just started asks who leaves; one of them may have just started itself.
constexpr std::size_t QUESTIONS_AT_START = 2;

} // namespace

TargetNews::TargetNews(Core::TimerService &timerService,
                       Coordination::PeerLink &peerLink,
                       Core::Random &randomSource,
                       Callbacks eventCallbacks)
    : timers(timerService)
    , peers(peerLink)
    , random(randomSource)
    , callbacks(std::move(eventCallbacks))
    , questionsLeft(QUESTIONS_AT_START)
{
    this->peers.onMessage(Channel::Targets, [this](const std::string &, std::string_view bytes) {
        this->receive(bytes);
    });
    this->subscriptions.push_back(this->timers.every(TELLING, [this](Core::TimePoint now) {
        this->askWhoLeaves();
        this->tell(now);
    }));
}

void TargetNews::noteLeaving(Fleet::TargetStart target)
{
    this->untoldLeaving.push_back(std::move(target));
}

void TargetNews::receive(std::string_view bytes)
{
    std::visit(
        [this](const auto &message) {
            this->take(message);
        },
        decodeTargetNews(bytes));
}

void TargetNews::take(const TargetReport &report)
{
    Fleet::addOutcomes(this->evidence, report.witness, report.evidence, this->timers.now());
    for (const auto &target : report.leaving) {
        this->callbacks.onLeaving(target);
        this->leavingToRelay.insert(target);
    }
}

void TargetNews::take(const TargetDigest &digest)
{
    std::ranges::for_each(digest.suspects, this->callbacks.onSuspect);
    std::ranges::for_each(digest.leaving, this->callbacks.onLeaving);
}

void TargetNews::take(const LeavingQuestion &question)
{
    auto leaving = this->callbacks.leaving();
    if (!leaving.empty()) {
        this->send({question.asker}, TargetDigest{.suspects = {}, .leaving = std::move(leaving)});
    }
}

void TargetNews::tell(Core::TimePoint now)
{
    const auto &members = this->peers.state().members;
    TargetReport report{
        .witness = members.members.at(members.self).update.address.value, .evidence = this->callbacks.takeEvidence(), .leaving = {}};
    std::ranges::copy_if(std::exchange(this->untoldLeaving, {}), std::back_inserter(report.leaving), this->callbacks.isListedInUse);
    if (!report.evidence.empty() || !report.leaving.empty()) {
        this->send(this->callbacks.relays(), report);
        this->take(report);
    }
    const auto leaving = std::exchange(this->leavingToRelay, {});
    if (!this->callbacks.isRelay()) {
        return;
    }
    const TargetDigest digest{.suspects = Fleet::findSuspects(this->evidence, now), .leaving = {leaving.begin(), leaving.end()}};
    if (!digest.suspects.empty() || !digest.leaving.empty()) {
        this->send(this->callbacks.audience(), digest);
        this->take(digest);
    }
}

void TargetNews::askWhoLeaves()
{
    if (this->questionsLeft == 0) {
        return;
    }
    const auto &members = this->peers.state().members;
    auto others = Membership::aliveMembers(members);
    std::erase(others, members.self);
    if (others.empty()) {
        return;
    }
    --this->questionsLeft;
    const auto &peer = Membership::find(members, others[this->random.below(others.size())])->update;
    this->send({peer.address.value}, LeavingQuestion{members.members.at(members.self).update.address.value});
}

void TargetNews::send(const std::vector<std::string> &audience, const TargetNewsMessage &message)
{
    const auto bytes = encodeTargetNews(message);
    std::ranges::for_each(audience, [this, &bytes](const std::string &peer) {
        this->peers.send(Channel::Targets, peer, bytes);
    });
}

} // namespace Briarbend::Gateway

#include <LibGateway/TargetDisseminator.h>

#include <algorithm>
#include <iterator>

namespace Briarbend::Gateway
{

namespace
{

using Coordination::Channel;

/// How often reports and digests are sent. Faults of targets last for seconds, and within this time the store's list shows most leaving
/// targets.
constexpr std::chrono::milliseconds DISSEMINATION_INTERVAL{400};
/// Number of peers that a newly started instance asks for leaving targets; one of them may have just started itself.
constexpr std::size_t LEAVING_REQUESTS_AT_START = 2;

std::vector<TargetRate> toRows(const std::map<Fleet::TargetStart, std::optional<double>> &rates)
{
    std::vector<TargetRate> rows;
    std::ranges::transform(rates, std::back_inserter(rows), [](const auto &entry) {
        return TargetRate{.target = entry.first, .requestsPerSecond = entry.second};
    });
    return rows;
}

} // namespace

TargetDisseminator::TargetDisseminator(Core::TimerService &timerService,
                                       Coordination::PeerLink &peerLink,
                                       Core::Random &randomSource,
                                       Callbacks eventCallbacks)
    : timers(timerService)
    , peers(peerLink)
    , random(randomSource)
    , callbacks(std::move(eventCallbacks))
    , remainingLeavingRequests(LEAVING_REQUESTS_AT_START)
{
    this->peers.onMessage(Channel::Targets, [this](const std::string &, std::string_view bytes) {
        this->receive(bytes);
    });
    this->subscriptions.push_back(this->timers.every(DISSEMINATION_INTERVAL, [this](Core::TimePoint now) {
        this->requestLeavingTargets();
        this->disseminate(now);
    }));
}

void TargetDisseminator::reportLeaving(Fleet::TargetStart target)
{
    this->unreportedLeaving.push_back(std::move(target));
}

void TargetDisseminator::reportRate(const TargetRate &rate)
{
    this->unreportedRates.insert_or_assign(rate.target, rate.requestsPerSecond);
}

void TargetDisseminator::receive(std::string_view bytes)
{
    std::visit(
        [this](const auto &message) {
            this->handle(message);
        },
        decodeTargetDissemination(bytes));
}

void TargetDisseminator::handle(const TargetReport &report)
{
    Fleet::addOutcomes(this->outcomeTable, report.reporter, report.targetOutcomes, this->timers.now());
    for (const auto &target : report.leaving) {
        this->callbacks.onLeavingTarget(target);
        this->leavingToForward.insert(target);
    }
    for (const auto &rate : report.rates) {
        this->callbacks.onRate(rate);
        this->ratesToForward.insert_or_assign(rate.target, rate.requestsPerSecond);
    }
}

void TargetDisseminator::handle(const TargetDigest &digest)
{
    std::ranges::for_each(digest.suspects, this->callbacks.onSuspect);
    std::ranges::for_each(digest.leaving, this->callbacks.onLeavingTarget);
    std::ranges::for_each(digest.rates, this->callbacks.onRate);
}

void TargetDisseminator::handle(const LeavingTargetsRequest &request)
{
    auto leaving = this->callbacks.leavingTargets();
    if (!leaving.empty()) {
        this->send({request.requester}, TargetDigest{.suspects = {}, .leaving = std::move(leaving), .rates = {}});
    }
}

void TargetDisseminator::disseminate(Core::TimePoint now)
{
    const auto &members = this->peers.state().members;
    TargetReport report{.reporter = members.members.at(members.self).update.address.value,
                        .targetOutcomes = this->callbacks.takeOutcomes(),
                        .leaving = {},
                        .rates = toRows(std::exchange(this->unreportedRates, {}))};
    std::ranges::copy_if(std::exchange(this->unreportedLeaving, {}), std::back_inserter(report.leaving), this->callbacks.isListedInUse);
    if (!report.targetOutcomes.empty() || !report.leaving.empty() || !report.rates.empty()) {
        this->send(this->callbacks.aggregators(), report);
        this->handle(report);
    }
    const auto leaving = std::exchange(this->leavingToForward, {});
    const auto rates = std::exchange(this->ratesToForward, {});
    if (!this->callbacks.isAggregator()) {
        return;
    }
    const TargetDigest digest{
        .suspects = Fleet::findSuspects(this->outcomeTable, now), .leaving = {leaving.begin(), leaving.end()}, .rates = toRows(rates)};
    if (!digest.suspects.empty() || !digest.leaving.empty() || !digest.rates.empty()) {
        this->send(this->callbacks.digestRecipients(), digest);
        this->handle(digest);
    }
}

void TargetDisseminator::requestLeavingTargets()
{
    if (this->remainingLeavingRequests == 0) {
        return;
    }
    const auto &members = this->peers.state().members;
    auto others = Membership::aliveMembers(members);
    std::erase(others, members.self);
    if (others.empty()) {
        return;
    }
    --this->remainingLeavingRequests;
    const auto &peer = Membership::find(members, others[this->random.below(others.size())])->update;
    this->send({peer.address.value}, LeavingTargetsRequest{members.members.at(members.self).update.address.value});
}

void TargetDisseminator::send(const std::vector<std::string> &audience, const TargetDisseminationMessage &message)
{
    const auto bytes = encodeTargetDissemination(message);
    std::ranges::for_each(audience, [this, &bytes](const std::string &peer) {
        this->peers.send(Channel::Targets, peer, bytes);
    });
}

} // namespace Briarbend::Gateway

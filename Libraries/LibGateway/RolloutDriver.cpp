#include <LibGateway/RolloutDriver.h>

#include <LibNetwork/WallClock.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Briarbend::Gateway
{

namespace
{

using Coordination::Channel;
using Log::Importance;

constexpr std::chrono::milliseconds TICK{100};
constexpr std::chrono::milliseconds EVIDENCE_INTERVAL{300};
/// Part of the time between order and deadline by which a good version is to have everything; the rest is for confirmations and the write.
constexpr double FINISH_PART = 0.95;
/// Part of the exposure that is planned with; the rest is for the steps before the version is proven and for requests that are on their
/// way.
constexpr double TRIAL_PART = 0.6;
constexpr const char *OLD_VERSION{"previous"};
/// The largest trial share, where hardly any traffic was seen to plan with.
constexpr double LARGEST_TRIAL_SHARE = 0.25;
/// Traffic over less time than this says little about its rate.
constexpr std::chrono::milliseconds SHORTEST_RATE_SPAN{1000};
/// Part of the move's time after which a version must have shown that it serves: shortly before the share grows even on thin evidence.
constexpr double PROOF_FRACTION = 0.62;
/// Time for which an instance must have been a judge before it misses evidence: a few times the interval in which it is sent.
constexpr std::chrono::milliseconds JUDGE_EXPERIENCE{1200};

/// The course of a move whose deadline is binding: targets are few and requests per instance too, so that evidence is kept for ten seconds.
Rollout::Settings courseSettings()
{
    Rollout::Settings settings;
    settings.retainedIntervals = 40;
    settings.trialFraction = 0.55;
    settings.forcedRampFraction = 0.65;
    settings.doneFraction = 0.8;
    settings.steps = {0.2, 0.4, 0.7};
    settings.minimumSuccesses = 15;
    return settings;
}

Rollout::LoadLevel levelOf(const Fleet::ServiceState &book)
{
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    for (const auto &target : book.targets) {
        slots += target.record.slots;
        running += target.loadReport ? target.loadReport->running : target.ownInFlight;
    }
    return Rollout::loadLevelOf(running, std::max(1U, slots));
}

} // namespace

RolloutDriver::RolloutDriver(GatewayState &gatewayState,
                             Core::TimerService &timers,
                             PlatformStore &platformStore,
                             Coordination::PeerLink &peerLink)
    : state(gatewayState)
    , store(platformStore)
    , peers(peerLink)
{
    this->peers.onMessage(Channel::Rollout, [this](const std::string &, std::string_view bytes) {
        this->receive(bytes);
    });
    this->state.versionSplitFor = [this](const Core::ServiceName &service, const std::string &route) {
        return this->split(service, route);
    };
    this->state.onObserved = [this](const AttemptObservation &observation) {
        this->observe(observation);
    };
    this->subscriptions.push_back(timers.every(TICK, [this](Core::TimePoint now) {
        this->tick(now);
    }));
    this->subscriptions.push_back(timers.every(EVIDENCE_INTERVAL, [this](Core::TimePoint) {
        std::ranges::for_each(this->moves, [this](auto &entry) {
            this->sendEvidence(entry.second);
            this->sendConfirmation(entry.second);
        });
        this->tellStatuses();
    }));
}

void RolloutDriver::take(const RolloutOrder &order, Revision revision)
{
    auto &move = this->moves[order.service.value];
    if (revision < move.revision) {
        return;
    }
    const bool isNew = move.revision == 0 || move.order.version != order.version;
    const bool isProgress = isNew || move.order.progress != order.progress;
    if (isNew) {
        move = Move{};
    }
    move.order = order;
    move.revision = revision;
    if (isFinal(order.progress.state)) {
        move.state.reset();
        move.dueSince.reset();
    } else if (order.progress.state == RolloutState::Running) {
        this->beginRunning(move);
    }
    if (isProgress) {
        this->state.log.write(Importance::Notable,
                              "rollout",
                              {{"service", order.service.value},
                               {"version", order.version.value},
                               {"state", nameOf(order.progress.state)},
                               {"revision", revision}});
    }
}

std::map<std::string, RolloutOrder> RolloutDriver::orders() const
{
    std::map<std::string, RolloutOrder> orders;
    for (const auto &[service, move] : this->moves) {
        orders.emplace(service, move.order);
    }
    return orders;
}

void RolloutDriver::forget(const std::string &service)
{
    this->moves.erase(service);
}

void RolloutDriver::beginRunning(Move &move)
{
    const auto start = move.order.progress.startedAt;
    if (move.state && move.state->rollout.start == start) {
        return;
    }
    const auto whole = std::chrono::duration_cast<std::chrono::milliseconds>(move.order.ramp * FINISH_PART);
    const Configuration::Rollout configured{.service = move.order.service,
                                            .from = {OLD_VERSION},
                                            .to = move.order.version,
                                            .start = start,
                                            .finishBy = start + whole,
                                            .trialShare = this->trialShare(move)};
    move.state = std::make_unique<Rollout::RolloutState>(configured, this->peers.state().members.self, courseSettings());
    this->refreshTargets(move);
}

double RolloutDriver::trialShare(const Move &move) const
{
    const auto &settings = this->state.settings.rollouts;
    const auto book = this->state.services.find(move.order.service);
    if (book == this->state.services.end() || book->second->budget.requests.empty()) {
        return settings.exposedShare * TRIAL_PART;
    }
    // Each instance plans with its own traffic; over all instances the requests beyond the share add up to their bound.
    const auto &seen = book->second->budget.requests;
    const std::chrono::duration<double> span = std::max<Core::Duration>(SHORTEST_RATE_SPAN, Core::Clock::now() - seen.front());
    const std::chrono::duration<double> ramp = move.order.ramp;
    const auto expected = static_cast<double>(seen.size()) / span.count() * ramp.count() * static_cast<double>(this->state.instances);
    return std::min(LARGEST_TRIAL_SHARE, TRIAL_PART * (settings.exposedShare + settings.exposedRequests / expected));
}

void RolloutDriver::noteJudge(Move &move, Core::TimePoint now) const
{
    const auto &members = this->peers.state().members;
    const auto judges = Rollout::evaluators(*move.state, Membership::aliveMembers(members));
    const bool isJudge = std::ranges::find(judges, members.self) != judges.end();
    if (!isJudge) {
        move.judgeSince.reset();
    } else if (!move.judgeSince) {
        move.judgeSince = now;
    }
}

void RolloutDriver::requireProof(Move &move, Core::TimePoint now)
{
    const auto wallNow = this->clock.now();
    const auto &course = move.state->rollout;
    const auto due
        = course.start + std::chrono::duration_cast<std::chrono::milliseconds>((course.finishBy - course.start) * PROOF_FRACTION);
    const bool isExperienced = move.judgeSince && now - *move.judgeSince >= JUDGE_EXPERIENCE;
    if (wallNow < due || !isExperienced || !Rollout::isUnproven(*move.state)) {
        return;
    }
    if (const auto status = Rollout::rollBack(*move.state, Rollout::Fault::Unproven, wallNow)) {
        this->logStep(move, *status);
        this->tellVerdict(*status);
    }
}

std::optional<VersionSplit> RolloutDriver::split(const Core::ServiceName &service, const std::string &route) const
{
    const auto found = this->moves.find(service.value);
    if (found == this->moves.end()) {
        return std::nullopt;
    }
    const auto &move = found->second;
    VersionSplit split{
        .newVersion = move.order.version, .newShare = 0, .newVersionTargets = {}, .fallback = VersionFallback::OtherVersions};
    if (move.order.progress.state == RolloutState::Completed) {
        split.newShare = 1;
        split.fallback = VersionFallback::None;
        return split;
    }
    if (!move.state) {
        return split;
    }
    const auto now = this->clock.now();
    split.newShare = Rollout::newVersionShare(*move.state, {route, move.level}, now);
    if (move.state->status.phase == Rollout::Phase::Done) {
        split.fallback = VersionFallback::None;
    }
    if (const auto allowed = Rollout::allowedTargets(*move.state, now)) {
        std::ranges::transform(*allowed, std::back_inserter(split.newVersionTargets), &Core::TargetId::value);
    }
    return split;
}

void RolloutDriver::observe(const AttemptObservation &observation)
{
    const auto found = this->moves.find(observation.service.value);
    if (found == this->moves.end() || !found->second.state) {
        return;
    }
    auto &move = found->second;
    Rollout::observe(*move.state,
                     {.segment = {observation.route, move.level},
                      .role = observation.version == move.order.version ? Rollout::VersionRole::New : Rollout::VersionRole::Old,
                      .target = {observation.target},
                      .isFailure = observation.isFailure,
                      .latency = std::chrono::duration_cast<std::chrono::microseconds>(observation.elapsed),
                      .isCold = observation.wasCold,
                      .slowThreshold = observation.objective},
                     this->clock.now());
    if (observation.isFailure && observation.version == move.order.version) {
        this->decide(move);
    }
}

void RolloutDriver::tick(Core::TimePoint now)
{
    for (auto &[service, move] : this->moves) {
        if (move.state) {
            this->refreshTargets(move);
            this->decide(move);
            this->noteJudge(move, now);
            this->requireProof(move, now);
        }
        this->writeWhenDue(service, move, now);
    }
}

void RolloutDriver::decide(Move &move)
{
    const auto status = Rollout::advanceRollout(*move.state, this->clock.now());
    if (status) {
        this->logStep(move, *status);
    }
    if (status && status->phase == Rollout::Phase::RolledBack) {
        this->tellVerdict(*status);
    }
    if (Rollout::isEvidenceUrgent(*move.state, this->clock.now())) {
        this->sendEvidence(move);
    }
}

void RolloutDriver::logStep(const Move &move, const Rollout::Status &status) const
{
    const auto sum = Rollout::totalResponses(*move.state);
    this->state.log.write(Importance::Notable,
                          "rollout_step",
                          {{"service", status.service.value},
                           {"version", status.to.value},
                           {"phase", Rollout::nameOf(status.phase)},
                           {"step", status.step},
                           {"fault", Rollout::nameOf(status.fault)},
                           {"route", status.faultRoute},
                           {"requests", move.state->requests},
                           {"requests_to_new", move.state->requestsToNew},
                           {"known_to_new", sum.requestsToNew},
                           {"known_in_time", sum.newFastSuccesses},
                           {"trial_share", move.state->rollout.trialShare}});
}

void RolloutDriver::refreshTargets(Move &move) const
{
    const auto book = this->state.services.find(move.order.service);
    if (book == this->state.services.end()) {
        return;
    }
    std::vector<Core::TargetId> oldTargets;
    std::vector<Core::TargetId> newTargets;
    const auto now = Core::Clock::now();
    for (const auto &target : book->second->targets) {
        const bool isNew = target.record.version == move.order.version;
        const bool isUsable = !target.record.isLeaving && target.coldUntil <= now;
        if (isUsable) {
            (isNew ? newTargets : oldTargets).push_back({target.record.name});
        }
    }
    Rollout::setTargets(*move.state, oldTargets, newTargets, this->clock.now());
    move.level = levelOf(*book->second);
}

} // namespace Briarbend::Gateway

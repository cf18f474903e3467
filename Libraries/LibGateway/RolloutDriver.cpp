#include <LibGateway/RolloutDriver.h>

#include <LibMembership/Majority.h>
#include <LibNetwork/WallClock.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Briarbend::Gateway
{

namespace
{

using Coordination::Channel;
using Log::Importance;

constexpr std::chrono::milliseconds TICK_INTERVAL{100};
constexpr std::chrono::milliseconds STATUS_INTERVAL{300};
constexpr std::chrono::milliseconds MINIMUM_EVIDENCE_INTERVAL{300};
/// Bounds what an evaluator receives from all instances together to 1,000 messages a second. A longer interval would let failures, which
/// are sent at once, arrive long before the successes of the same time.
constexpr std::chrono::microseconds EVIDENCE_INTERVAL_PER_MEMBER{1000};
/// Fraction of the time between order and deadline by which a good version is to receive all requests; the rest is for confirmations and
/// the write.
constexpr double FINISH_FRACTION = 0.95;
constexpr const char *PREVIOUS_VERSION{"previous"};
/// Bounds the exposure, as a fraction of all requests, if hardly any traffic was observed.
constexpr double MAXIMUM_EXPOSURE = 0.35;
/// Shorter observations do not give a reliable request rate.
constexpr std::chrono::milliseconds MINIMUM_RATE_WINDOW{1000};
/// Evidence that did not arrive within this many intervals is missing.
constexpr int MISSING_EVIDENCE_INTERVALS = 4;

struct Occupancy {
    std::uint32_t slots{0};
    std::uint32_t running{0};
};

Occupancy occupancyOf(const Fleet::ServiceState &service)
{
    Occupancy occupancy;
    for (const auto &target : service.targets) {
        occupancy.slots += target.record.slots;
        occupancy.running += target.loadReport ? target.loadReport->running : target.ownInFlight;
    }
    return occupancy;
}

Rollout::Observation
rolloutObservationOf(const AttemptObservation &observation, const Core::VersionName &newVersion, Rollout::LoadLevel level)
{
    return {.segment = {observation.route, level},
            .role = observation.version == newVersion ? Rollout::VersionRole::New : Rollout::VersionRole::Old,
            .target = {observation.target},
            .isFailure = observation.isFailure,
            .latency = std::chrono::duration_cast<std::chrono::microseconds>(observation.elapsed),
            .isCold = observation.wasCold,
            .isBusy = observation.wasBusy,
            .isCutShort = observation.isCutShort,
            .slowThreshold = observation.objective};
}

/// Interval at which each instance sends its evidence to the evaluators.
std::chrono::milliseconds evidenceInterval(std::size_t instances)
{
    return std::max(MINIMUM_EVIDENCE_INTERVAL,
                    std::chrono::duration_cast<std::chrono::milliseconds>(EVIDENCE_INTERVAL_PER_MEMBER * instances));
}

} // namespace

RolloutDriver::RolloutDriver(GatewayState &gatewayState,
                             Core::TimerService &timers,
                             PlatformStore &platformStore,
                             Coordination::PeerLink &peerLink)
    : state(gatewayState)
    , store(platformStore)
    , peers(peerLink)
    , presence(gatewayState, timers, platformStore, peerLink)
{
    this->peers.onMessage(Channel::Rollout, [this](const std::string &, std::string_view bytes) {
        this->receive(bytes);
    });
    this->state.versionSplitFor = [this](const Core::ServiceName &service, const std::string &route) {
        return this->split(service, route);
    };
    this->state.onSent = [this](const AttemptObservation &observation) {
        return this->trackPending(observation);
    };
    this->state.onObserved = [this](const AttemptObservation &observation) {
        this->observe(observation);
    };
    this->subscriptions.push_back(timers.every(TICK_INTERVAL, [this](Core::TimePoint now) {
        this->tick(now);
    }));
    this->subscriptions.push_back(timers.every(STATUS_INTERVAL, [this](Core::TimePoint) {
        this->gossipStatuses();
    }));
}

void RolloutDriver::applyOrder(const RolloutOrder &order, Revision revision)
{
    auto &rollout = this->rollouts[order.service.value];
    if (revision < rollout.revision) {
        return;
    }
    const bool isNew = !rollout.revision.isKnown() || rollout.order.version != order.version;
    const bool mayBeLost = revision.era > rollout.revision.era || isLost(rollout);
    const bool isLost = !isNew && mayBeLost && isBehind(order.progress, rollout.order.progress);
    const bool isProgress = isNew || isLost || rollout.order.progress != order.progress;
    if (isNew) {
        rollout = TrackedRollout{};
    }
    const auto known = rollout.order.progress;
    rollout.order = order;
    rollout.revision = revision;
    rollout.stored = order.progress;
    if (isLost) {
        rollout.order.progress = known;
    }
    this->followProgress(rollout);
    if (isProgress) {
        this->state.log.write(Importance::Notable,
                              "rollout",
                              {{"service", order.service.value},
                               {"version", order.version.value},
                               {"state", nameOf(rollout.order.progress.state)},
                               {"stored_state", nameOf(order.progress.state)},
                               {"era", revision.era},
                               {"revision", revision.number}});
    }
}

void RolloutDriver::followProgress(TrackedRollout &rollout)
{
    if (isFinal(rollout.order.progress.state)) {
        rollout.state.reset();
        rollout.writeDueSince.reset();
    } else if (rollout.order.progress.state == RolloutState::Running) {
        this->startRollout(rollout);
    }
}

void RolloutDriver::adoptProgress(const RolloutOrder &order)
{
    const auto found = this->rollouts.find(order.service.value);
    if (found == this->rollouts.end()) {
        this->applyOrder(order, {});
    } else if (found->second.order.version == order.version && isBehind(found->second.order.progress, order.progress)) {
        found->second.order.progress = order.progress;
        this->followProgress(found->second);
    }
}

bool RolloutDriver::isAheadOfStore() const
{
    return std::ranges::any_of(this->rollouts, [](const auto &entry) {
        return isLost(entry.second);
    });
}

std::map<std::string, RolloutOrder> RolloutDriver::orders() const
{
    std::map<std::string, RolloutOrder> orders;
    for (const auto &[service, rollout] : this->rollouts) {
        orders.emplace(service, rollout.order);
    }
    return orders;
}

void RolloutDriver::removeOrder(const std::string &service)
{
    this->rollouts.erase(service);
}

void RolloutDriver::startRollout(TrackedRollout &rollout)
{
    const auto start = rollout.order.progress.startedAt;
    if (rollout.state && rollout.state->rollout.start == start) {
        return;
    }
    const auto duration = std::chrono::duration_cast<std::chrono::milliseconds>(rollout.order.ramp * FINISH_FRACTION);
    auto settings = Rollout::deadlineSettings();
    settings.exposure = Rollout::ExposureSettings{.allowed = this->allowedExposure(rollout)};
    const Configuration::Rollout configured{.service = rollout.order.service,
                                            .from = {PREVIOUS_VERSION},
                                            .to = rollout.order.version,
                                            .start = start,
                                            .finishBy = start + duration,
                                            .trialShare
                                            = settings.exposure->allowed * settings.exposure->trialPart / settings.trialFraction};
    rollout.state = std::make_unique<Rollout::RolloutState>(configured, this->peers.state().members.self, settings);
    this->refreshTargets(rollout);
}

double RolloutDriver::allowedExposure(const TrackedRollout &rollout) const
{
    const auto &settings = this->state.settings.rollouts;
    const auto service = this->state.services.find(rollout.order.service);
    if (service == this->state.services.end() || service->second->budget.requests.empty()) {
        return settings.exposedShare;
    }
    // Each instance uses the rate of its own traffic; over all instances, the requests beyond the share add up to their limit.
    const auto &seen = service->second->budget.requests;
    const std::chrono::duration<double> span = std::max<Core::Duration>(MINIMUM_RATE_WINDOW, Core::Clock::now() - seen.front());
    const std::chrono::duration<double> ramp = rollout.order.ramp;
    // One more than seen, since the mean of the reciprocals of small counts is too large.
    // Members that are missing may send requests elsewhere.
    const auto instances = std::max(this->state.instances, Membership::countExpected(this->peers.state().members));
    const auto expected = static_cast<double>(seen.size() + 1) / span.count() * ramp.count() * static_cast<double>(instances);
    return std::min(MAXIMUM_EXPOSURE, settings.exposedShare + settings.exposedRequests / expected);
}

void RolloutDriver::updateEvaluatorSince(TrackedRollout &rollout, Core::TimePoint now) const
{
    const auto &members = this->peers.state().members;
    const auto &evaluators = rollout.roles.evaluators;
    const bool isEvaluator = std::ranges::find(evaluators, members.self) != evaluators.end();
    if (isEvaluator == rollout.evaluatorSince.has_value()) {
        return;
    }
    rollout.evaluatorSince = isEvaluator ? std::optional(now) : std::nullopt;
    this->state.log.write(
        Importance::Notable, "rollout_evaluator", {{"service", rollout.order.service.value}, {"is_evaluator", isEvaluator}});
}

Rollout::EvidenceCoverage RolloutDriver::evidenceCoverage(const TrackedRollout &rollout, Core::TimePoint now) const
{
    const auto evidenceDelay = evidenceInterval(this->state.instances) * MISSING_EVIDENCE_INTERVALS;
    if (!rollout.evaluatorSince || now - *rollout.evaluatorSince < evidenceDelay) {
        return {.scope = Rollout::EvidenceScope::Own, .judges = this->state.instances};
    }
    return {.scope = this->presence.mayDecideForAll(now) ? Rollout::EvidenceScope::All : Rollout::EvidenceScope::Reached};
}

void RolloutDriver::logScope(TrackedRollout &rollout, Rollout::EvidenceScope scope, Core::TimePoint now) const
{
    if (std::exchange(rollout.scope, scope) == scope) {
        return;
    }
    const auto &members = this->peers.state().members;
    this->state.log.write(Importance::Notable,
                          "rollout_scope",
                          {{"service", rollout.order.service.value},
                           {"scope", Rollout::nameOf(scope)},
                           {"alive", Membership::countAlive(members)},
                           {"expected", Membership::countExpected(members)},
                           {"shown_elsewhere", this->presence.countShownElsewhere(now)}});
}

std::optional<std::size_t> RolloutDriver::bestWriteRank() const
{
    std::optional<std::size_t> best;
    for (const auto &[service, rollout] : this->rollouts) {
        const auto rank = this->writeRank(rollout);
        if (rollout.state && rank < rollout.roles.writers.size()) {
            best = std::min(best.value_or(rank), rank);
        }
    }
    return best;
}

void RolloutDriver::judgeTrial(TrackedRollout &rollout, Core::TimePoint now)
{
    const auto coverage = this->evidenceCoverage(rollout, now);
    this->logScope(rollout, coverage.scope, now);
    if (const auto status = Rollout::judgeTrial(*rollout.state, this->clock.now(), coverage)) {
        this->logStatus(rollout, *status);
        // The finish of an unproven rollout is the same to all instances: it needs no message of each to all others.
        if (rollout.evaluatorSince || status->fault != Rollout::Fault::Unproven) {
            this->broadcastStatus(*status);
        }
    }
}

std::optional<VersionSplit> RolloutDriver::split(const Core::ServiceName &service, const std::string &route) const
{
    const auto found = this->rollouts.find(service.value);
    if (found == this->rollouts.end()) {
        return std::nullopt;
    }
    const auto &rollout = found->second;
    VersionSplit split{
        .newVersion = rollout.order.version, .newShare = 0, .newVersionTargets = {}, .fallback = VersionFallback::OtherVersions};
    if (rollout.order.progress.state == RolloutState::Completed) {
        split.newShare = 1;
        split.fallback = VersionFallback::None;
        return split;
    }
    if (!rollout.state) {
        return split;
    }
    const auto now = this->clock.now();
    split.newShare = Rollout::newVersionShare(*rollout.state, {route, rollout.level}, now);
    if (rollout.state->status.phase == Rollout::Phase::Done) {
        split.fallback = VersionFallback::None;
    }
    if (const auto allowed = Rollout::allowedTargets(*rollout.state, now)) {
        std::ranges::transform(*allowed, std::back_inserter(split.newVersionTargets), &Core::TargetId::value);
    }
    return split;
}

std::shared_ptr<void> RolloutDriver::trackPending(const AttemptObservation &observation)
{
    const auto found = this->rollouts.find(observation.service.value);
    if (found == this->rollouts.end() || !found->second.state) {
        return nullptr;
    }
    const auto &rollout = found->second;
    return Rollout::trackPending(
        *rollout.state, rolloutObservationOf(observation, rollout.order.version, rollout.level), this->clock.now());
}

void RolloutDriver::observe(const AttemptObservation &observation)
{
    const auto found = this->rollouts.find(observation.service.value);
    if (found == this->rollouts.end() || !found->second.state) {
        return;
    }
    auto &rollout = found->second;
    Rollout::observe(*rollout.state, rolloutObservationOf(observation, rollout.order.version, rollout.level), this->clock.now());
    if (observation.isFailure && observation.version == rollout.order.version) {
        this->advanceWhenDue(rollout);
    }
}

void RolloutDriver::tick(Core::TimePoint now)
{
    this->presence.advance(this->bestWriteRank(), now);
    for (auto &[service, rollout] : this->rollouts) {
        if (!isFinal(rollout.order.progress.state)) {
            Coordination::updateRoles(rollout.roles, this->peers.state().members, rollout.order.service);
        }
        if (rollout.state) {
            this->updateEvaluatorSince(rollout, now);
            this->refreshTargets(rollout);
            this->advanceWhenDue(rollout);
            this->report(rollout, now);
            this->judgeTrial(rollout, now);
        }
        this->writeWhenDue(service, rollout, now);
    }
}

void RolloutDriver::report(TrackedRollout &rollout, Core::TimePoint now)
{
    if (now < rollout.nextReportAt) {
        return;
    }
    rollout.nextReportAt = now + evidenceInterval(this->state.instances);
    this->sendEvidence(rollout);
    this->sendConfirmation(rollout);
}

void RolloutDriver::advanceWhenDue(TrackedRollout &rollout)
{
    const auto now = this->clock.now();
    if (Rollout::isEvaluationDue(*rollout.state, now)) {
        ++this->state.counters.rolloutEvaluations;
        const auto status = Rollout::advanceRollout(*rollout.state, now);
        if (status) {
            this->logStatus(rollout, *status);
        }
        if (status && status->phase == Rollout::Phase::RolledBack) {
            this->broadcastStatus(*status);
        }
    }
    if (Rollout::isEvidenceUrgent(*rollout.state, now)) {
        this->sendEvidence(rollout);
    }
}

void RolloutDriver::logStatus(const TrackedRollout &rollout, const Rollout::Status &status) const
{
    const auto sum = Rollout::totalResponses(*rollout.state);
    this->state.log.write(Importance::Notable,
                          "rollout_step",
                          {{"service", status.service.value},
                           {"version", status.to.value},
                           {"phase", Rollout::nameOf(status.phase)},
                           {"step", status.step},
                           {"fault", Rollout::nameOf(status.fault)},
                           {"route", status.faultRoute},
                           {"requests", rollout.state->requests},
                           {"requests_to_new", rollout.state->requestsToNew},
                           {"known_to_new", sum.requestsToNew},
                           {"known_in_time", sum.newFastSuccesses},
                           {"is_proven", status.isProven},
                           {"answers_judged", rollout.state->verdict.answers},
                           {"significance", rollout.state->verdict.significance},
                           {"trial_share", rollout.state->rollout.trialShare}});
}

void RolloutDriver::refreshTargets(TrackedRollout &rollout) const
{
    const auto service = this->state.services.find(rollout.order.service);
    if (service == this->state.services.end()) {
        return;
    }
    std::vector<Core::TargetId> oldTargets;
    std::vector<Core::TargetId> newTargets;
    const auto now = Core::Clock::now();
    for (const auto &target : service->second->targets) {
        const bool isNew = target.record.version == rollout.order.version;
        const bool isUsable = !target.record.isLeaving && target.coldUntil <= now;
        if (isUsable) {
            (isNew ? newTargets : oldTargets).push_back({target.record.name});
        }
    }
    Rollout::setTargets(*rollout.state, oldTargets, newTargets, this->clock.now());
    const auto occupancy = occupancyOf(*service->second);
    rollout.level = Rollout::loadLevelOf(occupancy.running, std::max(1U, occupancy.slots));
    const auto targets = static_cast<double>(std::max<std::size_t>(1, service->second->targets.size()));
    rollout.state->loadingShare = Rollout::loadingShareOf(static_cast<double>(occupancy.slots) / targets, occupancy.running);
}

} // namespace Briarbend::Gateway

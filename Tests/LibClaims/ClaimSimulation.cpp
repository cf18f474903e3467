#include "ClaimSimulation.h"

#include <LibClaims/BucketCodec.h>

#include <algorithm>

namespace Briarbend::Claims
{

using Rejection::Reason;
using Rejection::RequestProgress;

namespace
{

constexpr std::chrono::milliseconds REQUEST_TIMEOUT{400};
constexpr std::chrono::milliseconds OUTCOME_RETRY_INTERVAL{100};
constexpr std::chrono::milliseconds SETTLE_DURATION{4000};

Core::WallTime toWallTime(Core::TimePoint now)
{
    return Core::WallTime{std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch())};
}

} // namespace

ClaimSimulation::ClaimSimulation(std::vector<std::uint32_t> runChoices, Mutation runMutation)
    : choices(std::move(runChoices))
    , mutation(runMutation)
    , instances(INSTANCE_COUNT)
{
    for (std::size_t index = 0; index < INSTANCE_COUNT; ++index) {
        this->restartInstance(index);
    }
}

std::size_t ClaimSimulation::choose(std::size_t bound)
{
    if (this->nextChoice >= this->choices.size()) {
        return 0;
    }
    return this->choices[this->nextChoice++] % bound;
}

bool ClaimSimulation::isCurrentIncarnation(std::size_t instance, std::uint32_t incarnation) const
{
    return this->instances[instance].incarnation == incarnation;
}

void ClaimSimulation::restartInstance(std::size_t instance)
{
    const auto incarnation = this->instances[instance].incarnation + 1;
    this->instances[instance] = {};
    this->instances[instance].incarnation = incarnation;
    this->instances[instance].committer.emplace(Core::InstanceId{std::to_string(instance) + "." + std::to_string(incarnation)},
                                                this->settings);
}

void ClaimSimulation::run()
{
    while (this->nextChoice < this->choices.size()) {
        this->runStep();
    }
    this->settle();
}

void ClaimSimulation::runWithoutFaults(std::size_t keys)
{
    for (std::size_t key = 0; key < keys; ++key) {
        this->submitRequest(key, 0);
    }
    this->settle();
}

void ClaimSimulation::runStep()
{
    ++this->steps;
    const auto action = this->choose(24);
    if (action < 3) {
        const auto key = this->choose(KEY_COUNT);
        this->submitRequest(key, this->choose(10) == 0 ? 1 : 0);
    } else if (action < 15) {
        if (!this->messages.empty()) {
            this->deliver(this->choose(this->messages.size()));
        }
    } else if (action < 18) {
        this->injectMessageFault();
    } else if (action < 20) {
        this->advanceTime(std::chrono::milliseconds{1 + this->choose(80)});
    } else if (action < 22) {
        this->injectSubmissionFault();
    } else if (action == 22) {
        auto &instance = this->instances[this->choose(INSTANCE_COUNT)];
        instance.isFrozen = !instance.isFrozen;
    } else if (this->choose(4) == 0) {
        this->restartInstance(this->choose(INSTANCE_COUNT));
    }
    for (std::size_t index = 0; index < this->submissions.size(); ++index) {
        if (this->submissions[index].claim.phase == RequestPhase::Holding && this->choose(3) == 0) {
            this->sendIfGranted(index);
        }
    }
}

void ClaimSimulation::settle()
{
    std::ranges::for_each(this->instances, [](Instance &instance) {
        instance.isFrozen = false;
    });
    const auto end = this->now + SETTLE_DURATION;
    while (this->now < end) {
        while (!this->messages.empty()) {
            ++this->steps;
            this->deliver(0);
        }
        for (std::size_t index = 0; index < this->submissions.size(); ++index) {
            this->sendIfGranted(index);
        }
        this->advanceTime(std::chrono::milliseconds{5});
    }
}

void ClaimSimulation::submitRequest(std::size_t key, std::size_t digest)
{
    const auto instance = this->choose(INSTANCE_COUNT);
    if (this->instances[instance].isFrozen) {
        return;
    }
    RequestClaim claim{.key = keyDigest("ledger", "/dispatch", std::to_string(key)),
                       .requestDigest = requestDigest("POST", "/dispatch", std::to_string(digest)),
                       .attempt = newAttemptId(this->random),
                       .instance = this->instances[instance].committer->self,
                       .deadline = this->now + REQUEST_TIMEOUT,
                       .wakeAt = {}};
    this->submissions.push_back({.key = key,
                                 .claim = claim,
                                 .instance = instance,
                                 .incarnation = this->instances[instance].incarnation,
                                 .startStep = this->steps,
                                 .refusal = {},
                                 .answer = {}});
    const auto index = this->submissions.size() - 1;
    if (this->mutation == Mutation::SendsWithoutClaim) {
        this->submissions[index].claim.phase = RequestPhase::Holding;
        return;
    }
    this->execute(index, beginClaim(this->submissions[index].claim, this->settings, this->now, toWallTime(this->now)));
}

void ClaimSimulation::advanceTime(std::chrono::milliseconds duration)
{
    this->now += duration;
    for (std::size_t index = 0; index < INSTANCE_COUNT; ++index) {
        auto &instance = this->instances[index];
        if (instance.isFrozen) {
            continue;
        }
        if (instance.committerWakeAt <= this->now) {
            this->execute(index, onTimer(*instance.committer, this->now, toWallTime(this->now)));
        }
        for (std::size_t position = 0; position < instance.outcomes.size(); ++position) {
            auto &outcome = instance.outcomes[position];
            if (!outcome.isStored && outcome.retryAt <= this->now) {
                outcome.retryAt = this->now + OUTCOME_RETRY_INTERVAL;
                this->submitTo(index, {outcome.submission, index, instance.incarnation, position}, Operation{outcome.operation});
            }
        }
    }
    for (std::size_t index = 0; index < this->submissions.size(); ++index) {
        auto &submission = this->submissions[index];
        if (this->isCurrentIncarnation(submission.instance, submission.incarnation) && !this->instances[submission.instance].isFrozen) {
            this->execute(index, onTimer(submission.claim, this->settings, this->now, toWallTime(this->now)));
        }
    }
}

void ClaimSimulation::injectMessageFault()
{
    if (this->messages.empty()) {
        return;
    }
    const auto index = this->choose(this->messages.size());
    const auto message = this->messages[index];
    const auto kind = this->choose(4);
    if (const auto *call = std::get_if<StoreCall>(&message)) {
        if (kind == 0) {
            // The instance stops waiting for the call, which takes effect later.
            this->messages.emplace_back(StoreReply{*call, StoreStatus::Unknown, 0, {}});
            return;
        }
        this->messages.erase(this->messages.begin() + static_cast<std::ptrdiff_t>(index));
        if (kind == 1) {
            this->callStore(*call, true);
        } else {
            const auto status = kind == 2 ? StoreStatus::Unavailable : StoreStatus::Unknown;
            this->messages.emplace_back(StoreReply{*call, status, 0, {}});
        }
        return;
    }
    if (const auto *request = std::get_if<TargetRequest>(&message)) {
        const auto submission = request->submission;
        this->messages.erase(this->messages.begin() + static_cast<std::ptrdiff_t>(index));
        if (kind == 0) {
            this->messages.emplace_back(TargetReply{submission, RequestProgress::RefusedByTargetNotRun, {}});
            return;
        }
        if (kind == 1) {
            this->handle(TargetRequest{submission});
            this->messages.pop_back();
        }
        this->messages.emplace_back(TargetReply{submission, RequestProgress::SentOutcomeUnknown, {}});
        return;
    }
    if (std::holds_alternative<TargetReply>(message) || std::holds_alternative<StoreReply>(message)) {
        return;
    }
    if (kind < 2) {
        this->messages.push_back(message);
        return;
    }
    this->messages.erase(this->messages.begin() + static_cast<std::ptrdiff_t>(index));
}

void ClaimSimulation::injectSubmissionFault()
{
    if (this->submissions.empty()) {
        return;
    }
    const auto index = this->choose(this->submissions.size());
    auto &submission = this->submissions[index];
    if (!this->isCurrentIncarnation(submission.instance, submission.incarnation) || this->instances[submission.instance].isFrozen) {
        return;
    }
    if (this->choose(6) == 0) {
        submission.isCallerGone = true;
        this->execute(index, onCallerGone(submission.claim, toWallTime(this->now)));
    } else if (submission.claim.phase == RequestPhase::Holding) {
        this->failSubmission(index, Reason::Overloaded, RequestProgress::NotSent);
    }
}

bool ClaimSimulation::isDeliverable(const Message &message) const
{
    if (const auto *operation = std::get_if<OperationMessage>(&message)) {
        return !this->instances[operation->to].isFrozen;
    }
    if (const auto *result = std::get_if<ResultMessage>(&message)) {
        return !this->instances[result->origin.instance].isFrozen;
    }
    if (const auto *reply = std::get_if<StoreReply>(&message)) {
        return !this->instances[reply->call.instance].isFrozen;
    }
    if (const auto *reply = std::get_if<TargetReply>(&message)) {
        return !this->instances[this->submissions[reply->submission].instance].isFrozen;
    }
    return true;
}

void ClaimSimulation::deliver(std::size_t index)
{
    const auto message = this->messages[index];
    if (!this->isDeliverable(message)) {
        return;
    }
    this->messages.erase(this->messages.begin() + static_cast<std::ptrdiff_t>(index));
    std::visit(
        [this](const auto &one) {
            this->handle(one);
        },
        message);
}

void ClaimSimulation::handle(const OperationMessage &message)
{
    this->submitTo(message.to, message.origin, message.operation);
}

void ClaimSimulation::handle(const ResultMessage &message)
{
    if (!this->isCurrentIncarnation(message.origin.instance, message.origin.incarnation)) {
        return;
    }
    const auto *claimResult = std::get_if<ClaimResult>(&message.result);
    if (claimResult == nullptr) {
        this->recordOutcome(message);
        return;
    }
    auto &submission = this->submissions[message.origin.submission];
    const auto wasEnded = submission.claim.phase == RequestPhase::Ended;
    if (this->mutation == Mutation::SendsOnLateGrant && wasEnded && !submission.claim.wasSent
        && std::holds_alternative<Granted>(*claimResult)) {
        submission.claim.phase = RequestPhase::Holding;
        submission.claim.deadline = this->now + REQUEST_TIMEOUT;
        return;
    }
    if (this->mutation == Mutation::TakesOverFromSilentHolder && std::holds_alternative<HeldByOtherAttempt>(*claimResult)) {
        auto bucket = decodeBucket(this->storeValue);
        bucket.claims.erase(submission.claim.key);
        this->storeValue = encodeBucket(bucket);
        ++this->storeVersion;
    }
    this->execute(message.origin.submission,
                  onClaimResult(submission.claim, *claimResult, this->choose(8) == 0, this->settings, this->now, toWallTime(this->now)));
}

void ClaimSimulation::handle(const StoreCall &call)
{
    this->callStore(call, false);
}

void ClaimSimulation::handle(const TargetRequest &request)
{
    const RecordedAnswer answer{.status = 201, .fields = {}, .body = "run " + std::to_string(this->runs.size())};
    this->runs.push_back({request.submission, this->steps, answer});
    this->messages.emplace_back(TargetReply{request.submission, RequestProgress::Answered, answer});
}

void ClaimSimulation::handle(const TargetReply &reply)
{
    auto &submission = this->submissions[reply.submission];
    if (!this->isCurrentIncarnation(submission.instance, submission.incarnation)) {
        return;
    }
    switch (reply.progress) {
    case RequestProgress::Answered:
        if (!submission.refusal) {
            submission.answer = reply.answer;
        }
        this->execute(reply.submission, onAnswered(submission.claim, *reply.answer));
        break;
    case RequestProgress::RefusedByTargetNotRun:
        this->execute(reply.submission, onRefusedByTarget(submission.claim));
        break;
    default:
        this->failSubmission(reply.submission, Reason::TargetConnectionLost, reply.progress);
    }
}

void ClaimSimulation::callStore(const StoreCall &call, bool isReplyLost)
{
    auto status = StoreStatus::Ok;
    if (const auto *write = std::get_if<ConditionalWrite>(&call.request)) {
        if (write->expectedVersion == this->storeVersion || this->mutation == Mutation::StoreIgnoresExpectedVersion) {
            ++this->storeVersion;
            this->storeValue = write->value;
        } else {
            status = StoreStatus::Conflict;
        }
    }
    if (this->mutation == Mutation::EvictsLiveClaims && this->choose(4) == 0) {
        auto bucket = decodeBucket(this->storeValue);
        std::erase_if(bucket.claims, [](const auto &entry) {
            return entry.second.state == ClaimState::Claimed;
        });
        this->storeValue = encodeBucket(bucket);
    }
    this->messages.emplace_back(StoreReply{call, isReplyLost ? StoreStatus::Unknown : status, this->storeVersion, this->storeValue});
}

void ClaimSimulation::handle(const StoreReply &reply)
{
    // Ignores replies to calls that the instance no longer waits for, and to calls of an earlier incarnation of it.
    const auto &call = reply.call;
    if (!this->isCurrentIncarnation(call.instance, call.incarnation) || this->pendingCalls.erase(call.call) == 0) {
        return;
    }
    auto &committer = *this->instances[call.instance].committer;
    if (std::holds_alternative<ReadBucket>(call.request)) {
        this->execute(call.instance, onRead(committer, {reply.status, reply.version, reply.value}, this->now, toWallTime(this->now)));
    } else {
        this->execute(call.instance, onWritten(committer, {reply.status, reply.version}, this->now, toWallTime(this->now)));
    }
}

void ClaimSimulation::submitTo(std::size_t instance, const Origin &origin, const Operation &operation)
{
    const auto id = this->nextOperation++;
    auto &owner = this->instances[instance];
    owner.origins.emplace(id, origin);
    const auto commitDeadline = this->now + REQUEST_TIMEOUT;
    this->execute(instance, submit(*owner.committer, id, operation, commitDeadline, this->now, toWallTime(this->now)));
}

void ClaimSimulation::execute(std::size_t instance, CommitterStep step)
{
    auto &owner = this->instances[instance];
    owner.committerWakeAt = step.wakeAt.value_or(Core::TimePoint::max());
    if (step.request) {
        const auto call = this->nextCall++;
        this->pendingCalls.insert(call);
        this->messages.emplace_back(StoreCall{instance, owner.incarnation, call, *step.request});
        if (this->mutation == Mutation::GrantsBeforeWrite) {
            for (std::size_t index = 0; index < owner.committer->batch.size(); ++index) {
                step.finished.push_back({owner.committer->batch[index].id, owner.committer->batchResults[index]});
            }
        }
    }
    for (const auto &finished : step.finished) {
        this->messages.emplace_back(ResultMessage{owner.origins.at(finished.id), finished.result});
    }
}

void ClaimSimulation::execute(std::size_t index, RequestDecision decision)
{
    auto &submission = this->submissions[index];
    if (const auto *refused = std::get_if<Refuse>(&decision.action); refused != nullptr && !submission.isCallerGone) {
        submission.refusal = refused->refusal;
        if (this->mutation == Mutation::RefusesWithoutKnowingEarlierSubmissions) {
            submission.refusal->earlier = Rejection::EarlierSubmissions::NoneRan;
        }
    }
    if (const auto *replay = std::get_if<Replay>(&decision.action)) {
        submission.answer = replay->answer;
    }
    if (std::holds_alternative<SendNow>(decision.action)) {
        this->messages.emplace_back(TargetRequest{index});
    }
    if (!decision.submit) {
        return;
    }
    Origin origin{index, submission.instance, submission.incarnation};
    if (!std::holds_alternative<ClaimOperation>(decision.submit->operation)) {
        origin.outcome = this->instances[submission.instance].outcomes.size();
        this->instances[submission.instance].outcomes.push_back({index, decision.submit->operation, this->now + OUTCOME_RETRY_INTERVAL});
    }
    if (decision.submit->path == CommitPath::Local) {
        this->submitTo(submission.instance, origin, decision.submit->operation);
    } else {
        this->messages.emplace_back(OperationMessage{origin, this->choose(INSTANCE_COUNT), decision.submit->operation});
    }
}

void ClaimSimulation::sendIfGranted(std::size_t index)
{
    auto &submission = this->submissions[index];
    const auto canAct
        = this->isCurrentIncarnation(submission.instance, submission.incarnation) && !this->instances[submission.instance].isFrozen;
    if (canAct && submission.claim.phase == RequestPhase::Holding) {
        this->execute(index, beginSending(submission.claim, this->now, toWallTime(this->now)));
    }
}

void ClaimSimulation::failSubmission(std::size_t index, Reason reason, RequestProgress progress)
{
    const auto isMutated = this->mutation == Mutation::ReleasesAfterLostConnection;
    Rejection::Refusal refusal{.reason = isMutated ? Reason::NoTarget : reason,
                               .progress = isMutated ? RequestProgress::NotSent : progress};
    this->execute(index, onFailed(this->submissions[index].claim, refusal, toWallTime(this->now)));
}

void ClaimSimulation::recordOutcome(const ResultMessage &message)
{
    this->instances[message.origin.instance].outcomes[*message.origin.outcome].isStored = true;
    this->wasOutcomeRejected = this->wasOutcomeRejected || std::holds_alternative<NotHeld>(std::get<OutcomeResult>(message.result));
}

std::set<Violation> ClaimSimulation::violations() const
{
    std::set<Violation> found;
    if (this->wasOutcomeRejected) {
        found.insert(Violation::OutcomeRejected);
    }
    std::map<std::size_t, std::size_t> runsOfKey;
    for (const auto &run : this->runs) {
        if (++runsOfKey[this->submissions[run.submission].key] > 1) {
            found.insert(Violation::RanTwice);
        }
    }
    for (std::size_t index = 0; index < this->submissions.size(); ++index) {
        const auto &submission = this->submissions[index];
        const auto isLost = !this->isCurrentIncarnation(submission.instance, submission.incarnation) || submission.isCallerGone;
        if (!isLost && !submission.refusal && !submission.answer) {
            found.insert(Violation::NoFinalAnswer);
        }
        const auto saysNotRun = submission.refusal && Rejection::runStatus(*submission.refusal) == Rejection::RunStatus::No;
        for (const auto &run : this->runs) {
            const auto &running = this->submissions[run.submission];
            if (running.key != submission.key) {
                continue;
            }
            if (saysNotRun && (run.submission == index || run.step < submission.startStep)) {
                found.insert(Violation::RanDespiteRefusal);
            }
            if (submission.answer && (*submission.answer != run.answer || running.claim.requestDigest != submission.claim.requestDigest)) {
                found.insert(Violation::WrongAnswer);
            }
        }
    }
    return found;
}

std::size_t ClaimSimulation::runCount() const
{
    return this->runs.size();
}

std::size_t ClaimSimulation::replayCount() const
{
    const auto answered = std::ranges::count_if(this->submissions, [](const Submission &submission) {
        return submission.answer.has_value() && !submission.claim.wasSent;
    });
    return static_cast<std::size_t>(answered);
}

std::size_t ClaimSimulation::notRunCount() const
{
    const auto refused = std::ranges::count_if(this->submissions, [](const Submission &submission) {
        return submission.refusal && Rejection::runStatus(*submission.refusal) == Rejection::RunStatus::No;
    });
    return static_cast<std::size_t>(refused);
}

} // namespace Briarbend::Claims

#include <LibRelay/CallerDisconnectWatch.h>
#include <LibRelay/HeaderRules.h>
#include <LibRelay/HedgedOpening.h>
#include <LibRelay/RefusalResponse.h>
#include <LibRelay/RequestBody.h>
#include <LibRelay/RequestFields.h>
#include <LibRelay/RequestHandler.h>
#include <LibRelay/ResponseForwarder.h>
#include <LibRelay/TargetSelection.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

namespace Briarbend::Relay
{

namespace
{

namespace Asio = boost::asio;
using Rejection::Reason;
using Rejection::RequestProgress;

/// Bodies up to this length are read before sending, so that the request can be sent again.
constexpr std::uint64_t MAXIMUM_BUFFERED_BODY_BYTES = 64ULL * 1024;
constexpr unsigned FIRST_SERVER_ERROR = 500;
/// Retry delay given to callers when no target is available, an attempt failed without naming a delay, or claims have no store.
constexpr std::chrono::milliseconds NO_TARGET_RETRY_AFTER{1000};

} // namespace

RequestHandler::RequestHandler(RelayState &relayState, CallerConnection callerConnection)
    : relay(relayState)
    , caller(callerConnection)
    , routes(relayState.routes)
    , forwarded(std::make_shared<ForwardedRequest>())
    , arrivedAt(Core::Clock::now())
{
    ++this->relay.counters.requests;
}

Asio::awaitable<bool> RequestHandler::handle()
{
    const auto &head = this->caller.parser.get();
    this->forwarded->requestId = requestIdOf(head, this->relay.random);
    if (auto problem = findHeadProblem(head)) {
        // The end of the request is uncertain, so nothing after it may be parsed as another request.
        this->caller.keepsAlive = false;
        this->refusal.detail = *problem;
        co_return co_await this->refuse(Reason::BadRequest);
    }
    if (!this->routes || !this->relay.isCurrent()) {
        co_return co_await this->refuse(Reason::NotConfigured);
    }
    this->matched = this->routes->match(std::string_view(head.target().data(), head.target().size()));
    if (this->matched.route == nullptr) {
        co_return co_await this->refuse(Reason::NoRoute);
    }
    const auto found = this->relay.services.find(this->matched.service->name);
    if (found == this->relay.services.end()) {
        co_return co_await this->refuse(Reason::NoTarget);
    }
    this->service = found->second;
    this->forwarded->deadline = deadlineOf(head, *this->matched.route, this->arrivedAt);
    this->forwarded->timeAllowed = this->forwarded->deadline - this->arrivedAt;
    co_return co_await this->serve();
}

Asio::awaitable<bool> RequestHandler::serve()
{
    const bool isOnce = this->matched.route->kind == Configuration::RouteKind::Once;
    if (isOnce) {
        this->refusal.earlier = Rejection::EarlierSubmissions::Unknown;
        this->copy.emplace();
    }
    if (expectsContinue(this->caller.parser.get())) {
        co_await sendContinue(this->caller.stream);
    }
    const auto maximumBytes = isOnce ? this->relay.limits.claimedBodyBytes : MAXIMUM_BUFFERED_BODY_BYTES;
    const auto length = this->caller.parser.content_length();
    this->forwarded->isStreamed = !isOnce && !this->caller.parser.is_done() && (!length || *length > maximumBytes);
    auto bodyRead = BodyReadResult::Whole;
    if (!this->forwarded->isStreamed) {
        bodyRead = co_await readWholeBody(this->caller, maximumBytes, this->relay.limits.idleTimeout, this->forwarded->body);
    }
    if (bodyRead == BodyReadResult::TooLong) {
        co_return co_await this->refuse(Reason::BodyTooLarge);
    }
    if (bodyRead == BodyReadResult::Incomplete) {
        co_return false;
    }
    this->prepareForwardedHead();
    this->fingerprint = fingerprintOf(*this->forwarded, length.value_or(0));
    AdmissionScope turn(this->relay, this->service, this->matched.route->trafficClass, this->forwarded->deadline);
    if (!co_await turn.enter()) {
        co_return co_await this->refuse(Reason::Overloaded, turn.retryAfter());
    }
    bool maySend = true;
    if (isOnce) {
        maySend = co_await this->claimKey();
    }
    if (!maySend) {
        co_return this->isCallerUsable;
    }
    Limits::recordRequest(this->service->retryBudget, Core::Clock::now());
    auto next = Next::TryAgain;
    while (next == Next::TryAgain) {
        next = co_await this->sendAttempt(turn);
    }
    if (next == Next::Refuse) {
        co_return co_await this->refuse(this->refusal);
    }
    co_return this->lastResult.isCallerUsable;
}

Asio::awaitable<bool> RequestHandler::claimKey()
{
    const auto key = idempotencyKeyOf(this->forwarded->head);
    if (!key) {
        this->isCallerUsable = co_await this->refuse(Reason::KeyMissing);
        co_return false;
    }
    if (this->relay.claims == nullptr) {
        this->isCallerUsable = co_await this->refuse(Reason::StoreUnavailableForClaims, NO_TARGET_RETRY_AFTER);
        co_return false;
    }
    this->copy->maximumBytes = this->relay.claims->settings().maximumAnswerBytes;
    auto claiming = std::make_shared<OnceSubmission>(
        this->caller.stream.get_executor(),
        *this->relay.claims,
        this->matched.service->name,
        makeRequestClaim(this->matched, *this->forwarded, *key, this->relay.instance, this->relay.random));
    const auto verdict = co_await claiming->claim();
    if (const auto *answer = std::get_if<Claims::RecordedAnswer>(&verdict)) {
        this->isCallerUsable = co_await this->write(makeReplayedResponse(*answer, this->forwarded->requestId));
        co_return false;
    }
    if (const auto *refused = std::get_if<Rejection::Refusal>(&verdict)) {
        this->isCallerUsable = co_await this->refuse(*refused);
        co_return false;
    }
    this->submission = std::move(claiming);
    co_return true;
}

Asio::awaitable<RequestHandler::Next> RequestHandler::sendAttempt(AdmissionScope &turn)
{
    auto choice = selectTarget(this->relay, *this->service, this->matched.route->pathPrefix, this->tried);
    while (!choice.target) {
        const bool canWait = choice.failure == Routing::ChoiceFailure::Cold || choice.failure == Routing::ChoiceFailure::Connections;
        bool isAdmitted = false;
        if (canWait) {
            isAdmitted = co_await turn.reenter();
        }
        if (!isAdmitted) {
            this->refusal.reason = canWait ? Reason::Overloaded : Reason::NoTarget;
            this->refusal.retryAfter = canWait ? turn.retryAfter() : Rejection::withJitter(NO_TARGET_RETRY_AFTER, this->relay.random);
            co_return Next::Refuse;
        }
        choice = selectTarget(this->relay, *this->service, this->matched.route->pathPrefix, this->tried);
    }
    const auto verdict = co_await this->askGuard(*choice.target);
    if (verdict == RequestGuard::Verdict::Refuse) {
        co_return Next::Refuse;
    }
    // The guard may have held the request back while the target left, turned cold or got another request on the same permit.
    const auto permission = permissionToSend(this->relay, *this->service, *choice.target);
    if (!permission) {
        if (verdict == RequestGuard::Verdict::SendAsTrial) {
            this->relay.guard->endTrial(this->fingerprint);
        }
        co_return Next::TryAgain;
    }
    choice.isColdTrial = *permission == Routing::Permission::PermittedCold;
    if (this->submission) {
        if (const auto refused = this->submission->beginSending()) {
            this->submission.reset();
            this->refusal = *refused;
            co_return Next::Refuse;
        }
    }
    const auto sentAt = Core::Clock::now();
    this->relay.latencies.beforeSending.add(sentAt - this->arrivedAt);
    const auto exchange = co_await this->openExchange(choice);
    turn.recordTimeToHead(exchange->result.timeToHead);
    this->relay.latencies.atTarget.add(exchange->result.timeToHead);
    const auto version = this->versionOf(exchange->target());
    co_await this->finishExchange(*exchange);
    this->lastResult = exchange->result;
    this->observe(exchange->target(), version, choice.isColdTrial);
    co_await this->reportToGuard(exchange->target(), verdict, sentAt);
    co_return this->evaluateResult(this->lastResult);
}

std::shared_ptr<Exchange> RequestHandler::makeExchange(const Core::TargetId &target)
{
    this->tried.push_back(target);
    return std::make_shared<Exchange>(this->relay, this->service, this->caller, this->forwarded, target);
}

Asio::awaitable<std::shared_ptr<Exchange>> RequestHandler::openExchange(Routing::Choice choice)
{
    auto exchange = this->makeExchange(*choice.target);
    if (this->forwarded->isStreamed || this->copy) {
        co_await exchange->open();
        co_return exchange;
    }
    HedgedOpening opening(this->caller.stream.get_executor());
    const CallerDisconnectWatch watch(this->caller.stream.socket(), [&opening] {
        opening.cancel();
    });
    const auto delay = Routing::hedgeDelay(this->service->table);
    // The other policies are baselines for comparison and do not hedge.
    const bool isHedging = this->service->service.policy == Configuration::RoutingPolicy::ProbePool;
    const bool isSafe = this->matched.route->kind == Configuration::RouteKind::Safe;
    const bool mayHedge = isHedging && isSafe && delay.count() > 0 && !choice.isColdTrial;
    exchange = co_await opening.open(
        std::move(exchange), mayHedge ? Core::Duration{delay} : Core::Duration{std::chrono::hours{1}}, [this, &watch, mayHedge] {
            return watch.hasDisconnected() || !mayHedge ? nullptr : this->makeHedge();
        });
    if (watch.hasDisconnected()) {
        exchange->result.isCallerGone = true;
        exchange->result.isCallerUsable = false;
    }
    co_return exchange;
}

std::shared_ptr<Exchange> RequestHandler::makeHedge()
{
    const auto now = Core::Clock::now();
    const auto choice = selectTarget(this->relay, *this->service, this->matched.route->pathPrefix, this->tried);
    const bool isUsable = choice.target && !choice.isColdTrial;
    if (!isUsable) {
        return nullptr;
    }
    const auto delay = Routing::hedgeDelay(this->service->table);
    const Limits::HedgeInput input{.kind = this->matched.route->kind,
                                   .elapsed = delay,
                                   .hedgeDelay = delay,
                                   .remaining = this->forwarded->deadline - now,
                                   .hasRoom = Routing::hasRoomForHedge(this->service->table, *choice.target, now)};
    const bool isUnsuspected = this->relay.guard == nullptr || this->relay.guard->isUnsuspected(this->fingerprint);
    if (!isUnsuspected || !Limits::takeHedge(this->service->retryBudget, input, now)) {
        return nullptr;
    }
    ++this->relay.counters.hedges;
    return this->makeExchange(*choice.target);
}

Asio::awaitable<void> RequestHandler::finishExchange(Exchange &exchange)
{
    const auto &result = exchange.result;
    if (result.isCallerGone) {
        co_return;
    }
    if (result.progress == RequestProgress::RefusedByTargetNotRun) {
        co_await exchange.discardResponse();
        co_return;
    }
    if (result.progress != RequestProgress::Answered) {
        co_return;
    }
    ResponseForwarder forwarder(this->relay, this->caller, exchange, this->forwarded->requestId, this->copy ? &*this->copy : nullptr);
    co_await forwarder.forward();
}

Core::VersionName RequestHandler::versionOf(const Core::TargetId &target) const
{
    const auto *known = Routing::findTarget(this->service->table, target);
    return known == nullptr ? Core::VersionName{} : known->record.version;
}

Asio::awaitable<RequestGuard::Verdict> RequestHandler::askGuard(const Core::TargetId &target)
{
    if (this->relay.guard == nullptr || this->relay.guard->isUnsuspected(this->fingerprint)) {
        co_return RequestGuard::Verdict::Send;
    }
    const auto permission = co_await this->relay.guard->awaitPermission(this->fingerprint, target, this->forwarded->deadline);
    if (permission.verdict == RequestGuard::Verdict::Refuse) {
        this->refusal.reason = Reason::Quarantined;
        this->refusal.retryAfter = permission.retryAfter;
    }
    co_return permission.verdict;
}

Asio::awaitable<void> RequestHandler::reportToGuard(const Core::TargetId &target, RequestGuard::Verdict verdict, Core::TimePoint sentAt)
{
    if (this->relay.guard == nullptr) {
        co_return;
    }
    const bool isTrial = verdict == RequestGuard::Verdict::SendAsTrial;
    if (this->lastResult.isTargetConnectionLost) {
        co_await this->relay.guard->recordConnectionLoss(this->fingerprint, target, isTrial);
    } else if (this->lastResult.progress == RequestProgress::Answered) {
        this->relay.guard->recordCompletion(this->fingerprint, sentAt);
    }
    if (isTrial) {
        this->relay.guard->endTrial(this->fingerprint);
    }
}

void RequestHandler::observe(const Core::TargetId &target, const Core::VersionName &version, bool wasCold) const
{
    const auto &result = this->lastResult;
    // A caller that disconnected before the response, or a target that shed the request, says nothing about the version.
    const bool isInconclusive
        = (result.isCallerGone && !result.isHeadForwarded) || result.progress == RequestProgress::RefusedByTargetNotRun;
    if (isInconclusive || !this->relay.onObserved) {
        return;
    }
    this->relay.onObserved({.service = this->matched.service->name,
                            .target = target,
                            .version = version,
                            .routePrefix = this->matched.route->pathPrefix,
                            .isFailure = (result.failure && !result.isCallerGone) || result.status >= FIRST_SERVER_ERROR,
                            .wasCold = wasCold,
                            .timeToHead = result.timeToHead});
}

RequestHandler::Next RequestHandler::evaluateResult(const ExchangeResult &result)
{
    // Once the outcome of one attempt is unknown, a later attempt does not change that.
    if (this->refusal.progress != RequestProgress::SentOutcomeUnknown) {
        this->refusal.progress = result.progress;
    }
    if (result.isCallerGone || result.isHeadForwarded || !result.failure) {
        this->completeRequest(result);
        return Next::Done;
    }
    const auto now = Core::Clock::now();
    const bool mayBeSentAgain = Rejection::mayRetry(this->matched.route->kind, result.progress)
        && (!this->forwarded->isStreamed || result.progress == RequestProgress::NotSent);
    if (this->submission && Rejection::isCertainlyNotRun(result.progress)) {
        this->submission->refusedByTarget();
    }
    if (mayBeSentAgain && now < this->forwarded->deadline && Limits::takeExtraSend(this->service->retryBudget, now)) {
        ++this->relay.counters.retries;
        return Next::TryAgain;
    }
    this->refusal.reason = *result.failure;
    this->refusal.retryAfter = result.retryAfter ? *result.retryAfter : Rejection::withJitter(NO_TARGET_RETRY_AFTER, this->relay.random);
    return Next::Refuse;
}

void RequestHandler::completeRequest(const ExchangeResult &result)
{
    ++(result.isCallerGone ? this->relay.counters.callersGone : this->relay.counters.answered);
    if (!this->submission) {
        return;
    }
    if (this->copy->isWhole) {
        this->submission->answered(*this->copy);
    } else {
        this->submission->failed({.reason = Reason::TargetConnectionLost, .progress = RequestProgress::SentOutcomeUnknown});
    }
    this->submission.reset();
}

Asio::awaitable<bool> RequestHandler::refuse(Reason reason, std::optional<std::chrono::milliseconds> retryAfter)
{
    this->refusal.reason = reason;
    this->refusal.retryAfter = retryAfter;
    co_return co_await this->refuse(this->refusal);
}

Asio::awaitable<bool> RequestHandler::refuse(Rejection::Refusal answer)
{
    ++this->relay.counters.refused;
    ++this->relay.counters.refusedByReason.at(static_cast<std::size_t>(answer.reason));
    if (this->submission) {
        answer = this->submission->failed(answer);
        this->submission.reset();
    }
    co_return co_await this->write(makeRefusalResponse(answer, this->relay.instanceName, this->forwarded->requestId));
}

Asio::awaitable<bool> RequestHandler::write(Network::Response response)
{
    // The rest of an unread body is not read: the connection closes after the response.
    const bool keepsAlive = this->caller.keepsAlive && this->caller.parser.is_done() && !this->relay.isStopping;
    response.keep_alive(keepsAlive);
    this->caller.stream.expires_after(this->relay.limits.idleTimeout);
    boost::system::error_code error;
    co_await Http::async_write(this->caller.stream, response, Asio::redirect_error(Asio::use_awaitable, error));
    co_return keepsAlive && !error;
}

void RequestHandler::prepareForwardedHead()
{
    auto &head = this->forwarded->head;
    static_cast<Http::request_header<> &>(head) = this->caller.parser.get().base();
    removeHopByHopFields(head);
    head.version(11);
    head.set(std::string(REQUEST_ID_FIELD), this->forwarded->requestId);
    if (!this->forwarded->isStreamed && head.count(Http::field::transfer_encoding) > 0) {
        head.erase(Http::field::transfer_encoding);
        head.content_length(this->forwarded->body.size());
    }
}

} // namespace Briarbend::Relay

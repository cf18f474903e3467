#include <LibClaims/IdempotencyKey.h>
#include <LibRelay/AnswerForwarder.h>
#include <LibRelay/Answers.h>
#include <LibRelay/CallerWatch.h>
#include <LibRelay/HeaderRules.h>
#include <LibRelay/HedgedOpening.h>
#include <LibRelay/RequestHandler.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>

namespace Briarbend::Relay
{

namespace
{

namespace Asio = boost::asio;
using Rejection::Progress;
using Rejection::Reason;

/// Bodies up to this length are read before sending, so that the request can be sent again.
constexpr std::uint64_t BUFFERED_BODY_BYTES = 64ULL * 1024;
constexpr unsigned FIRST_SERVER_ERROR = 500;
constexpr std::size_t READ_BYTES = 16UL * 1024;
constexpr std::size_t REQUEST_ID_DIGITS = 16;
constexpr std::size_t MAXIMUM_REQUEST_ID_BYTES = 128;
/// Wait before no target is asked for again while targets are cold or at their connection limit.
constexpr std::chrono::milliseconds NO_TARGET_RETRY_AFTER{1000};

std::optional<std::string> idempotencyKeyOf(const Http::request_header<> &head)
{
    std::vector<std::string_view> values;
    const auto range = head.equal_range("Idempotency-Key");
    std::transform(range.first, range.second, std::back_inserter(values), [](const auto &field) {
        return std::string_view(field.value().data(), field.value().size());
    });
    return Claims::parseIdempotencyKey(values);
}

std::string hexadecimal(std::uint64_t value)
{
    std::string text(REQUEST_ID_DIGITS, '0');
    std::array<char, REQUEST_ID_DIGITS> digits{};
    const auto written = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16);
    const auto length = static_cast<std::size_t>(written.ptr - digits.data());
    std::copy(digits.data(), written.ptr, text.end() - static_cast<std::ptrdiff_t>(length));
    return text;
}

} // namespace

RequestHandler::RequestHandler(RelayState &relayState, CallerSide callerSide)
    : relay(relayState)
    , caller(callerSide)
    , routes(relayState.routes)
    , forwarded(std::make_shared<ForwardedRequest>())
    , arrivedAt(Core::Clock::now())
{
    ++this->relay.counters.requests;
}

Asio::awaitable<bool> RequestHandler::handle()
{
    this->takeRequestId();
    const auto &head = this->caller.parser.get();
    if (auto problem = findHeadProblem(head)) {
        // Where the request ends is in doubt, so nothing after it may be read as another request.
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
    this->forwarded->deadline = this->deadlineOf(*this->matched.route);
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
        co_await this->sendContinue();
    }
    const auto maximumBytes = isOnce ? this->relay.limits.claimedBodyBytes : BUFFERED_BODY_BYTES;
    const auto length = this->caller.parser.content_length();
    this->forwarded->isStreamed = !isOnce && !this->caller.parser.is_done() && (!length || *length > maximumBytes);
    bool isBodyRead = true;
    if (!this->forwarded->isStreamed) {
        isBodyRead = co_await this->readWholeBody(maximumBytes);
    }
    if (!isBodyRead) {
        co_return false;
    }
    this->prepareForwardedHead();
    const auto &head = this->forwarded->head;
    this->fingerprint = Quarantine::fingerprintOf({head.method_string().data(), head.method_string().size()},
                                                  {head.target().data(), head.target().size()},
                                                  length.value_or(0),
                                                  this->forwarded->body);
    AdmissionTurn turn(this->relay, this->service, this->matched.route->trafficClass, this->forwarded->deadline);
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
        next = co_await this->attemptOnce(turn);
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
    this->copy->maximumBytes = this->relay.claims->settings().largestAnswer;
    auto claiming = std::make_shared<OnceSubmission>(
        this->caller.stream.get_executor(),
        *this->relay.claims,
        this->matched.service->name,
        makeRequestClaim(this->matched, *this->forwarded, *key, this->relay.instance, this->relay.random));
    const auto verdict = co_await claiming->claim();
    if (const auto *answer = std::get_if<Claims::RecordedAnswer>(&verdict)) {
        this->isCallerUsable = co_await this->write(replayedAnswer(*answer, this->forwarded->requestId));
        co_return false;
    }
    if (const auto *refused = std::get_if<Rejection::Refusal>(&verdict)) {
        this->isCallerUsable = co_await this->refuse(*refused);
        co_return false;
    }
    this->submission = std::move(claiming);
    co_return true;
}

Asio::awaitable<RequestHandler::Next> RequestHandler::attemptOnce(AdmissionTurn &turn)
{
    auto choice = this->choose();
    while (!choice.target) {
        const bool canWait = choice.obstacle == Routing::ChoiceObstacle::Cold || choice.obstacle == Routing::ChoiceObstacle::Connections;
        bool isTurn = false;
        if (canWait) {
            isTurn = co_await turn.enterAgain();
        }
        if (!isTurn) {
            this->refusal.reason = canWait ? Reason::Overloaded : Reason::NoTarget;
            this->refusal.retryAfter = canWait ? turn.retryAfter() : Rejection::withJitter(NO_TARGET_RETRY_AFTER, this->relay.random);
            co_return Next::Refuse;
        }
        choice = this->choose();
    }
    const auto verdict = co_await this->askGuard(*choice.target);
    if (verdict == RequestGuard::Verdict::Refuse) {
        co_return Next::Refuse;
    }
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
    turn.headArrived(exchange->result.timeToHead);
    this->relay.latencies.atTarget.add(exchange->result.timeToHead);
    const auto version = this->versionOf(exchange->target());
    co_await this->finishExchange(*exchange);
    this->lastResult = exchange->result;
    this->observe(exchange->target(), version, choice.isColdTrial);
    co_await this->tellGuard(exchange->target(), verdict, sentAt);
    co_return this->judge(this->lastResult);
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
    const CallerWatch watch(this->caller.stream.socket(), [&opening] {
        opening.cancel();
    });
    const auto delay = Routing::hedgeDelay(this->service->table);
    const bool mayHedge = this->matched.route->kind == Configuration::RouteKind::Safe && delay.count() > 0 && !choice.isColdTrial;
    exchange = co_await opening.open(
        std::move(exchange), mayHedge ? Core::Duration{delay} : Core::Duration{std::chrono::hours{1}}, [this, &watch] {
            return watch.isGone() ? nullptr : this->makeHedge();
        });
    if (watch.isGone()) {
        exchange->result.isCallerGone = true;
        exchange->result.isCallerUsable = false;
    }
    co_return exchange;
}

std::shared_ptr<Exchange> RequestHandler::makeHedge()
{
    const auto now = Core::Clock::now();
    if (this->matched.route->kind != Configuration::RouteKind::Safe) {
        return nullptr;
    }
    const auto choice = this->choose();
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
    if (result.progress == Progress::RefusedByTargetNotRun) {
        co_await exchange.discardAnswer();
        co_return;
    }
    if (result.progress != Progress::Answered) {
        co_return;
    }
    AnswerForwarder forwarder(this->relay, this->caller, exchange, this->forwarded->requestId, this->copy ? &*this->copy : nullptr);
    co_await forwarder.forward();
}

Core::VersionName RequestHandler::versionOf(const Core::TargetId &target) const
{
    const auto *known = Routing::findTarget(this->service->table, target);
    return known == nullptr ? Core::VersionName{} : known->description.version;
}

Asio::awaitable<RequestGuard::Verdict> RequestHandler::askGuard(const Core::TargetId &target)
{
    if (this->relay.guard == nullptr || this->relay.guard->isUnsuspected(this->fingerprint)) {
        co_return RequestGuard::Verdict::Send;
    }
    const auto permission = co_await this->relay.guard->permit(this->fingerprint, target, this->forwarded->deadline);
    if (permission.verdict == RequestGuard::Verdict::Refuse) {
        this->refusal.reason = Reason::Quarantined;
        this->refusal.retryAfter = permission.retryAfter;
    }
    co_return permission.verdict;
}

Asio::awaitable<void> RequestHandler::tellGuard(const Core::TargetId &target, RequestGuard::Verdict verdict, Core::TimePoint sentAt)
{
    if (this->relay.guard == nullptr) {
        co_return;
    }
    const bool isTrial = verdict == RequestGuard::Verdict::SendOnTrial;
    if (this->lastResult.isTargetBroken) {
        co_await this->relay.guard->broke(this->fingerprint, target, isTrial);
    } else if (this->lastResult.progress == Progress::Answered) {
        this->relay.guard->completed(this->fingerprint, sentAt);
    }
    if (isTrial) {
        this->relay.guard->trialEnded(this->fingerprint);
    }
}

void RequestHandler::observe(const Core::TargetId &target, const Core::VersionName &version, bool wasCold) const
{
    const auto &result = this->lastResult;
    // A caller that went away before the answer, or a target that shed the request, says nothing about the version.
    const bool saysNothing = (result.isCallerGone && !result.isHeadForwarded) || result.progress == Progress::RefusedByTargetNotRun;
    if (saysNothing || !this->relay.onObserved) {
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

RequestHandler::Next RequestHandler::judge(const ExchangeResult &result)
{
    // An earlier attempt whose outcome is unknown stays unknown, whatever a later one says.
    if (this->refusal.progress != Progress::SentOutcomeUnknown) {
        this->refusal.progress = result.progress;
    }
    if (result.isCallerGone || result.isHeadForwarded || !result.failure) {
        this->endAnswered(result);
        return Next::Done;
    }
    const auto now = Core::Clock::now();
    const bool mayBeSentAgain = Rejection::mayRetry(this->matched.route->kind, result.progress)
        && (!this->forwarded->isStreamed || result.progress == Progress::NotSent);
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

void RequestHandler::endAnswered(const ExchangeResult &result)
{
    ++(result.isCallerGone ? this->relay.counters.callersGone : this->relay.counters.answered);
    if (!this->submission) {
        return;
    }
    if (this->copy->isWhole) {
        this->submission->answered(*this->copy);
    } else {
        this->submission->failed({.reason = Reason::TargetConnectionLost, .progress = Progress::SentOutcomeUnknown});
    }
    this->submission.reset();
}

Routing::Choice RequestHandler::choose()
{
    auto versions = this->service->chooseVersions ? this->service->chooseVersions(this->matched.route->pathPrefix) : VersionChoice{};
    versions.excluded.insert(versions.excluded.end(), this->tried.begin(), this->tried.end());
    const Routing::ChoiceInput input{
        .excluded = versions.excluded,
        .versions = versions.shares,
        .dataCentresOut = this->service->dataCentresOut,
        .permission =
            [this](const Routing::TargetState &target) {
                return this->permissionFor(target);
            },
    };
    return Routing::chooseTarget(this->service->table, input, Core::Clock::now(), this->relay.random);
}

Routing::Permission RequestHandler::permissionFor(const Routing::TargetState &target)
{
    const auto &id = target.description.id;
    const auto verdict = Limits::coldVerdict(this->relay.coldGate, id, Core::Clock::now());
    if (verdict == Limits::ColdVerdict::Refuse) {
        return Routing::Permission::RefusedCold;
    }
    const auto shares = this->service->shares.find(id);
    const bool hasRoom = shares != this->service->shares.end() && this->relay.pool.open(id) < shares->second.connections;
    if (!hasRoom && this->relay.pool.idle(id) == 0) {
        return Routing::Permission::RefusedConnections;
    }
    return verdict == Limits::ColdVerdict::MayTry ? Routing::Permission::PermittedCold : Routing::Permission::Permitted;
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
    co_return co_await this->write(makeRefusal(answer, this->relay.instanceName, this->forwarded->requestId));
}

Asio::awaitable<bool> RequestHandler::write(Network::Response response)
{
    // The rest of a body that nobody wants is not read: the connection ends with the answer.
    const bool keepsAlive = this->caller.keepsAlive && this->caller.parser.is_done() && !this->relay.isStopping;
    response.keep_alive(keepsAlive);
    this->caller.stream.expires_after(this->relay.limits.idleTimeout);
    boost::system::error_code error;
    co_await Http::async_write(this->caller.stream, response, Asio::redirect_error(Asio::use_awaitable, error));
    co_return keepsAlive && !error;
}

Asio::awaitable<void> RequestHandler::sendContinue()
{
    Http::response<Http::empty_body> response{Http::status::continue_, 11};
    boost::system::error_code ignored;
    co_await Http::async_write(this->caller.stream, response, Asio::redirect_error(Asio::use_awaitable, ignored));
}

Asio::awaitable<bool> RequestHandler::readWholeBody(std::uint64_t maximumBytes)
{
    auto &parser = this->caller.parser;
    auto &whole = this->forwarded->body;
    std::vector<char> chunk(parser.is_done() ? 0 : READ_BYTES);
    while (!parser.is_done()) {
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        this->caller.stream.expires_after(this->relay.limits.idleTimeout);
        boost::system::error_code error;
        co_await Http::async_read_some(this->caller.stream, this->caller.buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
        if (error && error != Http::error::need_buffer) {
            co_return false;
        }
        whole.append(chunk.data(), chunk.size() - parser.get().body().size);
        if (whole.size() > maximumBytes) {
            co_await this->refuse(Reason::BodyTooLarge);
            co_return false;
        }
    }
    co_return true;
}

void RequestHandler::prepareForwardedHead()
{
    auto &head = this->forwarded->head;
    static_cast<Http::request_header<> &>(head) = this->caller.parser.get().base();
    removeConnectionFields(head);
    head.version(11);
    head.set(std::string(REQUEST_ID_FIELD), this->forwarded->requestId);
    if (!this->forwarded->isStreamed && head.count(Http::field::transfer_encoding) > 0) {
        head.erase(Http::field::transfer_encoding);
        head.content_length(this->forwarded->body.size());
    }
}

void RequestHandler::takeRequestId()
{
    const auto given = this->caller.parser.get()[std::string(REQUEST_ID_FIELD)];
    const bool isUsable = !given.empty() && given.size() <= MAXIMUM_REQUEST_ID_BYTES;
    this->forwarded->requestId = isUsable ? std::string(given) : hexadecimal(this->relay.random.bits());
}

Core::TimePoint RequestHandler::deadlineOf(const Configuration::Route &route) const
{
    const auto text = this->caller.parser.get()[std::string(DEADLINE_FIELD)];
    std::uint32_t milliseconds = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    const bool isGiven = !text.empty() && parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    const auto allowed = isGiven ? std::min(route.deadline, std::chrono::milliseconds(milliseconds)) : route.deadline;
    return this->arrivedAt + allowed;
}

} // namespace Briarbend::Relay

#include <LibNetwork/WallClock.h>
#include <LibRelay/HeaderRules.h>
#include <LibRelay/OnceSubmission.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Briarbend::Relay
{

namespace
{

namespace Asio = boost::asio;

} // namespace

OnceSubmission::OnceSubmission(const Asio::any_io_executor &executor,
                               ClaimSubmitter &claimSubmitter,
                               Core::ServiceName serviceName,
                               Claims::RequestClaim requestClaim)
    : submitter(claimSubmitter)
    , service(std::move(serviceName))
    , request(std::move(requestClaim))
    , timer(executor)
{
}

Asio::awaitable<OnceSubmission::Verdict> OnceSubmission::claim()
{
    this->apply(Claims::beginClaim(this->request, this->submitter.settings(), Core::Clock::now(), Network::wallNow()));
    auto next = co_await this->nextAction();
    if (auto *replay = std::get_if<Claims::Replay>(&next)) {
        co_return std::move(replay->answer);
    }
    if (auto *refuse = std::get_if<Claims::Refuse>(&next)) {
        co_return std::move(refuse->refusal);
    }
    co_return MaySend{};
}

Asio::awaitable<OnceSubmission::Action> OnceSubmission::nextAction()
{
    while (std::holds_alternative<std::monostate>(this->pendingAction)) {
        this->timer.expires_at(this->wakeAt.value_or(this->request.deadline));
        boost::system::error_code ignored;
        co_await this->timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
        const auto now = Core::Clock::now();
        if (std::holds_alternative<std::monostate>(this->pendingAction) && now >= this->wakeAt.value_or(this->request.deadline)) {
            this->apply(Claims::onTimer(this->request, this->submitter.settings(), now, Network::wallNow()));
        }
    }
    co_return std::exchange(this->pendingAction, std::monostate{});
}

std::optional<Rejection::Refusal> OnceSubmission::beginSending()
{
    this->apply(Claims::beginSending(this->request, Core::Clock::now(), Network::wallNow()));
    const auto next = std::exchange(this->pendingAction, std::monostate{});
    if (const auto *refuse = std::get_if<Claims::Refuse>(&next)) {
        return refuse->refusal;
    }
    if (std::holds_alternative<Claims::SendNow>(next)) {
        return std::nullopt;
    }
    return Rejection::Refusal{.reason = Rejection::Reason::InternalError, .detail = "the claim did not let the request be sent"};
}

void OnceSubmission::refusedByTarget()
{
    this->apply(Claims::onRefusedByTarget(this->request));
}

void OnceSubmission::answered(const ResponseCopy &copy)
{
    this->apply(Claims::onAnswered(this->request, {.status = copy.status, .fields = copy.fields, .body = copy.body}));
}

Rejection::Refusal OnceSubmission::failed(const Rejection::Refusal &refusal)
{
    this->apply(Claims::onFailed(this->request, refusal, Network::wallNow()));
    const auto next = std::exchange(this->pendingAction, std::monostate{});
    const auto *refuse = std::get_if<Claims::Refuse>(&next);
    return refuse == nullptr ? refusal : refuse->refusal;
}

void OnceSubmission::callerGone()
{
    this->apply(Claims::onCallerGone(this->request, Network::wallNow()));
}

void OnceSubmission::apply(const Claims::RequestDecision &decision)
{
    if (decision.wakeAt) {
        this->wakeAt = decision.wakeAt;
    }
    if (!std::holds_alternative<std::monostate>(decision.action)) {
        this->pendingAction = decision.action;
    }
    this->timer.cancel();
    if (!decision.submit) {
        return;
    }
    this->submitter.submit(
        this->service, *decision.submit, [self = this->shared_from_this()](const Claims::ClaimResult &result, bool isHolderGone) {
            self->apply(Claims::onClaimResult(
                self->request, result, isHolderGone, self->submitter.settings(), Core::Clock::now(), Network::wallNow()));
        });
}

Claims::RequestClaim makeRequestClaim(const Configuration::MatchedRoute &matched,
                                      const ForwardedRequest &forwarded,
                                      const std::string &idempotencyKey,
                                      const Core::InstanceId &instance,
                                      Core::Random &random)
{
    const auto method = forwarded.head.method_string();
    const auto target = forwarded.head.target();
    return {.key = Claims::keyDigest(matched.service->name.value, matched.route->pathPrefix, idempotencyKey),
            .requestDigest = Claims::requestDigest({method.data(), method.size()}, {target.data(), target.size()}, forwarded.body),
            .attempt = Claims::newAttemptId(random),
            .instance = instance,
            .deadline = forwarded.deadline,
            .wakeAt = {}};
}

Network::Response makeReplayedResponse(const Claims::RecordedAnswer &answer, const std::string &requestId)
{
    Network::Response response;
    response.version(11);
    response.result(answer.status);
    for (const auto &field : answer.fields) {
        response.insert(field.name, field.value);
    }
    response.set(std::string(REQUEST_ID_FIELD), requestId);
    response.body() = answer.body;
    response.prepare_payload();
    return response;
}

} // namespace Briarbend::Relay

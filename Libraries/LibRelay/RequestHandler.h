#pragma once

#include <LibNetwork/Http.h>
#include <LibRelay/AdmissionScope.h>
#include <LibRelay/OnceSubmission.h>
#include <LibRelay/ResponseForwarder.h>
#include <LibRouting/Choice.h>

namespace Briarbend::Relay
{

/// Handles one request of a caller up to its final response.
class RequestHandler
{
public:
    RequestHandler(RelayState &relay, CallerConnection caller);

    /// Answers the request. Returns true where the caller's connection may carry another request.
    boost::asio::awaitable<bool> handle();

private:
    /// Asks the guard whether the request may be sent to the target.
    boost::asio::awaitable<RequestGuard::Verdict> askGuard(const Core::TargetId &target);
    boost::asio::awaitable<void> reportToGuard(const Core::TargetId &target, RequestGuard::Verdict verdict, Core::TimePoint sentAt);
    /// The next step after one exchange.
    enum class Next {
        Done,
        TryAgain,
        Refuse,
    };

    boost::asio::awaitable<bool> refuse(Rejection::Reason reason, std::optional<std::chrono::milliseconds> retryAfter = {});
    boost::asio::awaitable<bool> refuse(Rejection::Refusal answer);
    boost::asio::awaitable<bool> write(Network::Response response);
    boost::asio::awaitable<bool> serve();
    /// Claims the key of a request that runs at most once. Returns false if the caller has already been answered.
    boost::asio::awaitable<bool> claimKey();
    boost::asio::awaitable<Next> sendAttempt(AdmissionScope &turn);
    std::shared_ptr<Exchange> makeExchange(const Core::TargetId &target);
    /// Sends to the chosen target, and to a second one if a safe request is late.
    boost::asio::awaitable<std::shared_ptr<Exchange>> openExchange(Routing::Choice choice);
    std::shared_ptr<Exchange> makeHedge();
    /// Forwards the response to the caller, or reads and discards a refusal by the target.
    boost::asio::awaitable<void> finishExchange(Exchange &exchange);
    Core::VersionName versionOf(const Core::TargetId &target) const;
    Next evaluateResult(const ExchangeResult &result);
    void observe(const Core::TargetId &target, const Core::VersionName &version, bool wasCold) const;
    void completeRequest(const ExchangeResult &result);
    void prepareForwardedHead();

    RelayState &relay;
    CallerConnection caller;
    std::shared_ptr<const Configuration::RouteTable> routes;
    Configuration::MatchedRoute matched;
    std::shared_ptr<ServiceState> service;
    std::shared_ptr<ForwardedRequest> forwarded;
    Core::TimePoint arrivedAt;
    std::vector<Core::TargetId> tried;
    Rejection::Refusal refusal;
    ExchangeResult lastResult;
    /// Set while this request holds the claim on its key.
    std::shared_ptr<OnceSubmission> submission;
    /// Set for requests that run at most once.
    std::optional<ResponseCopy> copy;
    Quarantine::Fingerprint fingerprint;
    bool isCallerUsable{true};
};

} // namespace Briarbend::Relay

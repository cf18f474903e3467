#pragma once

#include <LibNetwork/Http.h>
#include <LibRelay/ClaimSubmitter.h>
#include <LibRelay/ResponseForwarder.h>

#include <boost/asio/steady_timer.hpp>
#include <variant>

namespace Briarbend::Relay
{

/// One submission of a request that runs at most once: drives its claim until the request may be sent, and reports how it ended. Lives on
/// after the request has its answer for as long as a result of its claim may come.
class OnceSubmission : public std::enable_shared_from_this<OnceSubmission>
{
public:
    /// The key is granted: the request may be sent.
    struct MaySend {
    };
    using Verdict = std::variant<MaySend, Claims::RecordedAnswer, Rejection::Refusal>;

    OnceSubmission(const boost::asio::any_io_executor &executor,
                   ClaimSubmitter &submitter,
                   Core::ServiceName service,
                   Claims::RequestClaim request);

    /// Claims the key and waits until it is granted, answered or refused, at the latest until the deadline.
    boost::asio::awaitable<Verdict> claim();
    /// Must be called directly before each send. Returns nothing if the request may be sent now, else the refusal.
    std::optional<Rejection::Refusal> beginSending();
    /// The target proved that it did not run the request; it may be sent to another one.
    void refusedByTarget();
    void answered(const ResponseCopy &copy);
    /// Ends the submission without a response from a target. Returns the refusal with what the claims say about earlier submissions.
    Rejection::Refusal failed(const Rejection::Refusal &refusal);
    void callerGone();

private:
    using Action = decltype(Claims::RequestDecision::action);

    void apply(const Claims::RequestDecision &decision);
    boost::asio::awaitable<Action> nextAction();

    ClaimSubmitter &submitter;
    Core::ServiceName service;
    Claims::RequestClaim request;
    boost::asio::steady_timer timer;
    std::optional<Core::TimePoint> wakeAt;
    Action pendingAction;
};

/// Builds the claim for a request.
Claims::RequestClaim makeRequestClaim(const Configuration::MatchedRoute &matched,
                                      const ForwardedRequest &forwarded,
                                      const std::string &idempotencyKey,
                                      const Core::InstanceId &instance,
                                      Core::Random &random);

/// Builds the HTTP response for a recorded answer, with the id of the repeated request.
Network::Response makeReplayedResponse(const Claims::RecordedAnswer &answer, const std::string &requestId);

} // namespace Briarbend::Relay

#pragma once

#include <LibGateway/Attempt.h>
#include <LibNetwork/Http.h>
#include <LibRejection/Refusal.h>

#include <boost/asio/steady_timer.hpp>

namespace Briarbend::Gateway
{

/// When a caller comes back whom another instance can serve at once.
constexpr std::chrono::milliseconds IMMEDIATE_RETRY_AFTER{20};

/// The final answer to a caller.
struct FlowResult {
    Network::Response response;
    /// Memory of the response's body.
    std::optional<Core::ByteHold> hold;
    /// The caller went away; nobody reads the answer.
    bool isCallerGone{false};
};

/// Carries one request, read whole, to its final answer: sends it to a target, and again or to a second one where that is allowed and of
/// use.
class RequestFlow
{
public:
    explicit RequestFlow(std::shared_ptr<RequestContext> context);

    boost::asio::awaitable<FlowResult> run();
    /// The caller has closed its connection.
    void callerGone();

private:
    struct TrackedAttempt {
        std::shared_ptr<Attempt> attempt;
        /// The attempt's end has been taken into account.
        bool isHandled{false};

        bool hasUnhandledResult() const
        {
            return !this->isHandled && this->attempt->result != AttemptResult::Pending;
        }
    };

    void startAttempt();
    void handleResults();
    void handleResult(Attempt &attempt);
    bool maySendAgain();
    bool mayHedge() const;
    void startHedge();
    std::size_t pendingAttempts() const;
    Core::Duration hedgeDelay() const;
    boost::asio::awaitable<void> waitForChange(Core::Duration longest);
    void finishWith(TargetResponse targetResponse);
    /// When the caller is to come back: after the given time while its objective can still be met; later, when the load may have gone,
    /// where it can't.
    std::chrono::milliseconds retryDelay(std::chrono::milliseconds minimumDelay) const;
    void refuse(Rejection::Reason reason, std::chrono::milliseconds retryAfter);
    void finishAtDeadline();
    bool isRepeatable() const;

    std::shared_ptr<RequestContext> context;
    GatewayState &state;
    /// Shared with the attempts, which may end after the flow.
    std::shared_ptr<boost::asio::steady_timer> changed;
    std::vector<TrackedAttempt> attempts;
    std::size_t shedAttempts{0};
    /// Some target may have run the request.
    bool mayHaveRun{false};
    bool hasHedged{false};
    /// A target's own failure, delivered where nothing better comes.
    std::optional<TargetResponse> failureResponse;
    std::optional<Network::Response> finalResponse;
    std::optional<Core::ByteHold> finalHold;
};

/// The answer of this instance in its own name, in the platform's dialect.
Network::Response makeRefusal(GatewayState &state, const std::string &attemptId, const Rejection::Refusal &refusal);

} // namespace Briarbend::Gateway

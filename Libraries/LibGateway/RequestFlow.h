#pragma once

#include <LibGateway/Attempt.h>
#include <LibNetwork/Http.h>
#include <LibRejection/Refusal.h>

#include <boost/asio/steady_timer.hpp>

namespace Briarbend::Gateway
{

/// Retry delay for a caller that another instance can serve at once.
constexpr std::chrono::milliseconds IMMEDIATE_RETRY_AFTER{20};

/// The final response to a caller.
struct FlowResult {
    Network::Response response;
    /// Memory of the response's body.
    std::optional<Core::ByteHold> hold;
    /// The caller closed its connection; nobody reads the response.
    bool isCallerGone{false};
    /// Why this instance refused the request; nothing if a target answered.
    std::optional<Rejection::Reason> refusal;
};

/// Takes one complete request to its final response: sends it to a target, and retries or hedges it where that is allowed and useful.
class RequestFlow
{
public:
    explicit RequestFlow(std::shared_ptr<RequestContext> context);
    RequestFlow(const RequestFlow &) = delete;
    RequestFlow &operator=(const RequestFlow &) = delete;
    /// Leaves the queue of the service, also if an exception ended the flow: a place that stays would block those behind it.
    ~RequestFlow();

    boost::asio::awaitable<FlowResult> run();
    /// The caller has closed its connection.
    void callerGone();

private:
    struct TrackedAttempt {
        std::shared_ptr<Attempt> attempt;
        /// The attempt's result has been handled.
        bool isHandled{false};

        bool hasUnhandledResult() const
        {
            return !this->isHandled && this->attempt->result != AttemptResult::Pending;
        }
    };

    void startAttempt();
    void handleResults();
    void handleResult(Attempt &attempt);
    void handlePeerRefusal(const Attempt &attempt, bool isLast);
    bool maySendAgain();
    bool mayHedge() const;
    void startHedge();
    std::size_t pendingAttempts() const;
    Core::Duration hedgeDelay() const;
    boost::asio::awaitable<void> waitForChange(Core::Duration longest);
    void finishWith(TargetResponse targetResponse);
    /// The delay after which the caller should retry: the given minimum while the objective can still be met, otherwise a longer one, after
    /// which the load may have dropped.
    std::chrono::milliseconds retryDelay(std::chrono::milliseconds minimumDelay) const;
    void refuse(Rejection::Reason reason, std::chrono::milliseconds retryAfter);
    void finishAtDeadline();
    /// Puts a request that found no slot into the queue of its service, or back there. False if it is not to wait.
    bool queueForSlot();
    /// Lets a request that waits for a slot search or be refused. Returns the time until it decides again.
    Core::Duration advanceWaiting();
    bool isRepeatable() const;

    std::shared_ptr<RequestContext> context;
    GatewayState &state;
    /// Shared with the attempts, which may end after the flow.
    std::shared_ptr<boost::asio::steady_timer> changed;
    std::vector<TrackedAttempt> attempts;
    std::size_t shedAttempts{0};
    /// A target may have run the request.
    bool mayHaveRun{false};
    bool hasHedged{false};
    /// A server error of a target, returned if no attempt succeeds.
    std::optional<TargetResponse> failureResponse;
    std::optional<Network::Response> finalResponse;
    std::optional<Core::ByteHold> finalHold;
    /// Why finalResponse is a refusal; nothing if a target answered.
    std::optional<Rejection::Reason> refusalReason;
};

/// A response that this instance itself generates, with the metadata fields of the platform.
Network::Response makeRefusal(GatewayState &state, const std::string &attemptId, const Rejection::Refusal &refusal);

} // namespace Briarbend::Gateway

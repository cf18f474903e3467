#pragma once

#include <LibGateway/RequestContext.h>
#include <LibGateway/TargetFinder.h>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace Briarbend::Gateway
{

/// The result of an attempt at one target.
enum class AttemptResult {
    Pending,
    /// Nothing was sent: no target accepts the request.
    NoTarget,
    Full,
    /// Nothing was sent: the request recently crashed targets.
    Quarantined,
    /// Nothing was sent: the request was abandoned first.
    NotSent,
    /// The target reported that it did not run the request and will not.
    NotRun,
    /// The request was sent; whether it ran is not known.
    Unknown,
    /// A complete response was received.
    Answered,
};

/// A target's complete response.
struct TargetResponse {
    explicit TargetResponse(Core::ByteBudget &budget)
        : hold(budget)
    {
    }

    Http::response_header<> head;
    std::string body;
    Core::ByteHold hold;
};

/// Finds one target for a request, sends it there and reads the complete response. Its own coroutine keeps it alive.
class Attempt : public std::enable_shared_from_this<Attempt>
{
public:
    Attempt(std::shared_ptr<RequestContext> context, std::function<void()> onEnded);

    void start();
    /// Abandons the attempt. Closing the connection tells the target to stop. If a later attempt was answered first, this counts against
    /// the target.
    void cancel(bool wasOvertaken);

    AttemptResult result{AttemptResult::Pending};
    bool isSent{false};
    /// With NotRun: the target shed the request although it had reported free slots.
    bool wasShedWithFreeSlots{false};
    TargetResponse response;
    /// With NotRun: a peer refused the request that was forwarded to it.
    bool wasRefusedByPeer{false};
    /// With Quarantined, and with NoTarget if all targets asked for quiet: when the caller may retry.
    std::chrono::milliseconds retryAfter{0};

private:
    /// Keeps the attempt alive until it has ended.
    static boost::asio::awaitable<void> runKeepingAlive(std::shared_ptr<Attempt> self);
    boost::asio::awaitable<void> run();
    /// Leaves the result pending if the target that was found was withdrawn before the send.
    boost::asio::awaitable<void> searchAndSend();
    /// Forwards the request to a peer that reaches targets. The result is NoTarget if there is none.
    boost::asio::awaitable<void> forward();
    /// Opens a connection to a peer; null if there is none that accepts it.
    boost::asio::awaitable<std::unique_ptr<Relay::TargetConnection>> connectToPeer();
    /// True if the search failed because this instance reaches few targets or none.
    bool isForwardingUseful() const;
    void evaluatePeerResponse(const ResponseMetadata &metadata);
    /// Sends the request to the target that was found, unless the guard refuses a request that recently crashed targets, the target was
    /// withdrawn or it was asked too long ago.
    boost::asio::awaitable<void> sendIfPermitted(FoundTarget found);
    boost::asio::awaitable<void> reportToGuard(bool isTrial);
    boost::asio::awaitable<void> sendAndReceive();
    boost::asio::awaitable<bool> send();
    /// Reads the response to this request to its end. Skips late responses to other requests.
    boost::asio::awaitable<bool> receive();
    boost::asio::awaitable<bool> receiveBody(Http::response_parser<Http::buffer_body> &parser, bool isKept);
    /// True if nothing is to be sent any more: the attempt was cancelled, the caller has gone, or no target can answer in time.
    bool isAbandoned() const;
    TargetQuery query() const;
    /// Restricts the query to one of two versions while a rollout splits the traffic.
    std::optional<VersionSplit> drawVersion(TargetQuery &query) const;
    void evaluateResponse(const ResponseMetadata &metadata);
    /// What is known of the request when it is sent.
    AttemptObservation observation() const;
    void recordSendOutcome(Fleet::SendOutcome outcome);
    void recordResult();
    /// Counts the request as run for its tenant, until it turns out that it was not.
    void countForTenant();
    Fleet::TargetState *target();
    /// False if the target has asked for quiet, is leaving or was removed since it was chosen.
    bool isStillAvailable() const;
    /// Takes this instance's permit if the target states a rate. False if there is none now.
    bool takeSendPermit();
    /// True if a response of the target does not belong to this attempt.
    bool isForeign(const ResponseMetadata &metadata) const;

    std::shared_ptr<RequestContext> context;
    std::function<void()> onEnded;
    std::shared_ptr<Fleet::ServiceState> service;
    std::string name;
    Core::VersionName version;
    std::int64_t targetStartedAt{0};
    Core::TimePoint sentAt;
    bool isCold{false};
    /// Few of the target's slots were free when the request was sent, or a rollout left no choice of another.
    bool isTargetBusy{false};
    /// Kept by those who follow requests in flight.
    std::shared_ptr<void> pending;
    /// The target is in another data centre.
    bool isFar{false};
    /// The request was forwarded to a peer and not sent to a target.
    bool isForwarded{false};
    bool isCancelled{false};
    bool isOvertaken{false};
    /// The connection ended during the request: the target may have crashed.
    bool isConnectionLost{false};
    /// At least one byte of the request was handed to the connection.
    bool hasWritten{false};
    Core::TargetId address;
    std::unique_ptr<Relay::TargetConnection> connection;
    std::string failure;
    /// Takes back what countForTenant has counted; unset if it has counted nothing.
    std::function<void()> takeBackCount;
};

} // namespace Briarbend::Gateway

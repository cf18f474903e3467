#pragma once

#include <LibGateway/RequestContext.h>
#include <LibGateway/TargetFinder.h>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace Briarbend::Gateway
{

/// How an attempt at one target ended.
enum class AttemptResult {
    Pending,
    /// Nothing was sent: no target takes the request.
    NoTarget,
    Full,
    /// Nothing was sent: the request broke targets lately.
    Quarantined,
    /// Nothing was sent: the request was given up before.
    NotSent,
    /// The target said that it did not run the request and will not.
    NotRun,
    /// The request was sent, and whether it ran is not known.
    Unknown,
    /// A whole answer has come.
    Answered,
};

/// A target's whole answer.
struct TargetResponse {
    explicit TargetResponse(Core::ByteBudget &budget)
        : hold(budget)
    {
    }

    Http::response_header<> head;
    std::string body;
    Core::ByteHold hold;
};

/// Finds one target for a request, sends it there and reads the whole answer. Kept alive by its own coroutine.
class Attempt : public std::enable_shared_from_this<Attempt>
{
public:
    Attempt(std::shared_ptr<RequestContext> context, std::function<void()> onEnded);

    void start();
    /// Gives up: a target at work is told so by the end of the connection. Where another attempt that began later has answered, that speaks
    /// against the target.
    void cancel(bool wasOvertaken);

    AttemptResult result{AttemptResult::Pending};
    bool isSent{false};
    /// With NotRun: the target shed the request although it had free slots.
    bool wasShedWithFreeSlots{false};
    TargetResponse response;
    /// With Quarantined, and with NoTarget where all targets asked for quiet: when the caller may come back.
    std::chrono::milliseconds retryAfter{0};

private:
    /// Keeps the attempt alive until it has ended.
    static boost::asio::awaitable<void> runKeepingAlive(std::shared_ptr<Attempt> self);
    boost::asio::awaitable<void> run();
    /// Sends the request to the target that was found, unless it broke targets lately.
    boost::asio::awaitable<void> sendIfPermitted(FoundTarget found);
    boost::asio::awaitable<void> reportToGuard(bool isTrial);
    boost::asio::awaitable<void> sendAndReceive();
    boost::asio::awaitable<bool> send();
    /// Reads up to the end of the answer to this request, over late answers to others.
    boost::asio::awaitable<bool> receive();
    boost::asio::awaitable<bool> receiveBody(Http::response_parser<Http::buffer_body> &parser, bool isKept);
    TargetQuery query() const;
    /// Restricts the query to one of two versions while a rollout splits the traffic.
    std::optional<VersionSplit> drawVersion(TargetQuery &query) const;
    void evaluateResponse(const ResponseMetadata &metadata);
    void recordSendOutcome(Fleet::SendOutcome outcome);
    void recordResult();
    Fleet::TargetState *target();
    /// False where the target has asked for quiet, leaves or is gone since it was chosen.
    bool isStillAvailable() const;
    /// Whether an answer of the target belongs to something else than this attempt.
    bool isForeign(const ResponseMetadata &metadata) const;

    std::shared_ptr<RequestContext> context;
    std::function<void()> onEnded;
    std::shared_ptr<Fleet::ServiceState> service;
    std::string name;
    Core::VersionName version;
    std::int64_t targetStartedAt{0};
    Core::TimePoint sentAt;
    bool isCold{false};
    /// The target is of another data centre.
    bool isFar{false};
    bool isCancelled{false};
    bool isOvertaken{false};
    /// The connection ended under the request: the target may have broken.
    bool isConnectionLost{false};
    Core::TargetId address;
    std::unique_ptr<Relay::TargetConnection> connection;
    std::string failure;
};

} // namespace Briarbend::Gateway

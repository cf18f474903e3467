#pragma once

#include <LibCallers/BackPressure.h>
#include <LibCallers/Pipeline.h>
#include <LibCore/Presence.h>
#include <LibGateway/RequestFlow.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <map>

namespace Briarbend::Gateway
{

class CallerFrontend;

using RequestParser = Http::request_parser<Http::string_body>;

/// A request that was read from its connection.
struct ReadRequest {
    RequestParser &parser;
    /// Memory of the request.
    Core::ByteHold hold;
};

/// A request from its arrival to its response.
struct CallerRequest {
    std::shared_ptr<RequestContext> context;
    /// Why the request is refused; nothing if it may be sent to a target.
    std::optional<Rejection::Reason> refusal;
    std::string refusalDetail;
    /// Set while the request is being served.
    std::shared_ptr<RequestFlow> flow;
};

/// One connection of a caller. Reads its requests, ahead of their responses up to a bound, and writes the responses in order of arrival.
/// Its coroutines keep it alive.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(boost::asio::ip::tcp::socket socket, CallerFrontend &frontend, GatewayState &state);

    static boost::asio::awaitable<void> serveKeepingAlive(std::shared_ptr<CallerConnection> self);
    /// Detects a caller that has gone or makes no progress, and a planned stop. Called several times a second.
    void check(Core::TimePoint now);
    /// Gives back memory: drops a half-read request behind unanswered ones, or closes the connection if there is none.
    void cut(std::string_view reason, Core::TimePoint now);
    /// Closes the connection. Its running requests end as if the caller had gone.
    void close();
    Callers::ConnectionProgress progress() const;

private:
    /// What the reader waits for, which determines how long it may take.
    enum class ReadPhase {
        /// The first byte of a request.
        Idle,
        Header,
        Body,
        /// Nothing is read until earlier requests are answered.
        Paused,
        /// The last response was written; what still arrives is discarded.
        Lingering,
    };

    struct Exchange {
        explicit Exchange(std::uint32_t &requestsInFlight)
            : presence(requestsInFlight)
        {
        }

        Core::Presence presence;
        CallerRequest request;
        FlowResult result;
    };

    boost::asio::awaitable<void> serve();
    /// Waits for the first byte of a request. False if no further request is read.
    boost::asio::awaitable<bool> waitForRequest();
    /// Reads one request whose first byte has arrived. Returns whether another may follow.
    boost::asio::awaitable<bool> readRequest();
    boost::asio::awaitable<boost::system::error_code> readMessage(RequestParser &parser);
    /// Sends 100 (Continue) once all earlier requests are answered, unless the request is no longer wanted.
    boost::asio::awaitable<void> sendContinue();
    boost::asio::awaitable<void> waitUntilAnswered();
    boost::asio::awaitable<void> waitForChange();
    /// Notices at once that a caller leaves while nothing is read, unless bytes of it are unread.
    void watchForEnd();
    boost::asio::awaitable<void> linger();
    static boost::asio::awaitable<void>
    run(std::shared_ptr<CallerConnection> self, Callers::RequestId id, std::shared_ptr<Exchange> exchange);
    static boost::asio::awaitable<void> writeResponses(std::shared_ptr<CallerConnection> self);
    boost::asio::awaitable<bool> writeResponse(Network::Response &response);
    /// Starts what may start, writes what may be written, and lets the reader go on.
    void advance();
    void finish(Callers::RequestId id, const Exchange &exchange);
    /// Nobody reads further responses: ends the running requests.
    void recordCallerGone();
    void drain();
    /// Ends requests that were removed from the pipeline.
    void abandon(const std::vector<Callers::RequestId> &ids);
    void abandonAll();
    /// A request did not arrive whole in time, or nothing arrived.
    void endReading();
    /// A request is half read, earlier ones are unanswered, and no response is being written.
    bool canDropHalfReadRequest() const;
    void freeReadingMemory();
    bool mayRead() const;
    Callers::PipelineBounds bounds() const;
    void enter(ReadPhase next);
    std::optional<Core::Duration> phaseTimeout() const;
    void noteAcknowledged(Core::TimePoint now);

    boost::asio::ip::tcp::socket socket;
    CallerFrontend &frontend;
    GatewayState &state;
    boost::beast::flat_buffer buffer;
    boost::asio::steady_timer changed;
    Callers::Pipeline pipeline;
    std::map<Callers::RequestId, std::shared_ptr<Exchange>> exchanges;
    ReadPhase phase{ReadPhase::Idle};
    Core::TimePoint phaseSince;
    /// Last time that a read brought bytes of a request.
    Core::TimePoint lastProgress;
    /// Last time that the caller took bytes of a response, or that one was begun.
    Core::TimePoint lastTaken;
    /// Memory of the request that is being read.
    Core::ByteHold readingHold;
    std::uint64_t readingBytes{0};
    std::uint64_t writtenBytes{0};
    std::uint64_t acknowledgedBytes{0};
    bool isReadingOver{false};
    bool isCallerGone{false};
    bool isWriting{false};
    /// A wait for readable bytes is pending, and one was begun in this phase.
    bool isWatching{false};
    bool hasWatched{false};
    bool isCut{false};
};

} // namespace Briarbend::Gateway

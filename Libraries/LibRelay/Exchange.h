#pragma once

#include <LibRejection/Reason.h>
#include <LibRejection/RequestProgress.h>
#include <LibRelay/AttemptRecord.h>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Briarbend::Relay
{

namespace Http = boost::beast::http;

/// The caller's side of one request.
struct CallerConnection {
    boost::beast::tcp_stream &stream;
    boost::beast::flat_buffer &buffer;
    Http::request_parser<Http::buffer_body> &parser;
    /// Version of the caller's request, 10 or 11.
    unsigned version{11};
    bool keepsAlive{true};
};

/// What is sent to a target.
struct ForwardedRequest {
    Http::request<Http::buffer_body> head;
    /// The whole body, where it was read before sending.
    std::string body;
    /// The body is still to be read from the caller while it is sent; such a request can be sent only once.
    bool isStreamed{false};
    /// Time of the last chance of an answer's head.
    Core::TimePoint deadline;
    /// What the deadline allowed in all. A streamed body gets it anew once it has been sent.
    Core::Duration timeAllowed{0};
    std::string requestId;
};

/// How one exchange with a target ended.
struct ExchangeResult {
    Rejection::RequestProgress progress{Rejection::RequestProgress::NotSent};
    /// Why no whole answer came; nothing after a whole answer.
    std::optional<Rejection::Reason> failure;
    /// Bytes of the answer have gone to the caller, so that nothing else can be said to it.
    bool isHeadForwarded{false};
    bool isCallerGone{false};
    /// The caller's connection ends a request cleanly and may carry another.
    bool isCallerUsable{true};
    /// When the target asked to come back after refusing the request.
    std::optional<std::chrono::milliseconds> retryAfter;
    /// The connection broke after the request was sent: the request may have crashed the target.
    bool isTargetConnectionLost{false};
    unsigned status{0};
    /// From the start of the exchange to the head of the answer, or to its failure.
    Core::Duration timeToHead{0};
};

/// Sends one request to one target and reads the head of its answer. Destroying it closes the connection, unless the answer was read to a
/// clean end.
class Exchange
{
public:
    using ResponseParser = Http::response_parser<Http::buffer_body>;

    Exchange(RelayState &relay,
             std::shared_ptr<ServiceState> service,
             CallerConnection caller,
             std::shared_ptr<const ForwardedRequest> request,
             const Core::TargetId &target);

    /// Ends with the head of an answer in answer(), or with a failure in the result. The caller's side is touched only where the body is
    /// streamed. Throws nothing but what allocation throws.
    boost::asio::awaitable<bool> open();
    /// Gives up an opening that is under way; it then ends without blaming the target.
    void cancel();

    /// Reads the rest of a short answer that nobody wants, so that its connection can be used again.
    boost::asio::awaitable<void> discardResponse();
    /// Reads the next part of the answer's body into the chunk. False where the answer is cut.
    boost::asio::awaitable<bool> readSome(std::vector<char> &chunk, std::size_t &length);
    /// Makes room for large reads; the room is given back with the connection.
    void growReadBuffer();
    /// True where bytes of the answer wait that have been received already.
    bool hasBufferedBytes() const;
    /// Keeps the connection for other requests if the answer came to a clean end.
    void finish();

    ResponseParser &answer();
    const Core::TargetId &target() const;

    ExchangeResult result;

private:
    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<bool> send();
    boost::asio::awaitable<bool> sendStreamedBody(Http::request_serializer<Http::buffer_body> &serializer);
    boost::asio::awaitable<bool> receiveHead();
    /// False where the answer belongs to another request.
    bool isResponseToRequest();
    void recordHead();
    void fail(const boost::system::error_code &error);

    RelayState &relay;
    std::shared_ptr<ServiceState> service;
    CallerConnection caller;
    std::shared_ptr<const ForwardedRequest> request;
    /// Its own copy, since two exchanges may send the same request at once.
    Http::request<Http::buffer_body> head;
    Core::TargetId targetId;
    std::optional<AttemptRecord> record;
    std::unique_ptr<TargetConnection> connection;
    std::optional<ResponseParser> parser;
    bool isCancelled{false};
    /// The answer bore the identifier of the request.
    bool hasMatchingRequestId{false};
};

} // namespace Briarbend::Relay
